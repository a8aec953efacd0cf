package grant

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"shallotgap/core/heed"
	"shallotgap/core/ident"
	"shallotgap/core/limit"
)

// SendKind is the kind of a send to an endpoint with a limit.
type SendKind string

// The kinds of sends. All of them count.
const (
	FirstSend  SendKind = "first"
	RetrySend  SendKind = "retry"
	PermitSend SendKind = "permit"
	OrderSend  SendKind = "order"
	ReportSend SendKind = "report"
	ProbeSend  SendKind = "probe"
)

// LimitedSend is a send to an endpoint with a limit.
type LimitedSend struct {
	Instance ident.Instance
	Kind     SendKind
}

// limitWatch is the part of an Authority that keeps the limits of endpoints over all hosts.
type limitWatch struct {
	rooms      map[ident.Instance]*heed.Room // brittle endpoints
	limits     *limit.Pool
	limitTable *limit.Table
	// permitWaiters are the requests for plain services that wait for a permit, permits the ones that got one lately.
	permitWaiters map[ID]*permitWaiter
	permits       map[ID]permit
}

// permitWaiter is a request for a plain service that waits until an endpoint with a limit may be sent it.
type permitWaiter struct {
	ask             Ask
	since, deadline ident.Time
}

// permit is a permit that a request for a plain service got.
type permit struct {
	instance ident.Instance
	ask      Ask
	until    ident.Time // when the permit is forgotten, and the request has ended
	brittle  bool       // the request takes a place at a brittle endpoint until it has ended
}

// reply returns the reply that carries the permit. The end of a suspected request, and of one at a brittle endpoint, is watched.
func (p permit) reply() Reply {
	return Reply{ID: p.ask.ID, Place: &Place{Instance: p.instance, Watch: len(p.ask.Whole) > 0 || p.brittle}}
}

// permitMemory is how long a permit is remembered, so that a request that asks again gets the same one.
const permitMemory = 2 * time.Second

func newLimitWatch() limitWatch {
	table := limit.NewTable()
	return limitWatch{rooms: map[ident.Instance]*heed.Room{}, limits: limit.NewPool(table, 0), limitTable: table, permitWaiters: map[ID]*permitWaiter{}, permits: map[ID]permit{}}
}

// SetLimits sets the replicated table of limits at the start of the authority.
func (t *Authority) SetLimits(table *limit.Table, now ident.Time) {
	t.limits, t.limitTable = limit.NewPool(table, now), table
}

// ObserveLimit applies what a host learned of an endpoint's limit.
func (t *Authority) ObserveLimit(s limit.Seen, now ident.Time) { t.limits.Observe(s, now) }

// takeSend counts a send to an endpoint against its limit.
func (t *Authority) takeSend(i ident.Instance, k SendKind, now ident.Time) {
	if t.limits.Take(i, now) {
		t.effects.Sends = append(t.effects.Sends, LimitedSend{Instance: i, Kind: k})
	}
}

// mayCall reports whether an engine's limit allows an order or a report request now.
func (t *Authority) mayCall(e *engine, now ident.Time) bool {
	return t.limits.Wait(e.entry.Instance, now) == 0
}

// An engine with a limit that was sent nothing for long is preferred, since it is lost capacity and only its answers tell when the
// limit has ended.
const (
	probeAfter     = 2 * time.Second
	loadProbeAfter = 10 * time.Second       // if the probe costs a load
	probeBonus     = 300 * time.Millisecond // subtracted from the cost: more than the usual differences
)

// addLimitDelay adds the time until the engine's limit allows the sends that an option needs, after those for requests that are at
// least as urgent.
func (t *Authority) addLimitDelay(o option, w *waiter, now ident.Time) option {
	i := o.engine.entry.Instance
	if !t.limits.Limited(i) {
		return o
	}
	before := o.startDelay
	sends := 1
	if o.load {
		sends++
		o.orderDelay = max(o.orderDelay, t.limits.Wait(i, now))
	}
	if o.evict.Adapter != "" {
		sends++
	}
	o.limited = true
	wait := t.limits.WaitFor(i, sends, now)
	o.startDelay = max(o.startDelay, wait)
	if o.startDelay > 0 { // otherwise this request is first, as they are decided on in the order of their ranks
		o.queueDelay = max(0, t.limits.WaitFor(i, sends+o.engine.plannedBefore(w.ask.Priority), now)-max(wait, o.startDelay))
	}
	onTime := w.meetsTarget(o, now)
	extra := o.startDelay - before + o.queueDelay
	o.firstEvent += extra
	orders := time.Duration(sends-1) * t.limits.Interval(i) // an order takes the place of a request
	o.cost += extra + orders
	if onTime && !w.meetsTarget(o, now) {
		o.cost += lateCost
	}
	switch idle := t.limits.IdleFor(i, now); {
	case !o.load && idle > probeAfter:
		o.cost -= probeBonus
	case o.load && idle > loadProbeAfter:
		o.cost -= probeBonus + orders + t.LoadCost + t.AdapterLoadTime
	}
	return o
}

// startsInTime reports whether an option starts before the request has spent MaxWaitShare of the caller's event timeout.
func (t *Authority) startsInTime(o option, w *waiter, now ident.Time) bool {
	return now.Sub(w.since)+o.startDelay+o.queueDelay <= time.Duration(t.MaxWaitShare*float64(w.eventTimeout))
}

// plannedBefore counts the requests of the given or a more urgent priority that wait for an engine.
func (e *engine) plannedBefore(priority int) int {
	n := 0
	for p, count := range e.plannedRequests {
		if p <= priority {
			n += count
		}
	}
	return n
}

// askPermit adds a request for a plain service to those that wait for a permit.
func (t *Authority) askPermit(a Ask, now ident.Time) {
	if p, known := t.permits[a.ID]; known {
		t.reply(a, p.reply())
		return
	}
	if t.permitWaiters[a.ID] == nil {
		t.permitWaiters[a.ID] = &permitWaiter{ask: a, since: now, deadline: now.Add(a.Left)}
	}
}

// withdrawPermit removes a request that needs no permit any more. One that was granted and not used is taken back.
func (t *Authority) withdrawPermit(id ID) {
	delete(t.permitWaiters, id)
	if p, known := t.permits[id]; known {
		delete(t.permits, id)
		t.limits.Return(p.instance)
	}
}

// endPermit ends the run of a suspected request, or takes a permit back that was not used.
func (t *Authority) endPermit(end End, now ident.Time) {
	p, known := t.permits[end.ID]
	if !known || (len(p.ask.Whole) == 0 && !p.brittle) || end.Outcome == Cancelled {
		t.withdrawPermit(end.ID)
		return
	}
	delete(t.permits, end.ID)
	if end.Full {
		t.recordRejection(p.instance, t.permitted(p.instance), now)
	}
	if end.Outcome == Served && len(p.ask.Whole) > 0 {
		t.markWritten(p.ask, now)
	}
}

// stepPermits gives permits to the most urgent requests, and rejects those whose turn would come too late.
func (t *Authority) stepPermits(now ident.Time) {
	if len(t.permitWaiters) == 0 {
		return
	}
	list := make([]*permitWaiter, 0, len(t.permitWaiters))
	for _, w := range t.permitWaiters {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *permitWaiter) int {
		return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(a.since, b.since), cmp.Compare(a.ask.ID, b.ask.ID))
	})
	turns := map[ident.Instance]int{} // requests ahead at each endpoint
	for _, w := range list {
		if t.holdSuspect(w, now) {
			continue
		}
		best, wait, found := t.nextTurn(w.ask, turns, now)
		switch {
		case !found:
			delete(t.permitWaiters, w.ask.ID)
			t.reject(w.ask, NoEndpoint, retryAfterUnknown, "")
		case wait == 0:
			t.givePermit(w, best, now)
		case now.Add(wait) > w.deadline:
			delete(t.permitWaiters, w.ask.ID)
			t.reject(w.ask, Limited, wait, fmt.Sprintf("endpoint=%s wait=%dms ahead=%d ", best.ID, wait.Milliseconds(), turns[best]))
		default:
			turns[best]++
		}
	}
}

// nextTurn returns the endpoint at which a request's turn comes first, and the time until then.
func (t *Authority) nextTurn(a Ask, turns map[ident.Instance]int, now ident.Time) (ident.Instance, time.Duration, bool) {
	var best ident.Instance
	var shortest time.Duration
	found := false
	for _, i := range a.Permit {
		if slices.Contains(a.Avoid, i.ID) || t.hasCrashed(i) {
			continue
		}
		wait := t.limits.WaitFor(i, 1+turns[i], now)
		if t.rooms[i] != nil && (turns[i] > 0 || !t.hasRoom(i, t.permitted(i), now)) {
			wait = max(wait, time.Duration(1+turns[i])*roomTurn)
		}
		if !found || wait < shortest {
			best, shortest, found = i, wait, true
		}
	}
	return best, shortest, found
}

func (t *Authority) givePermit(w *permitWaiter, i ident.Instance, now ident.Time) {
	delete(t.permitWaiters, w.ask.ID)
	t.permits[w.ask.ID] = permit{instance: i, ask: w.ask, until: now.Add(max(permitMemory, w.ask.Left)), brittle: t.rooms[i] != nil}
	t.takeSend(i, PermitSend, now)
	t.watch(w.ask.ID, w.ask.Whole)
	t.reply(w.ask, t.permits[w.ask.ID].reply())
	t.addNote("permit", w.ask, i.ID, "granted", fmt.Sprintf("waited=%dms sends=%d waiting=%d", now.Sub(w.since).Milliseconds(), w.ask.Sends, len(t.permitWaiters)))
}

// stepLimits notes changes of limits and brings the replicated table in line.
func (t *Authority) stepLimits(now ident.Time) {
	for _, c := range t.limits.Changes() {
		outcome := "changed"
		switch {
		case c.Ended:
			outcome = "ended"
		case c.From == 0:
			outcome = "began"
		}
		t.effects.Notes = append(t.effects.Notes, Note{
			Step: "limit", Endpoint: c.Instance.ID, Outcome: outcome, Inputs: fmt.Sprintf("rate=%g from=%g service=%s cause=%q", float64(c.Rate), float64(c.From), c.Service, c.Cause),
		})
	}
	t.effects.Limits = append(t.effects.Limits, t.limits.Sync(t.limitTable, now)...)
}

// expirePermits forgets old permits.
func (t *Authority) expirePermits(now ident.Time) {
	for id, p := range t.permits {
		if now > p.until {
			delete(t.permits, id)
		}
	}
}
