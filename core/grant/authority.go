package grant

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// Authority decides for all engines. It is only used by the host that leads.
type Authority struct {
	Params
	began   ident.Time
	now     ident.Time // of the latest step
	layout  *layout.Layout
	newest  map[book.AdapterRef]book.WeightsVersion
	engines map[ident.EndpointID]*engine
	waiting map[ID]*waiter
	// index finds engines by what they hold; cursor is where the next search among all of them begins.
	index  *holding
	cursor int
	// sorted are the engines in order of their ids; nil when one came or went.
	sorted []*engine
	// wants counts the waiting requests for each adapter.
	wants map[book.AdapterRef]int
	// asking is the number of reports on their way.
	asking int
	// copies counts the engines that hold each adapter, as of this step.
	copies map[book.AdapterRef]int
	// fetching is the number of loads from the store under way, ready that of engines, as of this step.
	fetching, ready int
	loads           int     // from the store, so far
	longReads       int     // long prompts whose time was learned from
	underWay        []*slot // loads from the store
	// storeTurn is the place of each adapter among those that wait for the store, storeLength their number.
	storeTurn            map[book.AdapterRef]int
	storeLength          int
	expiredAt, scannedAt ident.Time
	turnedAt             ident.Time // when the order of the store was last found
	placed               map[ID]ident.EndpointID
	budgets              map[ident.Service]*Budget
	// modelLoads are the times of the latest loads of base models.
	modelLoads map[ident.Service][]ident.Time
	pressures  map[ident.Service]pressure
	// strained is the smoothed share of streams of each service that were late for a pause.
	strained  map[ident.Service]float64
	overviews map[ident.Service]overview
	out       Effects
	// superseded is set when an engine knows a later holder; nothing is ordered after that.
	superseded bool
}

// waiter is an ask without a place.
type waiter struct {
	ask    Ask
	keys   []uint64
	since  ident.Time
	giveUp ident.Time // when the caller stops waiting
	// patience is how long the caller waits for an event.
	patience time.Duration
	// preparing is the engine at which room is being made for the adapter.
	preparing ident.EndpointID
	// nextTry is when it is looked at again, so that many events in a row don't cost a look each.
	nextTry ident.Time
	rank    time.Duration
	// last describes what it waited for in vain.
	last string
	// plan is the engine that it waits for, and planned what its prompt needs there.
	plan    *engine
	planned time.Duration
}

// planFor notes the engine that a request waits for, so that others do not count on it as free.
func (w *waiter) planFor(e *engine, read time.Duration) {
	if w.plan != nil {
		w.plan.planned -= w.planned
	}
	if w.plan = e; e != nil {
		w.planned = read
		e.planned += read
	}
}

// New returns an authority that knows nothing yet.
func New(p Params, now ident.Time) *Authority {
	return &Authority{
		Params: p, began: now, newest: map[book.AdapterRef]book.WeightsVersion{}, engines: map[ident.EndpointID]*engine{}, index: newHolding(),
		waiting: map[ID]*waiter{}, wants: map[book.AdapterRef]int{}, copies: map[book.AdapterRef]int{}, placed: map[ID]ident.EndpointID{}, budgets: map[ident.Service]*Budget{}, modelLoads: map[ident.Service][]ident.Time{}, pressures: map[ident.Service]pressure{}, strained: map[ident.Service]float64{}, overviews: map[ident.Service]overview{}, storeTurn: map[book.AdapterRef]int{},
	}
}

// SetLayout takes the layout in force.
func (t *Authority) SetLayout(l *layout.Layout) { t.layout = l }

// SetNewest takes the newest version of an adapter.
func (t *Authority) SetNewest(n book.Newest) { t.newest[n.Of] = n.Version }

// Observe takes news of an endpoint.
func (t *Authority) Observe(e census.Entry, now ident.Time) {
	if t.layout == nil {
		return
	}
	if s, ok := t.layout.Service(e.Service); !ok || s.Engine == nil {
		return
	}
	old := t.engines[e.Instance.ID]
	switch {
	case old == nil || old.entry.Instance != e.Instance:
		if e.State == census.Gone {
			return
		}
		if old != nil {
			old.leave()
		}
		t.engines[e.Instance.ID] = newEngine(e, t.index, t.RememberedAdapters)
		t.engines[e.Instance.ID].unknownAt = max(now, t.began)
		t.sorted = nil
	case e.State == census.Gone && len(old.running) == 0:
		old.leave()
		delete(t.engines, e.Instance.ID)
		t.sorted = nil
	default:
		models := old.entry.Models
		old.entry = e
		if len(e.Models) == 0 {
			old.entry.Models = models
		}
		if e.State == census.Ready {
			if cause := old.compare(e.Held, now, t.Params); cause != "" {
				t.doubt(old, now, cause)
			}
		}
	}
}

// ObserveHeartbeat takes that an engine sent a heartbeat whose content is not known here.
func (t *Authority) ObserveHeartbeat(i ident.Instance, now ident.Time) {
	if e := t.engines[i.ID]; e != nil && e.entry.Instance == i {
		e.entry.LastHeartbeat = now
	}
}

// doubt has an engine asked what it holds, not before the given time; no order goes there until it has answered.
func (t *Authority) doubt(e *engine, after ident.Time, cause string) {
	e.known, e.reportAt = false, after
	t.out.Notes = append(t.out.Notes, Note{Step: "doubt", Endpoint: e.entry.Instance.ID, Outcome: "asked", Inputs: cause})
}

// Ask takes a request for a place. An ask that is known already changes nothing, so it may be sent again.
func (t *Authority) Ask(a Ask, now ident.Time) {
	if _, known := t.waiting[a.ID]; known {
		return
	}
	if at, known := t.placed[a.ID]; known {
		if e := t.engines[at]; e != nil {
			t.reply(a, Reply{ID: a.ID, Place: t.place(e, a)})
		}
		return
	}
	b := t.budgetOf(a.Service, now)
	if a.Sends == 0 {
		b.CountRequest(now)
	} else if a.Sends >= maxSends || !b.Spend(now) {
		t.refuse(a, BudgetSpent, a.Left/8, "")
		return
	}
	t.waiting[a.ID] = &waiter{ask: a, keys: chain(a), since: now, giveUp: now.Add(a.Left), patience: a.patience()}
	t.wants[a.Ref]++
}

// patience returns how long the caller waits for an event.
func (a Ask) patience() time.Duration {
	if a.Silence == 0 {
		return a.Left
	}
	return min(a.Left, a.Silence)
}

func (t *Authority) budgetOf(s ident.Service, now ident.Time) *Budget {
	b := t.budgets[s]
	if b == nil {
		b = NewBudget(t.RetryRatio, t.RetryExtra, t.RetryWindow)
		t.budgets[s] = b
	}
	b.WithoutExtra = now.Sub(t.began) < t.SettleTime
	return b
}

// MergeSends takes what an entry host sent to a service before this authority began, so that the budget holds over both.
func (t *Authority) MergeSends(s ident.Service, sent Sends, now ident.Time) {
	t.budgetOf(s, now).Merge(sent, now)
}

// Resume takes a place that an entry host uses since before this authority began.
func (t *Authority) Resume(l RunningRequest, now ident.Time) {
	e := t.engines[l.Instance.ID]
	if e == nil || e.entry.Instance != l.Instance || e.running[l.Ask.ID] != nil {
		return
	}
	if l.Prefilled {
		e.start(l.Ask, now, 0, 0)
	} else {
		unread := max(l.Ask.Prompt-e.prompts.cached(l.Ask, chain(l.Ask)), 1)
		e.start(l.Ask, now, unread, t.readTime(unread, l.Ask.Prompt))
		e.running[l.Ask.ID].alone = false // when it was sent is not known here
	}
	t.placed[l.Ask.ID] = l.Instance.ID
	t.forget(l.Ask.ID)
}

// Remember takes where an adapter was served before this authority began: an engine that dropped it since loads it faster.
func (t *Authority) Remember(h Residency) {
	e := t.engines[h.Instance.ID]
	if e != nil && e.entry.Instance == h.Instance && e.slots[h.Ref] == nil && h.Ref.Adapter != "" {
		e.remember(h.Ref)
	}
}

// Withdraw forgets an ask whose caller left.
func (t *Authority) Withdraw(id ID) { t.forget(id) }

// forget takes an ask out of the queue.
func (t *Authority) forget(id ID) {
	w := t.waiting[id]
	if w == nil {
		return
	}
	delete(t.waiting, id)
	w.planFor(nil, 0)
	if t.wants[w.ask.Ref]--; t.wants[w.ask.Ref] <= 0 {
		delete(t.wants, w.ask.Ref)
	}
}

// inOrder returns the engines in order of their ids, so that equal inputs lead to equal decisions.
func (t *Authority) inOrder() []*engine {
	if t.sorted == nil {
		for _, id := range slices.Sorted(maps.Keys(t.engines)) {
			t.sorted = append(t.sorted, t.engines[id])
		}
	}
	return t.sorted
}

// End frees a place.
func (t *Authority) End(end End, now ident.Time) {
	t.forget(end.ID)
	e := t.engines[t.placed[end.ID]]
	delete(t.placed, end.ID)
	if e == nil {
		return
	}
	r, ok := e.end(end.ID)
	if !ok {
		return
	}
	switch end.Outcome {
	case Served:
		t.learnReading(r, end.First)
		t.learnPauses(r.ask, end.Gap)
		e.trouble.note(false, now)
		e.trouble.down = false
	case Failed:
		e.trouble.note(true, now)
	case Unreachable:
		e.trouble.note(true, now)
		e.trouble.unreachable(now)
	case NotRun:
		t.missed(e, r, now)
	}
}

func (t *Authority) place(e *engine, a Ask) *Place {
	p := &Place{Instance: e.entry.Instance, Address: e.entry.Address}
	if a.Ref.Adapter != "" {
		p.Version = t.versionOn(e, a.Ref)
	}
	return p
}

// versionOn returns the version that a request must be run with: the newest announced one, else the one held.
func (t *Authority) versionOn(e *engine, ref book.AdapterRef) book.WeightsVersion {
	if v := t.newest[ref]; v != 0 {
		return v
	}
	if s := e.slots[ref]; s != nil {
		return s.version
	}
	return 0
}

func (t *Authority) reply(a Ask, r Reply) {
	t.out.Replies = append(t.out.Replies, Routed{Host: a.Host, Reply: r})
}

func (t *Authority) refuse(a Ask, c Cause, after time.Duration, best string) {
	t.reply(a, Reply{ID: a.ID, Cause: c, After: after})
	t.note("refuse", a, "", string(c), fmt.Sprintf("left=%dms sends=%d waiting=%d adapter=%s %s%s", a.Left.Milliseconds(), a.Sends, len(t.waiting), a.Ref.Adapter, best, t.overview(a.Service)))
}

// overviewLife is how long a count of all engines is used again: refusals come in hundreds.
const overviewLife = 50 * time.Millisecond

// overview is a text for logs that counts engines, and when it was made.
type overview struct {
	at   ident.Time
	text string
}

// overview counts the engines of a service by what keeps them from taking a request.
func (t *Authority) overview(s ident.Service) string {
	o, known := t.overviews[s]
	if !known || t.now.Sub(o.at) >= overviewLife {
		o = overview{at: t.now, text: t.countEngines(s)}
		t.overviews[s] = o
	}
	return fmt.Sprintf("counted-ms-ago=%d %s", t.now.Sub(o.at).Milliseconds(), o.text)
}

func (t *Authority) countEngines(s ident.Service) string {
	var ready, unsure, ordering, transit, stored, held, used, running int
	distinct := map[book.AdapterRef]bool{}
	for _, e := range t.engines {
		if e.entry.Service != s || e.entry.State != census.Ready {
			continue
		}
		ready++
		if !e.known {
			unsure++
		}
		if e.ordering {
			ordering++
		}
		for ref, s := range e.slots {
			distinct[ref] = true
			held++
			if s.pins > 0 {
				used++
			}
		}
		running += len(e.running)
		all, fetched := e.transit(t.now)
		transit, stored = transit+all, stored+fetched
	}
	return fmt.Sprintf("engines=%d unsure=%d ordering=%d loading=%d fetching=%d running=%d slots=%d used=%d distinct=%d", ready, unsure, ordering, transit, stored, running, held, used, len(distinct))
}

func (t *Authority) note(step string, a Ask, at ident.EndpointID, outcome, inputs string) {
	t.out.Notes = append(t.out.Notes, Note{Step: step, Request: a.Request, Peer: a.Host, Endpoint: at, Outcome: outcome, Inputs: inputs})
}

// Step decides on all that waits and returns what is to be done.
func (t *Authority) Step(now ident.Time) Effects {
	t.now = now
	if now.Sub(t.expiredAt) >= expireEvery {
		t.expiredAt = now
		t.expire(now)
		t.countCopies()
		if t.layout != nil {
			t.measurePressure(now)
		}
	}
	if now.Sub(t.scannedAt) >= scanEvery+time.Duration(len(t.engines))*scanEach {
		t.scannedAt = now
		t.askReports(now)
		t.placeModels(now)
		t.followVersions(now)
	}
	t.countLoads(now)
	if now.Sub(t.turnedAt) >= turnEvery {
		t.turnedAt = now
		t.orderStore()
	}
	for _, w := range t.queue(now) {
		t.serve(w, now)
	}
	out := t.out
	t.out = Effects{}
	return out
}

// expire ends runs whose end was lost, and forgets engines that are gone.
func (t *Authority) expire(now ident.Time) {
	for id, e := range t.engines {
		for rid, r := range e.running {
			if now > r.endBy.Add(endSlack) {
				e.end(rid)
				delete(t.placed, rid)
			}
		}
		if now.Sub(e.entry.LastHeartbeat) > forgetAfter {
			e.leave()
			delete(t.engines, id)
			t.sorted = nil
		}
		if l, ok := t.layout.Service(e.entry.Service); ok && l.Engine != nil {
			e.prompts.trim(l.Engine.Memory * 7 / 10) // running requests need the rest
		}
	}
}

// Bounds of what is remembered.
const (
	endSlack    = 2 * time.Second // an entry host reports an end within a second of the deadline
	forgetAfter = 30 * time.Second
	expireEvery = 100 * time.Millisecond
	turnEvery   = 20 * time.Millisecond // a small part of a load
	scanEvery   = 5 * time.Millisecond  // of all engines; events come far more often
	// scanEach is added for each engine, so that scans take a few hundredths of a processor however many there are.
	scanEach = 10 * time.Microsecond
)

// askReports asks the engines whose state is not known.
func (t *Authority) askReports(now ident.Time) {
	for _, e := range t.inOrder() {
		if t.asking >= maxAsking {
			return
		}
		if e.asking || e.known || e.ordering || !e.usable(now, t.Params) || now < e.reportAt || now.Sub(e.askedAt) < reportEvery {
			continue
		}
		e.askedAt, e.asking = now, true
		t.asking++
		t.out.Reports = append(t.out.Reports, Target{Instance: e.entry.Instance, Address: e.entry.Address})
	}
}

// ReportFailed takes that an engine gave no report.
func (t *Authority) ReportFailed(i ident.Instance, now ident.Time) {
	if e := t.asked(i); e != nil {
		e.trouble.note(true, now)
	}
}

// asked ends the question to an engine and returns the engine, or nil when it has gone meanwhile.
func (t *Authority) asked(i ident.Instance) *engine {
	t.asking = max(0, t.asking-1)
	e := t.engines[i.ID]
	if e == nil || e.entry.Instance != i {
		return nil
	}
	e.asking = false
	return e
}

// maxAsking is the number of engines that are asked at once: after an election all of them have to be, and their answers
// must come within the timeout of a question.
const maxAsking = 48

// reportEvery is the pause between two questions to one engine; its answers are some hundred ms old.
const reportEvery = 400 * time.Millisecond

// ApplyReport takes an engine's report; it is ignored when an order was given meanwhile.
func (t *Authority) ApplyReport(i ident.Instance, r Report, now ident.Time) {
	e := t.asked(i)
	if e == nil || e.ordering || e.orderAt > e.askedAt {
		return
	}
	e.learn(r, now, t.Params)
	for _, h := range r.Held {
		if s := e.slots[h.Ref]; h.Loading && s.readyAt > now {
			t.fetch(s, now.Add(t.AdapterLoadTime)) // ordered by an earlier authority; whether it comes from the store is not told
		}
	}
}
