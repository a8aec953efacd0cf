package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// Propose appends a command to the leader's log, sends it to the members that were sent all earlier
// entries, and returns its index.
func (n *Node) Propose(data []byte) (ident.Index, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	i := n.appendOwn(Entry{Kind: Normal, Data: data})
	n.broadcastNew()
	return i, nil
}

// appendOwn appends an entry to the leader's log without sending it, and returns its index.
func (n *Node) appendOwn(e Entry) ident.Index {
	e.Index = n.log.last() + 1
	e.Term = n.hard.Term
	n.log.entries = append(n.log.entries, e)
	n.markUnstable(e.Index)
	if e.Kind == Config {
		n.adoptMembers()
	}
	return e.Index
}

// markUnstable marks the entries from the given index on as not yet written to disk.
func (n *Node) markUnstable(from ident.Index) {
	if n.unstable == 0 || from < n.unstable {
		n.unstable = from
	}
}

// Step handles one message from another node.
func (n *Node) Step(m Message) {
	if m.ToDisk != "" && m.ToDisk != n.Disk {
		return
	}
	switch m.Kind {
	case Hello:
		n.stepHello(m)
		return
	case Bootstrap:
		n.stepBootstrap(m)
		return
	case PreVote, Vote:
		if n.heardLeaderRecently() && !n.isLeaderTransfer(m) {
			return
		}
	}
	if m.Term > n.hard.Term && raisesTerm(m) {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case PreVote, Vote:
		n.stepVote(m)
	case TimeoutNow:
		n.stepTimeoutNow(m)
	case PreVoteReply, VoteReply:
		n.stepVoteReply(m)
	case Append, Install:
		n.stepLeader(m)
	case AppendReply:
		n.stepAppendReply(m)
	}
}

// raisesTerm reports whether the node adopts a higher term from m. A pre-vote and a reply that grants it carry a term that
// does not exist yet.
func raisesTerm(m Message) bool {
	return m.Kind != PreVote && (m.Kind != PreVoteReply || m.Reject)
}

// stepLeader handles an Append or Install, which only a leader sends.
func (n *Node) stepLeader(m Message) {
	if m.Term < n.hard.Term {
		// The term in the reply makes the superseded leader step down.
		n.reply(m, Message{Reject: true, Hint: n.log.last()})
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderHeardAt = n.now
	n.failedCampaigns = 0
	n.resetElection()
	if m.Kind == Install {
		n.install(m)
		return
	}
	n.appendFrom(m)
}

// appendFrom appends the leader's entries if the log has the entry that precedes them; otherwise it rejects the Append with a
// hint of the last index that may match.
func (n *Node) appendFrom(m Message) {
	term, ok := n.log.term(m.Index)
	if m.Index < n.log.snap.Index {
		n.reply(m, Message{Index: n.log.commit})
		return
	}
	if !ok || term != m.LogTerm {
		hint := min(n.log.last(), m.Index-1)
		n.reply(m, Message{Reject: true, Index: m.Index, Hint: hint})
		return
	}
	done := n.log.appendAfter(m.Index, m.Entries)
	if done.dropped {
		n.epoch++
	}
	if done.changed != 0 {
		n.markUnstable(done.changed)
		n.adoptMembers()
	}
	n.log.commit = max(n.log.commit, min(m.Commit, done.last))
	n.reply(m, Message{Index: done.last})
	n.resumeTransfer()
}

// reply sends m as the answer to a leader's Append or Install.
func (n *Node) reply(request, m Message) {
	m.Kind = AppendReply
	m.To = request.From
	m.SentAt = request.SentAt
	n.send(m)
}

// install replaces the log by the leader's snapshot, unless the log already has the entries that the snapshot covers.
func (n *Node) install(m Message) {
	if m.Snapshot == nil || m.Snapshot.Index <= n.log.commit {
		n.reply(m, Message{Index: n.log.commit})
		return
	}
	if term, ok := n.log.term(m.Snapshot.Index); ok && term == m.Snapshot.Term {
		// The log has all entries that the snapshot covers. Later entries may have been acknowledged, so the log is kept.
		n.log.commit = m.Snapshot.Index
		n.reply(m, Message{Index: m.Snapshot.Index})
		return
	}
	n.epoch++
	n.log.snap = *m.Snapshot
	n.log.entries = nil
	n.log.commit = m.Snapshot.Index
	n.log.stable = 0
	n.unstable = 0
	n.snapDirty = true
	n.adoptMembers()
	n.reply(m, Message{Index: m.Snapshot.Index})
}

// stepAppendReply updates a member's replication progress and sends the member its next entries.
func (n *Node) stepAppendReply(m Message) {
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	from, known := n.members.Find(m.From, m.Disk)
	p := n.peers[from]
	if !known || p == nil {
		return
	}
	p.heardAt = n.now
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	if m.Reject {
		p.next = max(1, min(p.next, m.Hint+1))
		n.sendAppend(from, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		n.advanceCommit()
	}
	if p.next <= n.log.last() {
		n.sendAppend(from, p)
	}
}

// advanceCommit raises the commit index to the last entry that is durable on a majority of the voters, if that entry is of the
// leader's own term.
func (n *Node) advanceCommit() {
	matches := make([]ident.Index, 0, len(n.members))
	for m, p := range n.peers {
		if !m.Voter {
			continue
		}
		if m == n.self() {
			p.match = n.log.stable
		}
		matches = append(matches, p.match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	durable := matches[(len(matches)-1)/2]
	if term, ok := n.log.term(durable); ok && durable > n.log.commit && term == n.hard.Term {
		n.log.commit = durable
		n.broadcast()
	}
}

// broadcast sends every other member the entries that it lacks; an Append without entries is a heartbeat.
func (n *Node) broadcast() {
	for _, m := range n.members {
		if p := n.peers[m]; p != nil && m != n.self() {
			n.sendAppend(m, p)
		}
	}
}

// broadcastNew sends the last entry to the members that have been sent all earlier ones.
func (n *Node) broadcastNew() {
	for _, m := range n.members {
		if p := n.peers[m]; p != nil && m != n.self() && p.next == n.log.last() {
			n.sendAppend(m, p)
		}
	}
}

// sendAppend sends a member its next batch of entries, or the snapshot if those entries have been compacted.
func (n *Node) sendAppend(to Member, p *progress) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		snap := n.log.snap
		n.send(Message{Kind: Install, To: to.Host, ToDisk: to.Disk, Snapshot: &snap})
		p.next = snap.Index + 1
		return
	}
	entries := n.log.entriesAfter(prev, n.MaxBatch)
	n.send(Message{Kind: Append, To: to.Host, ToDisk: to.Disk, Index: prev, LogTerm: term, Entries: entries, Commit: n.log.commit})
	p.next = prev + ident.Index(len(entries)) + 1
}
