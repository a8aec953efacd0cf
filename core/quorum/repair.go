package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// admit adds an unknown disk as a learner and removes earlier learners of its host.
func (n *Node) admit(h ident.HostID, d DiskID) {
	if _, known := n.members.Find(h, d); known {
		return
	}
	next := slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m.Host == h && !m.Voter })
	_, _ = n.Change(append(next, Member{Host: h, Disk: d}))
}

// adjustVoters proposes at most one membership change towards the wanted number of reachable voters. In order of priority it
// removes a voter whose host has a new disk, removes a surplus voter, promotes a learner when a voter is missing or lost, or promotes one to
// spread the voters better.
// The learner is promoted before the lost voter is removed, so that a lost voter that returns in between can still vote.
func (n *Node) adjustVoters() {
	voters := n.members.Voters()
	switch old, found := n.replacedVoter(); {
	case found:
		n.remove(old)
	case voters > n.wantedVoters():
		n.removeSurplus()
	case voters < n.wantedVoters() || n.hasLostVoter():
		n.promote()
	default:
		n.spread()
	}
}

func (n *Node) wantedVoters() int {
	if n.TargetVoters > 0 {
		return n.TargetVoters
	}
	return len(n.Founders)
}

// replacedVoter returns a voter whose host has a new disk, once the new disk has caught up as a learner.
func (n *Node) replacedVoter() (Member, bool) {
	for _, m := range n.members {
		if !m.Voter || m == n.self() {
			continue
		}
		if slices.ContainsFunc(n.members, func(l Member) bool { return l.Host == m.Host && n.isReadyLearner(l) }) {
			return m, true
		}
	}
	return Member{}, false
}

// isReadyLearner reports whether m is a learner that is present and has caught up to within one batch of entries.
func (n *Node) isReadyLearner(m Member) bool {
	p := n.peers[m]
	return !m.Voter && n.isPresent(m) && p.match+ident.Index(n.MaxBatch) >= n.log.commit && p.match > 0
}

// isPresent reports whether m is this node or has replied within the election timeout.
func (n *Node) isPresent(m Member) bool {
	p := n.peers[m]
	return m == n.self() || (p != nil && n.now.Sub(p.heardAt) < n.ElectionTimeout)
}

// isLost reports whether m is a voter that has not replied for RepairAfter.
func (n *Node) isLost(m Member) bool {
	p := n.peers[m]
	return m.Voter && m != n.self() && n.RepairAfter > 0 && p != nil && n.now.Sub(p.heardAt) >= n.RepairAfter
}

func (n *Node) hasLostVoter() bool { return slices.ContainsFunc(n.members, n.isLost) }

// promote proposes to make a ready learner a voter: the learner whose region, and then whose failure domain, has the fewest voters
// that are not lost.
func (n *Node) promote() {
	best := -1
	for i, m := range n.members {
		if n.isReadyLearner(m) && (best < 0 || compareCrowds(n.crowdOf(m), n.crowdOf(n.members[best])) < 0) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	next := slices.Clone(n.members)
	next[best].Voter = true
	_, _ = n.Change(next)
}

// removeSurplus removes a lost voter, or else a voter other than this node in the region, and then in the failure domain, with the most
// voters.
func (n *Node) removeSurplus() {
	if i := slices.IndexFunc(n.members, n.isLost); i >= 0 {
		n.remove(n.members[i])
		return
	}
	surplus := Member{}
	for _, m := range n.members {
		if m.Voter && m != n.self() && (surplus.Host == "" || compareCrowds(n.crowdOf(m), n.crowdOf(surplus)) >= 0) {
			surplus = m
		}
	}
	n.remove(surplus)
}

// remove proposes a membership without old if a majority of the other voters is present.
func (n *Node) remove(old Member) {
	present, others := 0, 0
	for _, m := range n.members {
		if !m.Voter || m == old {
			continue
		}
		others++
		if n.isPresent(m) {
			present++
		}
	}
	if present <= others/2 {
		return
	}
	_, _ = n.Change(slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m == old }))
}
