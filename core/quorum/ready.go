package quorum

import "shallotgap/core/ident"

// Ready is the work that a node hands to the code that runs it: data to write, messages to send, entries to apply.
type Ready struct {
	// Seq numbers the write and must be passed to Written once the write is durable; 0 when there is no write.
	Seq  uint64
	Hard *HardState
	// Snapshot replaces the whole log on disk, including entries after the snapshot's index.
	Snapshot *Snapshot
	// Entries replace the entries on disk from the first index of Entries on.
	Entries []Entry
	// AfterWrite are messages that must not be sent before this write and all earlier ones are durable.
	AfterWrite []Message
	// Immediate are messages that can be sent at once, as they depend on no pending write.
	Immediate []Message
	// Committed are the entries to apply, in order, after Snapshot if there is one.
	Committed []Entry
}

// write is one write that Ready returned.
type write struct {
	seq   uint64
	epoch uint64
	index ident.Index // last log index that the write makes durable; 0 for none
	term  ident.Term
	hard  bool
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.Seq == 0 && len(r.AfterWrite) == 0 && len(r.Immediate) == 0 && len(r.Committed) == 0
}

// Ready returns the pending work. The node counts it as handed over and does not return it again.
func (n *Node) Ready() Ready {
	r := Ready{}
	w := write{epoch: n.epoch}
	if n.hardDirty {
		hard := n.hard
		r.Hard = &hard
		n.hardDirty = false
		w.hard = true
	}
	if n.snapDirty {
		snap := n.log.snap
		r.Snapshot = &snap
		n.applied = snap.Index
		n.snapDirty = false
		w.index, w.term = snap.Index, snap.Term
	}
	if n.unstable != 0 {
		r.Entries = append(r.Entries, n.log.entriesAfter(max(n.unstable-1, n.log.snap.Index), len(n.log.entries))...)
		n.unstable = 0
	}
	if k := len(r.Entries); k > 0 {
		w.index, w.term = r.Entries[k-1].Index, r.Entries[k-1].Term
	}
	if w.hard || w.index != 0 {
		n.seq++
		w.seq = n.seq
		r.Seq = n.seq
		n.writes = append(n.writes, w)
	}
	n.splitMessages(&r)
	r.Committed = n.takeCommitted()
	return r
}

// splitMessages divides the pending messages into those that must wait for pending writes and those that need not. A leader whose
// term is durable may send entries while it is still writing them; any other message may depend on a pending write.
func (n *Node) splitMessages(r *Ready) {
	list := n.messages
	n.messages = nil
	if len(n.writes) == 0 {
		r.Immediate = list
		return
	}
	for _, m := range list {
		if (m.Kind == Append || m.Kind == Install) && m.Term == n.hard.Term && n.role == Leader && !n.hardStateInFlight() {
			r.Immediate = append(r.Immediate, m)
		} else {
			r.AfterWrite = append(r.AfterWrite, m)
			if early, ok := n.earlyReply(m); ok {
				r.Immediate = append(r.Immediate, early)
			}
		}
	}
}

// earlyReply returns the reply that a follower can send while the entries are still being written: it acknowledges only the
// durable part of the log. Without this reply a leader would consider followers with slow disks lost.
func (n *Node) earlyReply(m Message) (Message, bool) {
	if m.Kind != AppendReply || m.Reject || m.Term != n.hard.Term || n.role != Follower || n.hardStateInFlight() {
		return Message{}, false
	}
	m.Index = min(m.Index, n.log.stable)
	return m, true
}

// hardStateInFlight reports whether a write of the term or vote is not yet durable.
func (n *Node) hardStateInFlight() bool {
	for _, w := range n.writes {
		if w.hard {
			return true
		}
	}
	return false
}

// Written reports that the write with number seq and all earlier ones are durable.
func (n *Node) Written(seq uint64) {
	for len(n.writes) > 0 && n.writes[0].seq <= seq {
		w := n.writes[0]
		n.writes = n.writes[1:]
		if w.hard && n.role != Leader {
			n.resetElection() // the vote is sent only after the write, so the timeout starts here
		}
		if term, ok := n.log.term(w.index); ok && w.index != 0 && w.epoch == n.epoch && term == w.term {
			n.log.stable = max(n.log.stable, w.index)
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// takeCommitted returns the entries that are committed, durable on this host and not yet applied, and counts them as applied.
func (n *Node) takeCommitted() []Entry {
	end := min(n.log.commit, n.log.stable)
	if end <= n.applied {
		return nil
	}
	list := append([]Entry(nil), n.log.entriesAfter(n.applied, int(end-n.applied))...)
	n.applied = end
	return list
}
