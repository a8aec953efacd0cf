package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// Propose appends a command as the leader and returns its index.
func (n *Node) Propose(data []byte) (ident.Index, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	i := n.appendOwn(Entry{Kind: Normal, Data: data})
	n.broadcastNew()
	return i, nil
}

// appendOwn adds an entry to the leader's log, without sending it.
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
		n.stepFound(m)
		return
	case PreVote, Vote:
		if n.leaderIsFresh() && !n.followsOn(m) {
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
		n.stepSucceed(m)
	case PreVoteReply, VoteReply:
		n.stepVoteReply(m)
	case Append, Install:
		n.stepLeader(m)
	case AppendReply:
		n.stepAppendReply(m)
	}
}

// raisesTerm tells whether a higher term in m is adopted: a pre-vote and its granted answer name a term that does not exist yet.
func raisesTerm(m Message) bool {
	return m.Kind != PreVote && (m.Kind != PreVoteReply || m.Reject)
}

func (n *Node) stepLeader(m Message) {
	if m.Term < n.hard.Term {
		// The reply's term makes a superseded leader stand down.
		n.reply(m, Message{Reject: true, Hint: n.log.last()})
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heardLead = n.now
	n.failed = 0
	n.resetElection()
	if m.Kind == Install {
		n.install(m)
		return
	}
	n.appendFrom(m)
}

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
	n.succeedLate()
}

// reply answers a leader's message.
func (n *Node) reply(to, m Message) {
	m.Kind = AppendReply
	m.To = to.From
	m.SentAt = to.SentAt
	n.send(m)
}

func (n *Node) install(m Message) {
	if m.Snapshot == nil || m.Snapshot.Index <= n.log.commit {
		n.reply(m, Message{Index: n.log.commit})
		return
	}
	if term, ok := n.log.term(m.Snapshot.Index); ok && term == m.Snapshot.Term {
		// The log holds all of the snapshot already; what follows it may have been acknowledged and stays.
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

func (n *Node) stepAppendReply(m Message) {
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	from, known := n.members.Find(m.From, m.Disk)
	p := n.peers[from]
	if !known || p == nil {
		return
	}
	p.heard = n.now
	p.beat = max(p.beat, m.SentAt)
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

// advanceCommit commits what a majority of the voters holds durably, if it is of the leader's own term.
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
	held := matches[(len(matches)-1)/2]
	if term, ok := n.log.term(held); ok && held > n.log.commit && term == n.hard.Term {
		n.log.commit = held
		n.broadcast()
	}
}

// broadcast sends every other member what it lacks, or a heartbeat.
func (n *Node) broadcast() {
	for _, m := range n.members {
		if p := n.peers[m]; p != nil && m != n.self() {
			n.sendAppend(m, p)
		}
	}
}

// broadcastNew sends new entries to the members that hold all earlier ones.
func (n *Node) broadcastNew() {
	for _, m := range n.members {
		if p := n.peers[m]; p != nil && m != n.self() && p.next == n.log.last() {
			n.sendAppend(m, p)
		}
	}
}

func (n *Node) sendAppend(to Member, p *progress) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		snap := n.log.snap
		n.send(Message{Kind: Install, To: to.Host, ToDisk: to.Disk, Snapshot: &snap})
		p.next = snap.Index + 1
		return
	}
	entries := n.log.slice(prev, n.MaxBatch)
	n.send(Message{Kind: Append, To: to.Host, ToDisk: to.Disk, Index: prev, LogTerm: term, Entries: entries, Commit: n.log.commit})
	p.next = prev + ident.Index(len(entries)) + 1
}
