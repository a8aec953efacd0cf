package quorum

import "shallotgap/core/ident"

// Ready is what the node wants written and sent.
type Ready struct {
	// Seq numbers a write; Written returns it once all of the write is durable. It is 0 when there is nothing to write.
	Seq  uint64
	Hard *HardState
	// Snapshot replaces all of the log, entries after it included.
	Snapshot *Snapshot
	// Entries replace all from their first index on.
	Entries []Entry
	// AfterWrite are the messages that must not leave before this write and all earlier ones are durable.
	AfterWrite []Message
	// Immediate are the messages that rest on nothing that is still to be written.
	Immediate []Message
	// Committed are the entries to apply, in order; with a Snapshot, that comes first.
	Committed []Entry
}

// write is one write that was handed out.
type write struct {
	seq   uint64
	epoch uint64
	index ident.Index // end of the log that it makes durable; 0 when it carries none
	term  ident.Term
	hard  bool
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.Seq == 0 && len(r.AfterWrite) == 0 && len(r.Immediate) == 0 && len(r.Committed) == 0
}

// Ready returns the pending work and hands it over to the caller.
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
		r.Entries = append(r.Entries, n.log.slice(max(n.unstable-1, n.log.snap.Index), len(n.log.entries))...)
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
	n.sortMessages(&r)
	r.Committed = n.takeCommitted()
	return r
}

// sortMessages decides which messages wait for the writes. A leader's entries may leave while it writes them itself,
// once its term is durable; every other message may rest on any write under way.
func (n *Node) sortMessages(r *Ready) {
	list := n.messages
	n.messages = nil
	if len(n.writes) == 0 {
		r.Immediate = list
		return
	}
	for _, m := range list {
		if (m.Kind == Append || m.Kind == Install) && m.Term == n.hard.Term && n.role == Leader && !n.hardInFlight() {
			r.Immediate = append(r.Immediate, m)
		} else {
			r.AfterWrite = append(r.AfterWrite, m)
			if early, ok := n.earlyReply(m); ok {
				r.Immediate = append(r.Immediate, early)
			}
		}
	}
}

// earlyReply is what a follower can answer its leader while it writes: that it follows, and what it holds durably. A
// leader whose followers have slow disks would else take them for lost.
func (n *Node) earlyReply(m Message) (Message, bool) {
	if m.Kind != AppendReply || m.Reject || m.Term != n.hard.Term || n.role != Follower || n.hardInFlight() {
		return Message{}, false
	}
	m.Index = min(m.Index, n.log.stable)
	return m, true
}

func (n *Node) hardInFlight() bool {
	for _, w := range n.writes {
		if w.hard {
			return true
		}
	}
	return false
}

// Written tells the node that the write of the given number and all earlier ones are durable.
func (n *Node) Written(seq uint64) {
	for len(n.writes) > 0 && n.writes[0].seq <= seq {
		w := n.writes[0]
		n.writes = n.writes[1:]
		if w.hard && n.role != Leader {
			n.resetElection() // a vote leaves only now
		}
		if term, ok := n.log.term(w.index); ok && w.index != 0 && w.epoch == n.epoch && term == w.term {
			n.log.stable = max(n.log.stable, w.index)
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) takeCommitted() []Entry {
	end := min(n.log.commit, n.log.stable)
	if end <= n.applied {
		return nil
	}
	list := append([]Entry(nil), n.log.slice(n.applied, int(end-n.applied))...)
	n.applied = end
	return list
}
