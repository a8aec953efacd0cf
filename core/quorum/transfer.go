package quorum

import (
	"time"

	"shallotgap/core/ident"
)

// standBack is the number of election timeouts for which a leader that stood down does not campaign.
const standBack = 6

// StandDown ends this node's leadership; the other voters elect a leader after their election timeout, and this
// node only takes part again when they have not done so for several of them.
func (n *Node) StandDown() {
	if n.role != Leader {
		return
	}
	n.becomeFollower(n.hard.Term, "")
	n.electAt = n.now.Add(standBack * n.Election)
}

// Hold keeps a node from campaigning for a while, so that a host that stops isn't elected while others can be.
func (n *Node) Hold(d time.Duration) { n.electAt = max(n.electAt, n.now.Add(d)) }

// Votes reports whether a host is a voter.
func (n *Node) Votes(h ident.HostID) bool {
	for _, m := range n.members {
		if m.Host == h && m.Voter {
			return true
		}
	}
	return false
}

// Ahead counts the voters that are not left out, have been heard within an election timeout and hold all that is
// committed, and the number of all voters. Only a leader knows this.
func (n *Node) Ahead(leftOut func(ident.HostID) bool) (ready, all int) {
	for m, p := range n.peers {
		if !m.Voter {
			continue
		}
		all++
		if leftOut(m.Host) {
			continue
		}
		if m == n.self() || (n.now.Sub(p.heard) < n.Election && p.match >= n.log.commit) {
			ready++
		}
	}
	return ready, all
}
