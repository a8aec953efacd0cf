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
	"shallotgap/core/poison"
	"shallotgap/core/quorum"
	"shallotgap/core/state"
	"shallotgap/core/wire"
)

// leadership is the state that a leader keeps for its term and does not replicate. Its methods for messages and
// applied entries do nothing on a nil leadership.
type leadership struct {
	term      ident.Term
	granter   *lease.Granter
	budget    *place.Budget
	proposers map[ident.Index]proposer // proposer of each log entry that this leader appended, by index
	// proposedAssigns holds the log index of the latest assignment proposed for an endpoint.
	proposedAssigns map[ident.EndpointID]ident.Index
	// abandonedAt holds when this leader last proposed to mark a host's open claims as in doubt.
	abandonedAt map[ident.HostID]ident.Time
	// revokedAt is the log index of the latest assignment that takes an endpoint from a host. The host gets no lease
	// until it has applied that index.
	revokedAt map[ident.HostID]ident.Index
	// proposedSteps holds the log index of the latest phase change proposed for a stop.
	proposedSteps map[drain.StopID]ident.Index
	// accepted holds the latest committed commands, oldest first, to compute for how long a host has lacked a command.
	accepted    []acceptedCommand
	pushedIndex ident.Index // last index sent to the hosts without a log
	nextAssign  ident.Time
	// hostsDown lists the hosts without a lease; updated once per tick.
	hostsDown []ident.HostID
	// poisonTimers tell when blocked contents are tried again; checked once per heartbeat interval.
	poisonTimers poison.Timers
	nextPoison   ident.Time
}

// proposer identifies the proposal that a log entry came from.
type proposer struct {
	host   ident.HostID
	ticket Ticket
}

// distantPast is earlier than any clock reading.
const distantPast = ident.Time(-1 << 62)

// maxLag exceeds every permitted lag, so that a host with this lag gets no lease.
const maxLag = time.Duration(1<<63 - 1)

// acceptedCommand is the log index of a command and the time at which this leader applied it.
type acceptedCommand struct {
	index      ident.Index
	acceptedAt ident.Time
}

func newLeadership(w *World, term ident.Term) *leadership {
	return &leadership{
		term:            term,
		granter:         lease.NewGranter(w.Params.Lease, w.now),
		budget:          &place.Budget{Rate: w.Params.StoreRate, InFlight: w.Params.StoreInFlight},
		proposers:       map[ident.Index]proposer{},
		proposedAssigns: map[ident.EndpointID]ident.Index{},
		abandonedAt:     map[ident.HostID]ident.Time{},
		revokedAt:       map[ident.HostID]ident.Index{},
		proposedSteps:   map[drain.StopID]ident.Index{},
		pushedIndex:     w.state.Applied,
		accepted:        []acceptedCommand{{index: w.state.Applied, acceptedAt: distantPast}},
	}
}

// propose appends a host's command to the log and returns its index, or 0 on failure. The host gets the result once the
// command is applied.
func (l *leadership) propose(w *World, from ident.HostID, p Proposal) ident.Index {
	if l == nil {
		return 0
	}
	p.Command.Wall = w.wall
	if p.Command.Mark != nil {
		m := *p.Command.Mark
		m.Hosts = l.stopMembers(w)
		p.Command.Mark = &m
	}
	data, err := wire.Marshal(p.Command)
	if err != nil {
		w.send(from, Message{Proposed: &Proposed{Ticket: p.Ticket, Result: state.Result{Err: err.Error()}}})
		return 0
	}
	index, err := w.node.Propose(data)
	if err != nil {
		return 0
	}
	l.proposers[index] = proposer{host: from, ticket: p.Ticket}
	return index
}

// applied records an applied entry and, if this leader appended it, sends the result to its proposer.
func (l *leadership) applied(w *World, e quorum.Entry, res state.Result) {
	if l == nil {
		return
	}
	accepted := acceptedCommand{index: e.Index, acceptedAt: w.now}
	if e.Term != l.term {
		// It is unknown when an earlier leader accepted the command: hosts that lack the command get no lease.
		accepted.acceptedAt = distantPast
	}
	l.accepted = append(l.accepted, accepted)
	p, ok := l.proposers[e.Index]
	delete(l.proposers, e.Index)
	if ok && e.Term == l.term && p.ticket != 0 {
		w.send(p.host, Message{Proposed: &Proposed{Ticket: p.ticket, Result: res}})
	}
}

// answerQuestion sends the record of a claim; only a leader that a majority has just confirmed may answer.
func (l *leadership) answerQuestion(w *World, from ident.HostID, q Question) {
	if l == nil || !w.node.LeadershipConfirmed() {
		return
	}
	asked := Asked{Ticket: q.Ticket, Index: w.state.Applied}
	if r, ok := w.state.Claims.Get(q.Name); ok {
		asked.Record = &r
	}
	w.send(from, Message{Asked: &asked})
}

// renewLease renews a host's lease or refuses to. For a host without a log it also returns the commands that the host lacks.
func (l *leadership) renewLease(w *World, from ident.HostID, r lease.RenewRequest) (lease.RenewReply, *feed.Update) {
	lag := l.lag(w, r.Applied)
	if r.Applied < l.revokedAt[from] {
		lag = maxLag
	}
	reply := l.granter.Grant(from, r, w.now, lag)
	reply.Term = l.term
	reply.Down = l.hostsDown
	if r.Applied >= w.state.Applied || w.hasLog(from) {
		return reply, nil
	}
	u := w.recent.Since(r.Applied, w.state)
	return reply, &u
}

// hasLog reports whether a host keeps the replicated log; all other hosts get updates from the leader.
func (w *World) hasLog(h ident.HostID) bool { return slices.Contains(w.diskHosts(), h) }

// lag returns for how long a host that has applied index has lacked an accepted command; 0 if it lacks none.
func (l *leadership) lag(w *World, index ident.Index) time.Duration {
	first, _ := slices.BinarySearchFunc(l.accepted, index+1, func(a acceptedCommand, i ident.Index) int {
		return cmp.Compare(a.index, i)
	})
	if first == len(l.accepted) {
		return 0
	}
	if l.accepted[first].acceptedAt == distantPast {
		return maxLag
	}
	return w.now.Sub(l.accepted[first].acceptedAt)
}

// setWants replaces the wanted loads of a host.
func (l *leadership) setWants(from ident.HostID, list []place.LoadRequest) {
	if l != nil {
		l.budget.SetLoadRequests(from, list)
	}
}

// loadDone returns a granted load to the load budget.
func (l *leadership) loadDone(w *World, d place.GrantEnd) {
	if l != nil {
		l.budget.Done(d, w.now)
	}
}

// tickLeader runs the periodic work of the leader; it does nothing on other hosts.
func (w *World) tickLeader() {
	l := w.leadership
	if l == nil || w.resignOnSlowDisk() {
		return
	}
	l.hostsDown = l.granter.Down(w.hostNames(), w.now)
	l.pushUpdates(w)
	l.assign(w)
	l.abandonClaims(w)
	l.releaseExpired(w)
	for _, g := range l.budget.GrantLoads(w.now) {
		grant := g.Grant
		w.send(g.Host, Message{Grant: &grant})
	}
	l.advanceStops(w)
	if w.now >= l.nextPoison {
		l.nextPoison = w.now.Add(w.Params.Heartbeat)
		for _, c := range l.poisonTimers.Due(w.state.Poison, w.now) {
			w.propose(state.Command{Poison: &c}, purpose{})
		}
	}
}

// releaseExpired returns the granted loads of hosts whose lease has expired to the load budget and drops their wanted loads.
func (l *leadership) releaseExpired(w *World) {
	for _, h := range l.granter.Hosts() {
		if l.granter.Expired(h, w.now) {
			l.budget.Forget(h)
		}
	}
}

// pushUpdates sends newly applied commands to the hosts without a log and drops the oldest entries of accepted.
func (l *leadership) pushUpdates(w *World) {
	if w.state.Applied == l.pushedIndex {
		return
	}
	u := w.recent.Since(l.pushedIndex, w.state)
	l.pushedIndex = w.state.Applied
	for _, h := range slices.Sorted(slices.Values(l.granter.Hosts())) {
		if !w.hasLog(h) {
			w.send(h, Message{Update: &u})
		}
	}
	if n := len(l.accepted) - feed.MaxRecent; n > 0 {
		l.accepted = l.accepted[n:]
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
