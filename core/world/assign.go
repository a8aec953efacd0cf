package world

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
)

// assignInterval is the interval at which the leader looks for endpoints without a live owner.
const assignInterval = 100 * time.Millisecond

// assign proposes owners for endpoints without a live owner, and moves endpoints away from hosts that are being stopped.
func (l *leadership) assign(w *World) {
	if w.now < l.nextAssign {
		return
	}
	l.nextAssign = w.now.Add(assignInterval)
	counts := l.ownedCounts(w)
	for _, e := range w.state.Owners.All() {
		if l.proposedAssigns[e.ID] > w.state.Applied {
			continue
		}
		stops := e.Owner != "" && w.state.Stops.HostStopping(e.Owner)
		if !stops && !l.needsOwner(w, e) {
			continue
		}
		owner, ok := l.pickOwner(w, e, counts)
		if !ok {
			continue
		}
		if stops && !l.granter.Expired(e.Owner, w.now) {
			// Revoke first: the next owner is assigned once the present owner has applied the revocation.
			owner = ""
		}
		counts[owner]++
		assignment := lease.Assign{Endpoint: e.ID, Owner: owner, From: e.Fence}
		index := l.propose(w, w.Self, Proposal{Command: state.Command{Assign: &assignment}})
		l.proposedAssigns[e.ID] = index
		l.revokedAt[e.Owner] = max(l.revokedAt[e.Owner], index)
	}
}

// needsOwner reports whether an endpoint may get a new owner now: the owner is stopping or its lease has expired, or the
// last owner has applied the revocation.
func (l *leadership) needsOwner(w *World, e lease.Owned) bool {
	if e.Owner != "" {
		return w.state.Stops.HostStopping(e.Owner) || l.granter.Expired(e.Owner, w.now)
	}
	if e.ReleasedBy == "" || l.granter.Expired(e.ReleasedBy, w.now) {
		return true
	}
	applied, _ := l.granter.Applied(e.ReleasedBy, w.now)
	return applied >= ident.Index(e.Fence)
}

// ownedCounts returns the number of endpoints of each host that may own endpoints: live hosts that are not being stopped.
func (l *leadership) ownedCounts(w *World) map[ident.HostID]int {
	counts := map[ident.HostID]int{}
	for _, p := range w.Peers {
		if l.granter.HoldsLease(p.Host, w.now) && !w.state.Stops.Stopping(drain.Host, string(p.Host)) {
			counts[p.Host] = 0
		}
	}
	for _, e := range w.state.Owners.All() {
		if _, ok := counts[e.Owner]; ok {
			counts[e.Owner]++
		}
	}
	return counts
}

// pickOwner returns the host with the fewest endpoints; among equal hosts it prefers a host in the endpoint's failure domain,
// then the first host in Config.Peers. It returns false if no host may own endpoints.
func (l *leadership) pickOwner(w *World, e lease.Owned, counts map[ident.HostID]int) (ident.HostID, bool) {
	best, found := ident.HostID(""), false
	for _, p := range w.Peers {
		n, ok := counts[p.Host]
		if !ok {
			continue
		}
		if !found || n < counts[best] || (n == counts[best] && p.Domain == e.Domain && w.domain(best) != e.Domain) {
			best, found = p.Host, true
		}
	}
	return best, found
}

// domain returns the failure domain of a host; "" for an unknown host.
func (w *World) domain(h ident.HostID) ident.DomainID {
	for _, p := range w.Peers {
		if p.Host == h {
			return p.Domain
		}
	}
	return ""
}

// abandonClaims proposes to mark open claims as in doubt if the host that holds them was lost or restarted.
func (l *leadership) abandonClaims(w *World) {
	for _, h := range w.state.Claims.Holders() {
		current := l.granter.Incarnation(h)
		if l.granter.Expired(h, w.now) {
			current = 0
		} else if current == 0 {
			continue
		}
		if !w.state.Claims.HasStaleClaims(h, current) || w.now.Sub(l.abandonedAt[h]) < time.Second {
			continue
		}
		l.abandonedAt[h] = w.now
		l.propose(w, w.Self, Proposal{Command: state.Command{Abandon: &claim.Abandon{Host: h, Current: current}}})
	}
}
