package world

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
)

// assignEvery is the interval at which the leader looks for endpoints without a living owner.
const assignEvery = 100 * time.Millisecond

// assign gives endpoints without a living owner to the host that owns the fewest.
func (l *leadership) assign(w *World) {
	if w.now < l.assignAt {
		return
	}
	l.assignAt = w.now.Add(assignEvery)
	counts := l.ownedCounts(w)
	for _, e := range w.state.Owners.All() {
		if l.assigning[e.ID] > w.state.Applied {
			continue
		}
		stops := e.Owner != "" && w.state.Stops.HostStopping(e.Owner)
		if !stops && !l.needsOwner(w, e) {
			continue
		}
		to, ok := l.pickOwner(w, e, counts)
		if !ok {
			continue
		}
		if stops && !l.granter.Expired(e.Owner, w.now) {
			// First nobody owns it: the next owner starts once the present one has seen that.
			to = ""
		}
		counts[to]++
		a := lease.Assign{Endpoint: e.ID, Owner: to, From: e.Fence}
		i := l.propose(w, w.Self, Proposal{Command: state.Command{Assign: &a}})
		l.assigning[e.ID] = i
		l.taken[e.Owner] = max(l.taken[e.Owner], i)
	}
}

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

// pickOwner prefers few endpoints, then the endpoint's own failure domain, then the lower name.
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

func (w *World) domain(h ident.HostID) ident.DomainID {
	for _, p := range w.Peers {
		if p.Host == h {
			return p.Domain
		}
	}
	return ""
}

// abandon turns the open claims of lost host runs into in-doubt ones.
func (l *leadership) abandon(w *World) {
	for _, h := range w.state.Claims.Holders() {
		current := l.granter.Incarnation(h)
		if l.granter.Expired(h, w.now) {
			current = 0
		} else if current == 0 {
			continue
		}
		if !w.state.Claims.HasStaleClaims(h, current) || w.now.Sub(l.abandoning[h]) < time.Second {
			continue
		}
		l.abandoning[h] = w.now
		l.propose(w, w.Self, Proposal{Command: state.Command{Abandon: &claim.Abandon{Host: h, Current: current}}})
	}
}
