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
	n.campaign(PreVote)
}

func (n *Node) tickLeader() {
	if !n.hearsMajority() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.now >= n.beatAt {
		n.beatAt = n.now.Add(n.HeartbeatInterval)
		n.broadcast()
		n.settleSeats()
	}
}

// LeadershipConfirmed reports whether no other node can lead at this moment and this one has applied all that earlier leaders
// committed. It rests on the sending times of messages that a majority answered: who answered does not vote for
// another before an election timeout has passed. A tenth of that covers the difference of clock rates.
func (n *Node) LeadershipConfirmed() bool {
	if term, ok := n.log.term(n.applied); n.role != Leader || !ok || term != n.hard.Term {
		return false
	}
	confirmed := 0
	for m, p := range n.peers {
		if m.Voter && (m == n.self() || n.now.Sub(p.beat) < n.ElectionTimeout*9/10) {
			confirmed++
		}
	}
	return confirmed > n.members.Voters()/2
}

// hearsMajority is the check-quorum rule: a leader that has not heard a majority for an election timeout stands down.
func (n *Node) hearsMajority() bool {
	heard := 0
	for m, p := range n.peers {
		if m.Voter && (m == n.self() || n.now.Sub(p.heard) < n.ElectionTimeout) {
			heard++
		}
	}
	return heard > n.members.Voters()/2
}

// maxDoublings bounds the growth of the election timeout: eight times the usual one leaves room for votes of disks that
// take a second for a write, at the shortest timeout in use.
const maxDoublings = 3

// resetElection draws the next election timeout. It doubles with each campaign that failed after the first: votes that
// wait for slow disks need longer than the usual timeout, and candidates that met once should not meet again.
func (n *Node) resetElection() {
	doublings := min(n.failed, maxDoublings)
	least := n.ElectionTimeout << max(0, doublings-1)
	n.electAt = max(n.heldUntil, n.now.Add(least+time.Duration(n.Rand.Int64N(int64(n.ElectionTimeout<<doublings)))))
}

// campaign asks for votes; a pre-vote asks whether an election could be won, without raising the term.
func (n *Node) campaign(kind Kind) { n.ask(Message{Kind: kind, Term: n.hard.Term + 1}) }

// ask starts a campaign with the kind, term and reason of m.
func (n *Node) ask(m Message) {
	n.role = Candidate
	n.leader = ""
	n.preVote = m.Kind == PreVote
	n.votes = map[ident.HostID]bool{n.Self: true}
	if n.preVote {
		n.sendHello()
	} else {
		n.failed++
		n.setHard(HardState{Term: m.Term, Vote: n.Self})
		n.resetElection()
	}
	if n.countVotes() {
		return
	}
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, to := range n.members {
		if to.Voter && to.Host != n.Self {
			m.To = to.Host
			n.send(m)
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
		n.campaign(Vote)
		return true
	}
	n.becomeLeader()
	return true
}

func (n *Node) setHard(h HardState) {
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
	n.setHard(HardState{Term: term, Vote: vote})
	if n.role != Follower {
		n.resetElection()
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.failed = 0
	n.leader = n.Self
	n.peers = map[Member]*progress{}
	n.trackMembers()
	n.beatAt = n.now.Add(n.HeartbeatInterval)
	n.appendOwn(Entry{Kind: Barrier})
	n.broadcast()
}

// stepVote answers a vote or a pre-vote.
func (n *Node) stepVote(m Message) {
	reply := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term, Reject: true}
	if n.grants(m) {
		reply.Reject = false
		if m.Kind == Vote {
			n.setHard(HardState{Term: m.Term, Vote: m.From})
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
	return n.role == Leader || n.now.Sub(n.heardLead) < n.ElectionTimeout
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
