package quorum

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// stepDownTimeouts is the number of election timeouts for which a leader that stepped down does not campaign.
const stepDownTimeouts = 6

// StepDown ends this node's leadership. It asks the most up-to-date voter that is reachable and not excluded to campaign at
// once. Without such a voter, or if the message is lost, the other voters elect a leader after their election timeout. This
// node does not campaign for stepDownTimeouts election timeouts, to leave the election to them.
func (n *Node) StepDown(excluded func(ident.HostID) bool) {
	if n.role != Leader {
		return
	}
	if to, found := n.successor(excluded); found {
		n.send(Message{Kind: TimeoutNow, To: to.Host, ToDisk: to.Disk, Index: n.log.last()})
	}
	n.becomeFollower(n.hard.Term, "")
	n.electionDue = n.now.Add(stepDownTimeouts * n.ElectionTimeout)
}

// successor returns the most up-to-date voter among those that are reachable, not excluded and have been sent the whole log.
func (n *Node) successor(excluded func(ident.HostID) bool) (Member, bool) {
	var list []Member
	for m, p := range n.peers {
		if m.Voter && m != n.self() && !excluded(m.Host) && n.now.Sub(p.heardAt) < n.ElectionTimeout && p.next > n.log.last() {
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

// stepTimeoutNow starts a campaign for a leader that steps down, once this node's log has all entries of the leader. A delayed
// message has no effect: its term must be the current one and its sender the current leader.
func (n *Node) stepTimeoutNow(m Message) {
	if n.now < n.noCampaignUntil || n.role != Follower || m.Term != n.hard.Term || m.From != n.leader || !n.self().Voter {
		return
	}
	if n.log.last() < m.Index {
		n.pendingTransfer = &m
		return
	}
	n.startCampaign(Message{Kind: Vote, Term: n.hard.Term + 1, LeaderTransfer: true})
}

// resumeTransfer handles a TimeoutNow that arrived before the leader's last entries.
func (n *Node) resumeTransfer() {
	if m := n.pendingTransfer; m != nil {
		n.pendingTransfer = nil
		n.stepTimeoutNow(*m)
	}
}

// isLeaderTransfer reports whether m is a Vote request that follows from the previous leader's stepping down. The node may
// then vote within the election timeout: that leader no longer relies on the node to wait, and earlier leaders were
// superseded when it was elected.
func (n *Node) isLeaderTransfer(m Message) bool {
	return m.Kind == Vote && m.LeaderTransfer && m.Term > n.hard.Term && n.role != Leader
}

// ExcludeNone excludes no host; pass it to StepDown when any other voter may become leader.
func ExcludeNone(ident.HostID) bool { return false }

// SuspendCampaigns keeps this node from campaigning for d, so that a host that is stopping is not elected while other voters
// can be.
func (n *Node) SuspendCampaigns(d time.Duration) {
	n.noCampaignUntil = n.now.Add(d)
	n.electionDue = max(n.electionDue, n.noCampaignUntil)
}

// IsVoter reports whether host h is a voter.
func (n *Node) IsVoter(h ident.HostID) bool {
	for _, m := range n.members {
		if m.Host == h && m.Voter {
			return true
		}
	}
	return false
}

// CaughtUpVoters returns the number of voters that are reachable, not excluded and have all committed entries, and the number
// of all voters. Only a leader knows both numbers; other nodes return 0.
func (n *Node) CaughtUpVoters(excluded func(ident.HostID) bool) (ready, all int) {
	for m, p := range n.peers {
		if !m.Voter {
			continue
		}
		all++
		if excluded(m.Host) {
			continue
		}
		if m == n.self() || (n.now.Sub(p.heardAt) < n.ElectionTimeout && p.match >= n.log.commit) {
			ready++
		}
	}
	return ready, all
}
