package quorum

import (
	"cmp"
	"slices"
)

// crowd counts voters that would be lost together with a member.
type crowd struct{ region, domain int }

// crowdOf counts the voters in the region and in the failure domain of m that are not lost.
func (n *Node) crowdOf(m Member) crowd {
	var c crowd
	domain := n.Domains[m.Host]
	for _, v := range n.members {
		if !v.Voter || n.isLost(v) {
			continue
		}
		other := n.Domains[v.Host]
		if other == domain {
			c.domain++
		}
		if other == domain || n.Regions[other] == n.Regions[domain] {
			c.region++
		}
	}
	return c
}

func compareCrowds(a, b crowd) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.domain, b.domain))
}

// isCrowded reports whether the loss of the region or failure domain of a voter would take fewer voters if the learner m had its place.
func (n *Node) isCrowded(voter, m Member) bool {
	v, l := n.crowdOf(voter), n.crowdOf(m)
	if n.Regions[n.Domains[voter.Host]] != n.Regions[n.Domains[m.Host]] {
		return v.region > l.region+1
	}
	return v.domain > l.domain+1
}

// spread promotes a learner whose region or failure domain has fewer voters than those of another voter, of which the surplus is removed then.
// Voters come to be crowded as learners are promoted in the order in which they start, or replace others that were lost for a while. It waits
// until all voters are present and their failure domains known.
func (n *Node) spread() {
	if slices.ContainsFunc(n.members, func(m Member) bool { return m.Voter && (!n.isPresent(m) || n.Domains[m.Host] == "") }) {
		return
	}
	for _, l := range n.members {
		if !n.isReadyLearner(l) {
			continue
		}
		for _, v := range n.members {
			if v.Voter && n.isCrowded(v, l) {
				n.promote()
				return
			}
		}
	}
}
