package world

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/quorum"
	"shallotgap/core/state"
	"shallotgap/core/wire"
)

// leadership is what only the leader of a term keeps. A nil leadership ignores all calls.
type leadership struct {
	term    ident.Term
	granter *lease.Granter
	budget  *place.Budget
	waiting map[ident.Index]proposer
	// assigning and abandoning bar a second proposal while the first one is not applied.
	assigning  map[ident.EndpointID]ident.Fence
	abandoning map[ident.HostID]ident.Time
	// accepted are the latest public commands with the time of their acceptance, oldest first.
	accepted []acceptance
	pushed   ident.Index
}

type proposer struct {
	host   ident.HostID
	ticket Ticket
}

type acceptance struct {
	index ident.Index
	at    ident.Time
}

func newLeadership(w *World, term ident.Term) *leadership {
	return &leadership{
		term:       term,
		granter:    lease.NewGranter(w.Params.Lease, w.now),
		budget:     &place.Budget{Rate: w.Params.StoreRate, InFlight: w.Params.StoreInFlight},
		waiting:    map[ident.Index]proposer{},
		assigning:  map[ident.EndpointID]ident.Fence{},
		abandoning: map[ident.HostID]ident.Time{},
		pushed:     w.state.Applied,
	}
}

// propose appends a command for a host and remembers whom to answer.
func (l *leadership) propose(w *World, from ident.HostID, p Proposal) {
	if l == nil {
		return
	}
	p.Command.Wall = w.wall
	data, err := wire.Marshal(p.Command)
	if err != nil {
		w.send(from, Message{Proposed: &Proposed{Ticket: p.Ticket, Result: state.Result{Err: err.Error()}}})
		return
	}
	if i, err := w.node.Propose(data); err == nil {
		l.waiting[i] = proposer{host: from, ticket: p.Ticket}
	}
}

// applied answers the proposer of an entry, if this leader appended it.
func (l *leadership) applied(w *World, e quorum.Entry, res state.Result) {
	if l == nil {
		return
	}
	if e.Term == l.term {
		l.accepted = append(l.accepted, acceptance{index: e.Index, at: w.now})
	}
	p, ok := l.waiting[e.Index]
	delete(l.waiting, e.Index)
	if ok && e.Term == l.term && p.ticket != 0 {
		w.send(p.host, Message{Proposed: &Proposed{Ticket: p.ticket, Result: res}})
	}
}

func (l *leadership) answer(w *World, from ident.HostID, q Question) {
	if l == nil {
		return
	}
	a := Asked{Ticket: q.Ticket, Index: w.state.Applied}
	if r, ok := w.state.Claims.Get(q.Name); ok {
		a.Record = &r
	}
	w.send(from, Message{Asked: &a})
}

// renew extends a host's lease and returns what the host lacks.
func (l *leadership) renew(w *World, from ident.HostID, r lease.Renew) (lease.Renewed, *feed.Update) {
	reply := l.granter.Grant(from, r, w.now, l.behind(w, r.Applied))
	reply.Term = l.term
	if r.Applied >= w.state.Applied || w.hasLog(from) {
		return reply, nil
	}
	u := w.recent.Since(r.Applied, w.state)
	return reply, &u
}

func (w *World) hasLog(h ident.HostID) bool { return slices.Contains(w.founders(), h) }

// behind returns for how long a host at index has lacked an accepted command.
func (l *leadership) behind(w *World, index ident.Index) time.Duration {
	n, _ := slices.BinarySearchFunc(l.accepted, index+1, func(a acceptance, i ident.Index) int {
		return cmp.Compare(a.index, i)
	})
	if n == len(l.accepted) {
		return 0
	}
	return w.now.Sub(l.accepted[n].at)
}

func (l *leadership) wants(from ident.HostID, list []place.Want) {
	if l != nil {
		l.budget.SetWants(from, list)
	}
}

func (l *leadership) loadDone(g place.Grant) {
	if l != nil {
		l.budget.Done(g)
	}
}

// tickLeader runs the leader's systems.
func (w *World) tickLeader() {
	l := w.lead
	if l == nil {
		return
	}
	l.push(w)
	l.assign(w)
	l.abandon(w)
	l.stops(w)
	for _, g := range l.budget.Spend(w.now) {
		grant := g.Grant
		w.send(g.Host, Message{Grant: &grant})
	}
}

// push sends new commands to the hosts without a log.
func (l *leadership) push(w *World) {
	if w.state.Applied == l.pushed {
		return
	}
	u := w.recent.Since(l.pushed, w.state)
	l.pushed = w.state.Applied
	for _, h := range slices.Sorted(slices.Values(l.granter.Hosts())) {
		if !w.hasLog(h) {
			w.send(h, Message{Update: &u})
		}
	}
	if n := len(l.accepted) - feed.MaxRecent; n > 0 {
		l.accepted = l.accepted[n:]
	}
}

// assign gives endpoints without a living owner to the host that owns the fewest.
func (l *leadership) assign(w *World) {
	counts := l.ownedCounts(w)
	for _, e := range w.state.Owners.List() {
		if from, busy := l.assigning[e.ID]; busy && from == e.Fence {
			continue
		}
		if !l.needsOwner(w, e) {
			continue
		}
		to, ok := l.pickOwner(w, e, counts)
		if !ok {
			continue
		}
		counts[to]++
		l.assigning[e.ID] = e.Fence
		a := lease.Assign{Endpoint: e.ID, Owner: to, From: e.Fence}
		l.propose(w, w.Self, Proposal{Command: state.Command{Assign: &a}})
	}
}

func (l *leadership) needsOwner(w *World, e lease.Owned) bool {
	if e.Owner == "" {
		return true
	}
	return l.granter.Expired(e.Owner, w.now)
}

func (l *leadership) ownedCounts(w *World) map[ident.HostID]int {
	counts := map[ident.HostID]int{}
	for _, p := range w.Peers {
		if l.granter.Alive(p.Host, w.now) && !w.state.Stops.Stopping(drain.Host, string(p.Host)) {
			counts[p.Host] = 0
		}
	}
	for _, e := range w.state.Owners.List() {
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
		if !w.state.Claims.Stale(h, current) || w.now.Sub(l.abandoning[h]) < time.Second {
			continue
		}
		l.abandoning[h] = w.now
		l.propose(w, w.Self, Proposal{Command: state.Command{Abandon: &claim.Abandon{Host: h, Current: current}}})
	}
}

// sortedKeys returns the keys of m in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
