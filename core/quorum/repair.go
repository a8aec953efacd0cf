package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// admit makes an unknown disk a learner, in place of learners that its host had before.
func (n *Node) admit(h ident.HostID, d DiskID) {
	if _, known := n.members.Find(h, d); known {
		return
	}
	next := slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m.Host == h && !m.Voter })
	_, _ = n.Change(append(next, Member{Host: h, Disk: d}))
}

// settleSeats moves the membership one step towards the wanted voters, all of them heard of: a disk that its host has
// replaced goes first, then a free seat is filled, then a lost voter is replaced. The successor votes before the lost
// one is removed, so that a lost voter that returns meanwhile still counts.
func (n *Node) settleSeats() {
	voters := n.members.Voters()
	switch old, found := n.replacedVoter(); {
	case found:
		n.remove(old)
	case voters > n.seats():
		n.removeSurplus()
	case voters < n.seats() || n.lostVoter():
		n.promote()
	}
}

func (n *Node) seats() int {
	if n.TargetVoters > 0 {
		return n.TargetVoters
	}
	return len(n.Founders)
}

// replacedVoter returns a voter whose host now has another disk, once that one has caught up.
func (n *Node) replacedVoter() (Member, bool) {
	for _, m := range n.members {
		if !m.Voter || m == n.self() {
			continue
		}
		if slices.ContainsFunc(n.members, func(l Member) bool { return l.Host == m.Host && n.ready(l) }) {
			return m, true
		}
	}
	return Member{}, false
}

// ready reports whether a learner is present and has caught up.
func (n *Node) ready(m Member) bool {
	p := n.peers[m]
	return !m.Voter && n.present(m) && p.match+ident.Index(n.MaxBatch) >= n.log.commit && p.match > 0
}

func (n *Node) present(m Member) bool {
	p := n.peers[m]
	return m == n.self() || (p != nil && n.now.Sub(p.heard) < n.ElectionTimeout)
}

func (n *Node) lost(m Member) bool {
	p := n.peers[m]
	return m.Voter && m != n.self() && n.RepairAfter > 0 && p != nil && n.now.Sub(p.heard) >= n.RepairAfter
}

func (n *Node) lostVoter() bool { return slices.ContainsFunc(n.members, n.lost) }

// promote gives a seat to the learner whose failure domain holds the fewest present voters.
func (n *Node) promote() {
	best := -1
	for i, m := range n.members {
		if n.ready(m) && (best < 0 || n.votersNear(m) < n.votersNear(n.members[best])) {
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

// votersNear counts the voters in the failure domain of m that are not lost.
func (n *Node) votersNear(m Member) int {
	count := 0
	for _, v := range n.members {
		if v.Voter && !n.lost(v) && n.Domains[v.Host] == n.Domains[m.Host] {
			count++
		}
	}
	return count
}

// removeSurplus removes a lost voter, or else one of the fullest failure domain.
func (n *Node) removeSurplus() {
	if i := slices.IndexFunc(n.members, n.lost); i >= 0 {
		n.remove(n.members[i])
		return
	}
	worst := Member{}
	for _, m := range n.members {
		if m.Voter && m != n.self() && (worst.Host == "" || n.votersNear(m) >= n.votersNear(worst)) {
			worst = m
		}
	}
	n.remove(worst)
}

// remove takes a voter out if a majority of the others is present.
func (n *Node) remove(old Member) {
	present, others := 0, 0
	for _, m := range n.members {
		if !m.Voter || m == old {
			continue
		}
		others++
		if n.present(m) {
			present++
		}
	}
	if present <= others/2 {
		return
	}
	_, _ = n.Change(slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m == old }))
}
