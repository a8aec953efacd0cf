package quorum

import (
	"time"

	"shallotgap/core/ident"
)

// Tick sets the clock to now, sends heartbeats that are due, and starts an election after an election timeout.
func (n *Node) Tick(now ident.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now < n.electionDue {
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
	if !n.hasQuorumContact() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.now >= n.heartbeatDue {
		n.heartbeatDue = n.now.Add(n.HeartbeatInterval)
		n.broadcast()
		n.adjustVoters()
	}
}

// LeadershipConfirmed reports whether no other node can be the leader now and this node has applied all entries that earlier
// leaders committed. A majority must have answered messages sent within the last nine tenths of the election timeout: a
// voter that answers does not vote for another candidate for a whole election timeout. The remaining tenth covers clock drift.
func (n *Node) LeadershipConfirmed() bool {
	if term, ok := n.log.term(n.applied); n.role != Leader || !ok || term != n.hard.Term {
		return false
	}
	confirmed := 0
	for m, p := range n.peers {
		if m.Voter && (m == n.self() || n.now.Sub(p.ackedSentAt) < n.ElectionTimeout*9/10) {
			confirmed++
		}
	}
	return confirmed > n.members.Voters()/2
}

// hasQuorumContact implements check-quorum: a leader that does not hear from a majority for an election timeout steps down.
func (n *Node) hasQuorumContact() bool {
	heard := 0
	for m, p := range n.peers {
		if m.Voter && (m == n.self() || n.now.Sub(p.heardAt) < n.ElectionTimeout) {
			heard++
		}
	}
	return heard > n.members.Voters()/2
}

// maxDoublings limits the random part of the election timeout to eight times ElectionTimeout. With the shortest configured
// timeout that is still long enough for an election on disks that need a second per write.
const maxDoublings = 3

// resetElection draws the next election timeout at random. The random part doubles with each failed campaign, the fixed
// part with each failed campaign after the first: votes may take longer than the usual timeout on slow disks, and candidates that
// split the vote should not campaign at the same time again.
func (n *Node) resetElection() {
	doublings := min(n.failedCampaigns, maxDoublings)
	least := n.ElectionTimeout << max(0, doublings-1)
	n.electionDue = max(n.noCampaignUntil, n.now.Add(least+time.Duration(n.Rand.Int64N(int64(n.ElectionTimeout<<doublings)))))
}

// campaign requests votes or pre-votes. A pre-vote checks whether an election could be won, without raising the term.
func (n *Node) campaign(kind Kind) { n.startCampaign(Message{Kind: kind, Term: n.hard.Term + 1}) }

// startCampaign becomes a candidate and sends m, a Vote or PreVote request, to the other voters.
func (n *Node) startCampaign(m Message) {
	n.role = Candidate
	n.leader = ""
	n.preVote = m.Kind == PreVote
	n.votes = map[ident.HostID]bool{n.Self: true}
	if n.preVote {
		n.sendHello()
	} else {
		n.failedCampaigns++
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

// countVotes starts the election after a won pre-vote, or becomes leader after a won election. It reports whether a majority
// has granted its votes.
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

// setHard changes the term and vote; Ready then returns them for writing.
func (n *Node) setHard(h HardState) {
	if h != n.hard {
		n.hard = h
		n.hardDirty = true
	}
}

// becomeFollower makes this node a follower in the given term; leader is "" if unknown.
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

// becomeLeader makes this node the leader and appends a barrier entry, whose commit also commits all earlier entries.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.failedCampaigns = 0
	n.leader = n.Self
	n.peers = map[Member]*progress{}
	n.trackMembers()
	n.heartbeatDue = n.now.Add(n.HeartbeatInterval)
	n.appendOwn(Entry{Kind: Barrier})
	n.broadcast()
}

// stepVote answers a Vote or PreVote request.
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

// grants reports whether the node grants a vote. It does not check that this node is a voter, as a new voter may not have
// received the membership that makes it one; the candidate counts only votes from disks that are voters,
// and a disk that was emptied has a new id.
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

// heardLeaderRecently reports whether this node is the leader or has heard from a leader within the shortest election
// timeout; the node then ignores vote requests, except those of a leadership transfer.
func (n *Node) heardLeaderRecently() bool {
	return n.role == Leader || n.now.Sub(n.leaderHeardAt) < n.ElectionTimeout
}

// stepVoteReply counts a reply to this node's Vote or PreVote request, if it is of the current campaign.
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
