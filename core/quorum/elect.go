package quorum

import (
	"time"

	"shallotgap/core/ident"
)

// Tick advances the clock and starts elections and heartbeats that are due.
func (n *Node) Tick(now ident.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now < n.electAt {
		return
	}
	n.resetElection()
	if len(n.members) == 0 {
		n.sendHello()
		return
	}
	if !n.self().Voter {
		n.sendHello()
		return
	}
	n.campaign(true)
}

func (n *Node) tickLeader() {
	if !n.hearsMajority() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.now >= n.beatAt {
		n.beatAt = n.now.Add(n.Heartbeat)
		n.broadcast()
		n.settleSeats()
	}
}

// Confirmed reports whether no other node can lead at this moment and this one has applied all that earlier leaders
// committed. It rests on the sending times of messages that a majority answered: who answered does not vote for
// another before an election timeout has passed. A tenth of that covers the difference of clock rates.
func (n *Node) Confirmed() bool {
	if term, ok := n.log.term(n.applied); n.role != Leader || !ok || term != n.hard.Term {
		return false
	}
	confirmed := 0
	for m, p := range n.peers {
		if m.Voter && (m == n.self() || n.now.Sub(p.beat) < n.Election*9/10) {
			confirmed++
		}
	}
	return confirmed > n.members.Voters()/2
}

// hearsMajority is the check-quorum rule: a leader that has not heard a majority for an election timeout stands down.
func (n *Node) hearsMajority() bool {
	heard := 0
	for m, p := range n.peers {
		if m.Voter && (m == n.self() || n.now.Sub(p.heard) < n.Election) {
			heard++
		}
	}
	return heard > n.members.Voters()/2
}

func (n *Node) resetElection() {
	span := n.Election + time.Duration(n.Rand.Int64N(int64(n.Election)))
	n.electAt = n.now.Add(span)
}

// campaign asks for votes; a pre-vote asks whether an election could be won, without raising the term.
func (n *Node) campaign(pre bool) {
	n.role = Candidate
	n.leader = ""
	n.preVote = pre
	n.votes = map[ident.HostID]bool{n.Self: true}
	kind, term := PreVote, n.hard.Term+1
	if !pre {
		kind = Vote
		n.setHard(Hard{Term: n.hard.Term + 1, Vote: n.Self})
		term = n.hard.Term
	}
	if pre {
		n.sendHello()
	}
	if n.countVotes() {
		return
	}
	for _, m := range n.members {
		if m.Voter && m.Host != n.Self {
			n.send(Message{Kind: kind, To: m.Host, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

// countVotes moves on when a majority has granted, and reports whether it did.
func (n *Node) countVotes() bool {
	granted := 0
	for _, m := range n.members {
		if m.Voter && n.votes[m.Host] {
			granted++
		}
	}
	if granted <= n.members.Voters()/2 {
		return false
	}
	if n.preVote {
		n.campaign(false)
		return true
	}
	n.becomeLeader()
	return true
}

func (n *Node) setHard(h Hard) {
	if h != n.hard {
		n.hard = h
		n.hardDirty = true
	}
}

func (n *Node) becomeFollower(term ident.Term, leader ident.HostID) {
	vote := n.hard.Vote
	if term > n.hard.Term {
		vote = ""
	}
	n.setHard(Hard{Term: term, Vote: vote})
	if n.role != Follower {
		n.resetElection()
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.Self
	n.peers = map[Member]*progress{}
	n.trackMembers()
	n.beatAt = n.now.Add(n.Heartbeat)
	n.appendOwn(Entry{Kind: Barrier})
}

// stepVote answers a vote or a pre-vote.
func (n *Node) stepVote(m Message) {
	reply := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term, Reject: true}
	if n.grants(m) {
		reply.Reject = false
		if m.Kind == Vote {
			n.setHard(Hard{Term: m.Term, Vote: m.From})
			n.resetElection()
		}
	} else {
		reply.Term = n.hard.Term
	}
	n.send(reply)
}

// grants decides on a vote. Whether it counts is up to the candidate, by the disk that gave it: a voter that does not
// know yet that it is one must vote, and an emptied disk has another identity.
func (n *Node) grants(m Message) bool {
	if len(n.members) == 0 {
		return false
	}
	if m.Term < n.hard.Term || !n.log.upToDate(m.Index, m.LogTerm) {
		return false
	}
	if m.Kind == PreVote {
		return m.Term > n.hard.Term
	}
	return n.hard.Vote == "" || n.hard.Vote == m.From
}

// leaderIsFresh reports whether a leader was heard within the shortest election timeout; votes are refused then.
func (n *Node) leaderIsFresh() bool {
	return n.role == Leader || n.now.Sub(n.heardLead) < n.Election
}

func (n *Node) stepVoteReply(m Message) {
	if n.role != Candidate || (m.Kind == PreVoteReply) != n.preVote {
		return
	}
	term := n.hard.Term
	if n.preVote {
		term++
	}
	from, known := n.members.Find(m.From, m.Disk)
	if !known || !from.Voter || m.Term != term {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}
