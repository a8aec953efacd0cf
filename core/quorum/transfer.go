package quorum

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// standBack is the number of election timeouts for which a leader that stood down does not campaign.
const standBack = 6

// StepDown ends this node's leadership. A voter that is not left out, was heard a moment ago and holds the most of the
// log campaigns at once; without one, or when that message gets lost, the others elect a leader after their election
// timeout. This node only takes part again when they have not done so for several of them.
func (n *Node) StepDown(leftOut func(ident.HostID) bool) {
	if n.role != Leader {
		return
	}
	if to, found := n.successor(leftOut); found {
		n.send(Message{Kind: TimeoutNow, To: to.Host, ToDisk: to.Disk, Index: n.log.last()})
	}
	n.becomeFollower(n.hard.Term, "")
	n.electAt = n.now.Add(standBack * n.ElectionTimeout)
}

// successor returns the voter that is the best leader after this one, among those that were sent all of the log.
func (n *Node) successor(leftOut func(ident.HostID) bool) (Member, bool) {
	var list []Member
	for m, p := range n.peers {
		if m.Voter && m != n.self() && !leftOut(m.Host) && n.now.Sub(p.heard) < n.ElectionTimeout && p.next > n.log.last() {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(n.peers[b].match, n.peers[a].match), cmp.Compare(a.Host, b.Host))
	}), true
}

// stepSucceed campaigns when the leader that this node follows gives up its term, as soon as the log holds all that the
// leader sent. The message is older than any campaign of a later term, so that it changes nothing when it comes late.
func (n *Node) stepSucceed(m Message) {
	if n.now < n.heldUntil || n.role != Follower || m.Term != n.hard.Term || m.From != n.leader || !n.self().Voter {
		return
	}
	if n.log.last() < m.Index {
		n.succeed = &m
		return
	}
	n.ask(Message{Kind: Vote, Term: n.hard.Term + 1, LeaderTransfer: true})
}

// succeedLate takes up a leader's word that came before its last entries.
func (n *Node) succeedLate() {
	if m := n.succeed; m != nil {
		n.succeed = nil
		n.stepSucceed(*m)
	}
}

// followsOn reports whether a vote is asked for because the leader of the term before gave it up. That leader relies on
// no promise of this node any more, and those of earlier terms lost theirs when it was elected.
func (n *Node) followsOn(m Message) bool {
	return m.Kind == Vote && m.LeaderTransfer && m.Term > n.hard.Term && n.role != Leader
}

// ExcludeNone is for a leader that stands down where any other voter may lead.
func ExcludeNone(ident.HostID) bool { return false }

// SuspendCampaigns keeps a node from campaigning for a while, so that a host that stops isn't elected while others can be.
func (n *Node) SuspendCampaigns(d time.Duration) {
	n.heldUntil = n.now.Add(d)
	n.electAt = max(n.electAt, n.heldUntil)
}

// IsVoter reports whether a host is a voter.
func (n *Node) IsVoter(h ident.HostID) bool {
	for _, m := range n.members {
		if m.Host == h && m.Voter {
			return true
		}
	}
	return false
}

// CaughtUpVoters counts the voters that are not left out, have been heard within an election timeout and hold all that is
// committed, and the number of all voters. Only a leader knows this.
func (n *Node) CaughtUpVoters(leftOut func(ident.HostID) bool) (ready, all int) {
	for m, p := range n.peers {
		if !m.Voter {
			continue
		}
		all++
		if leftOut(m.Host) {
			continue
		}
		if m == n.self() || (n.now.Sub(p.heard) < n.ElectionTimeout && p.match >= n.log.commit) {
			ready++
		}
	}
	return ready, all
}
