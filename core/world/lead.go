package world

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
	// assigning holds the index of the latest assignment proposed; abandoning the time of the latest proposal.
	assigning  map[ident.EndpointID]ident.Index
	abandoning map[ident.HostID]ident.Time
	// taken is the index of the latest assignment that takes an endpoint from a host: it gets no lease before it knows.
	taken map[ident.HostID]ident.Index
	// advancing holds the index of the latest step proposed for a stop.
	advancing map[drain.StopID]ident.Index
	// accepted are the latest public commands with the time of their acceptance, oldest first.
	accepted []acceptance
	pushed   ident.Index
	assignAt ident.Time
	// down are the hosts without a lease, looked up once a tick.
	down []ident.HostID
}

type proposer struct {
	host   ident.HostID
	ticket Ticket
}

// longAgo is before every reading of a clock.
const longAgo = ident.Time(-1 << 62)

// unbounded is longer than any lag that a host may have.
const unbounded = time.Duration(1<<63 - 1)

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
		assigning:  map[ident.EndpointID]ident.Index{},
		abandoning: map[ident.HostID]ident.Time{},
		taken:      map[ident.HostID]ident.Index{},
		advancing:  map[drain.StopID]ident.Index{},
		pushed:     w.state.Applied,
		accepted:   []acceptance{{index: w.state.Applied, at: longAgo}},
	}
}

// propose appends a command for a host, remembers whom to answer, and returns the index, or 0.
func (l *leadership) propose(w *World, from ident.HostID, p Proposal) ident.Index {
	if l == nil {
		return 0
	}
	p.Command.Wall = w.wall
	if p.Command.Mark != nil {
		m := *p.Command.Mark
		m.Hosts = l.members(w)
		p.Command.Mark = &m
	}
	data, err := wire.Marshal(p.Command)
	if err != nil {
		w.send(from, Message{Proposed: &Proposed{Ticket: p.Ticket, Result: state.Result{Err: err.Error()}}})
		return 0
	}
	i, err := w.node.Propose(data)
	if err != nil {
		return 0
	}
	l.waiting[i] = proposer{host: from, ticket: p.Ticket}
	return i
}

// applied answers the proposer of an entry, if this leader appended it.
func (l *leadership) applied(w *World, e quorum.Entry, res state.Result) {
	if l == nil {
		return
	}
	a := acceptance{index: e.Index, at: w.now}
	if e.Term != l.term {
		// An earlier leader may have accepted it long ago: no host renews without it.
		a.at = longAgo
	}
	l.accepted = append(l.accepted, a)
	p, ok := l.waiting[e.Index]
	delete(l.waiting, e.Index)
	if ok && e.Term == l.term && p.ticket != 0 {
		w.send(p.host, Message{Proposed: &Proposed{Ticket: p.ticket, Result: res}})
	}
}

func (l *leadership) answer(w *World, from ident.HostID, q Question) {
	if l == nil || !w.node.LeadershipConfirmed() {
		return
	}
	a := Asked{Ticket: q.Ticket, Index: w.state.Applied}
	if r, ok := w.state.Claims.Get(q.Name); ok {
		a.Record = &r
	}
	w.send(from, Message{Asked: &a})
}

// renew extends a host's lease and returns what the host lacks.
func (l *leadership) renew(w *World, from ident.HostID, r lease.RenewRequest) (lease.RenewReply, *feed.Update) {
	behind := l.behind(w, r.Applied)
	if r.Applied < l.taken[from] {
		behind = unbounded
	}
	reply := l.granter.Grant(from, r, w.now, behind)
	reply.Term = l.term
	reply.Down = l.down
	if r.Applied >= w.state.Applied || w.hasLog(from) {
		return reply, nil
	}
	u := w.recent.Since(r.Applied, w.state)
	return reply, &u
}

func (w *World) hasLog(h ident.HostID) bool { return slices.Contains(w.diskHosts(), h) }

// behind returns for how long a host at index has lacked an accepted command.
func (l *leadership) behind(w *World, index ident.Index) time.Duration {
	n, _ := slices.BinarySearchFunc(l.accepted, index+1, func(a acceptance, i ident.Index) int {
		return cmp.Compare(a.index, i)
	})
	if n == len(l.accepted) {
		return 0
	}
	if l.accepted[n].at == longAgo {
		return unbounded
	}
	return w.now.Sub(l.accepted[n].at)
}

func (l *leadership) wants(from ident.HostID, list []place.LoadRequest) {
	if l != nil {
		l.budget.SetLoadRequests(from, list)
	}
}

func (l *leadership) loadDone(w *World, d place.GrantEnd) {
	if l != nil {
		l.budget.Done(d, w.now)
	}
}

// tickLeader runs the leader's systems.
func (w *World) tickLeader() {
	l := w.lead
	if l == nil {
		return
	}
	l.down = l.granter.Down(w.hostNames(), w.now)
	l.push(w)
	l.assign(w)
	l.abandon(w)
	l.forgetLost(w)
	for _, g := range l.budget.GrantLoads(w.now) {
		grant := g.Grant
		w.send(g.Host, Message{Grant: &grant})
	}
	l.stops(w)
}

// forgetLost frees the loads and drops the wishes of hosts whose lease has ended.
func (l *leadership) forgetLost(w *World) {
	for _, h := range l.granter.Hosts() {
		if l.granter.Expired(h, w.now) {
			l.budget.Forget(h)
		}
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

// sortedKeys returns the keys of m in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
