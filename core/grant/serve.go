package grant

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/resume"
)

// option is an engine that a request could be sent to, with the expected cost.
type option struct {
	engine *engine
	// cost is the expected time to the first event, plus penalties for lateness, the risk of failure and the delay of other requests.
	cost time.Duration
	// firstEvent is the expected time to the first event.
	firstEvent time.Duration
	// startDelay is the time until the request can be sent.
	startDelay time.Duration
	// prefill is the expected prefill time of the prompt.
	prefill        time.Duration
	uncachedTokens ident.Tokens
	// orderDelay is how long the load cannot be ordered yet: the engine accepts no order, or the store is saturated.
	orderDelay time.Duration
	// load is true when the adapter must be loaded first; evict is the adapter to unload for it, if any.
	load      bool
	evict     book.AdapterRef
	fromStore bool
	// limited is true for an engine with a limit, queueDelay the time in which it serves requests that are at least as urgent first.
	limited    bool
	queueDelay time.Duration
}

// decide grants a waiting request the engine with the lowest cost, orders a load for it, leaves it in the queue or rejects it.
// Typical traffic is a few popular and very many rare adapters, more than all engines have slots for.
func (t *Authority) decide(w *waiter, now ident.Time) {
	s, ok := t.layout.Service(w.ask.Service)
	if !ok || s.Engine == nil {
		t.rejectWaiter(w, NoService, retryAfterUnknown)
		return
	}
	if w.ask.Prompt+w.ask.Output > s.Engine.Memory {
		t.rejectWaiter(w, TooLarge, 0)
		return
	}
	if !s.Engine.CanHold(w.ask.Ref.Model, w.ask.Ref.Adapter != "") {
		t.rejectWaiter(w, TooLarge, 0)
		return
	}
	if e := t.engines[w.orderedOn]; e != nil && e.orderPending && e.resends == 0 && now.Sub(w.since) < w.ask.Left/4 {
		return
	}
	w.nextReview = now.Add(reviewInterval)
	w.planOn(nil, 0)
	if w.ask.Bound && !t.anyOfBuild(w.ask, now) {
		t.rejectWaiter(w, VersionGone, 0)
		return
	}
	if t.holdBack(w, now) {
		return
	}
	best, found := t.bestOption(w, s.Engine, now)
	remaining := w.since.Add(w.eventTimeout).Sub(now)
	switch {
	case !found:
		t.waitForEngine(w, now)
	case best.startDelay+best.queueDelay+best.prefill > remaining:
		w.lastOption = best.logText()
		t.rejectWaiter(w, best.lateCause(), best.startDelay+best.queueDelay)
	case best.orderDelay > 0:
		// The request stays in the authority's queue, where any engine can still be chosen, and is not bound to a busy engine yet.
		w.nextReview = now.Add(min(max(best.orderDelay/reviewDelayDivisor, reviewInterval), maxReviewInterval))
		t.waitOrReject(w, best, now)
	case best.load:
		t.orderLoad(best, w, now)
		w.planOn(best.engine, best.prefill)
	case best.startDelay == 0:
		t.grant(best, w, now)
	default:
		t.waitOrReject(w, best, now)
	}
}

// waitOrReject keeps a request in the queue until its best engine is ready, or rejects it when that would take longer than
// MaxWaitShare of the caller's event timeout.
func (t *Authority) waitOrReject(w *waiter, best option, now ident.Time) {
	w.lastOption = ""
	if !t.startsInTime(best, w, now) {
		w.lastOption = best.logText()
		t.rejectWaiter(w, best.lateCause(), best.startDelay+best.queueDelay)
		return
	}
	w.planOn(best.engine, best.prefill)
}

// lateCause returns the cause for rejecting a request for which its best option comes too late.
func (o option) lateCause() Cause {
	if o.limited {
		return Limited
	}
	return TooLate
}

// reviewInterval is the shortest time between two searches for an engine for one waiting request: a fraction of the shortest load.
const reviewInterval = 6 * time.Millisecond

// For requests that have to wait long, searches for an engine are less frequent: under overload hundreds of requests wait, and
// each search visits all engines.
const (
	reviewDelayDivisor = 8                     // a waiting request looks for an engine 8 times during its expected wait
	maxReviewInterval  = 40 * time.Millisecond // a small part of the shortest first-event target
)

// retryAfterUnknown is the retry delay given to callers when the layout or the endpoints are not known yet.
const retryAfterUnknown = 500 * time.Millisecond

// waitForEngine rejects a request that no engine can take once it has waited for an eighth of its time limit, or for
// MaxWaitShare of the caller's event timeout if that is shorter.
func (t *Authority) waitForEngine(w *waiter, now ident.Time) {
	patience := w.ask.Left / 8
	if t.isNarrow(w.ask) {
		patience = w.ask.Left / 4
		t.reserveEngine(w, now)
	}
	if now.Sub(w.since) > min(patience, time.Duration(t.MaxWaitShare*float64(w.eventTimeout))) {
		cause := TooLate
		if !t.anyUsable(w.ask, now) {
			cause = NoEndpoint
		}
		t.rejectWaiter(w, cause, retryAfterUnknown)
	}
}

// anyUsable reports whether a usable engine of the request's service holds its model.
func (t *Authority) anyUsable(a Ask, now ident.Time) bool {
	for _, e := range t.engines {
		if e.entry.Service == a.Service && e.usable(now, t.Params) && e.holdsModel(a.Ref.Model) {
			return true
		}
	}
	return false
}

func (t *Authority) rejectWaiter(w *waiter, c Cause, retryAfter time.Duration) {
	t.removeWaiter(w.ask.ID)
	t.reject(w.ask, c, retryAfter, w.lastOption)
}

// logText returns the option as key=value pairs for a log entry.
func (o option) logText() string {
	return fmt.Sprintf("best=%s wait=%dms held=%dms cost=%dms load=%t ", o.engine.entry.Instance.ID, o.startDelay.Milliseconds(), o.orderDelay.Milliseconds(), o.cost.Milliseconds(), o.load)
}

// grant assigns a waiting request to the engine of an option and replies with the place.
func (t *Authority) grant(o option, w *waiter, now ident.Time) {
	a := w.ask
	a.Left = w.deadline.Sub(now)
	p := t.newPlace(o.engine, a)
	t.takeSend(p.Instance, sendKind(a), now)
	o.engine.startRun(a, now, o.uncachedTokens, o.prefill)
	t.removeWaiter(a.ID)
	t.placements[a.ID] = o.engine.entry.Instance.ID
	t.shut.served(a.Ref)
	if len(w.suspects) > 0 {
		p.Watch = true
		o.engine.running[a.ID].suspects = w.suspects
		t.watch(a.ID, w.suspects)
	}
	if s := o.engine.slots[a.Ref]; s != nil && !s.confirmed {
		t.recordProbe(s, a.ID, now)
	}
	t.reply(a, Reply{ID: a.ID, Place: p})
	if a.Resumable {
		t.effects.Granted = append(t.effects.Granted, resume.Record{Attempt: resume.Attempt(a.Request), Service: a.Service, Build: p.Build, Wrote: a.Bound})
	}
	t.addNote("grant", a, p.Instance.ID, "granted", fmt.Sprintf("waited=%dms cost=%dms running=%d tokens=%d version=%d adapter=%s build=%s bound=%t", now.Sub(w.since).Milliseconds(), o.cost.Milliseconds(), len(o.engine.running), o.engine.reservedTokens, p.Version, a.Ref.Adapter, p.Build, a.Bound))
}

func sendKind(a Ask) SendKind {
	if a.Sends > 0 {
		return RetrySend
	}
	return FirstSend
}

// bestOption returns the option with the lowest cost. An engine whose limit lets the request start too late counts only if all usable
// engines have limits; others may get room before that.
func (t *Authority) bestOption(w *waiter, engine *layout.Engine, now ident.Time) (option, bool) {
	var best, late option
	found, foundLate, unlimited := false, false, false
	storeBusy := t.storeSaturated()
	candidates := t.candidates(w.ask.Ref)
	if w.ask.Bound {
		candidates = t.enginesByID() // a sample may hold none of the build
	}
	for _, e := range candidates {
		if !t.mayWrite(e, w.ask, now) || e.entry.Service != w.ask.Service || !e.usable(now, t.Params) || !e.holdsModel(w.ask.Ref.Model) || slices.Contains(w.ask.Avoid, e.entry.Instance.ID) {
			continue
		}
		if e.failures.recentlyUnreachable(w.ask.Host, now) || (len(w.suspects) > 0 && e.runsSuspect()) {
			continue
		}
		unlimited = unlimited || !t.limits.Limited(e.entry.Instance)
		o, ok := t.option(e, w, engine, storeBusy, now)
		if ok {
			o = t.addLimitDelay(o, w, now).addRest(w.ask.Host, now)
		}
		switch {
		case !ok:
		case o.limited && !t.startsInTime(o, w, now):
			if !foundLate || o.cost < late.cost {
				late, foundLate = o, true
			}
		case !found || o.cost < best.cost:
			best, found = o, true
		}
	}
	if !found && !unlimited {
		return late, foundLate
	}
	return best, found
}

// option returns the option of sending a request to an engine, with its cost. It returns false when the engine cannot take the
// request now.
func (t *Authority) option(e *engine, w *waiter, engine *layout.Engine, storeBusy bool, now ident.Time) (option, bool) {
	a := w.ask
	if len(e.running) >= engine.Slots || !t.hasRoom(e.entry.Instance, len(e.running), now) || e.reservedTokens+a.Prompt+a.Output > engine.Memory {
		return option{}, false
	}
	o := option{engine: e}
	o.uncachedTokens = max(a.Prompt-e.promptCache.cachedTokens(a, w.prefixKeys), 1)
	o.prefill = t.prefillTime(o.uncachedTokens, a.Prompt)
	o.firstEvent = o.prefill + max(0, e.prefillUntil.Sub(now)) + e.plannedPrefill
	o.cost += time.Duration(float64(len(e.running)) / float64(engine.Slots) * float64(batchCost))
	o.cost += e.pauseCost(a, o.prefill, t.pauseWeight(a.Service), now)
	o.cost += time.Duration(e.failures.decayedShare(now) * float64(failureCost))
	if e.entry.Domain != a.Domain {
		o.cost += t.CrossDomain
	}
	if a.Ref.Adapter == "" {
		return o.addWaitCost(w, now), true
	}
	s := e.slots[a.Ref]
	if s != nil && !s.accepted && (e.resends > 0 || !e.stateKnown) {
		return option{}, false // the engine has not answered the load order
	}
	if s != nil && !s.unloading && t.isCurrent(a.Ref, s) {
		o.startDelay = max(0, s.readyAt.Sub(now))
		if !s.accepted {
			o.startDelay = max(o.startDelay, s.loadTime)
		}
		if o.startDelay == 0 && !s.confirmed && s.probeID != "" {
			o.startDelay = max(0, s.probeSentAt.Add(probeTimeout).Sub(now))
		}
		if !e.stateKnown {
			// The adapters are known from a heartbeat only, which may be some seconds old; the engine's report has been requested.
			o.startDelay = max(o.startDelay, t.startedAt.Add(newAuthorityReportDelay).Sub(now))
		}
		return o.addWaitCost(w, now), true
	}
	if s != nil {
		return option{}, false // the adapter is being replaced or unloaded
	}
	o, ok := t.addLoadCost(o, e, a, engine, storeBusy, now)
	return o.addWaitCost(w, now), ok
}

// addWaitCost adds the time to the first event to the cost, and lateCost when that misses the request's target.
func (o option) addWaitCost(w *waiter, now ident.Time) option {
	o.firstEvent += o.startDelay
	o.cost += o.firstEvent
	if !w.meetsTarget(o, now) {
		o.cost += lateCost
	}
	return o
}

// meetsTarget reports whether the first event of an option is expected within the target of the request, if that has one.
func (w *waiter) meetsTarget(o option, now ident.Time) bool {
	return w.ask.Target <= 0 || now.Sub(w.since)+o.firstEvent+firstOverhead <= w.ask.Target
}

// Costs of an option, in time.
const (
	lateCost    = 500 * time.Millisecond // a late answer is worth three tenths of one on time; half of a target may be spent waiting
	batchCost   = 200 * time.Millisecond // a full batch slows down each token; the cost is the time of some tokens
	failureCost = 3 * time.Second        // cost of a failure for the caller: most of the time until its deadline
	evictCost   = 15 * time.Millisecond  // per recent use of the evicted adapter: a share of a fast load
)

// isCurrent reports whether a slot holds the newest version of its adapter.
func (t *Authority) isCurrent(ref book.AdapterRef, s *slot) bool {
	v := t.newestVersions[ref]
	return v == 0 || s.version >= v
}

// addLoadCost adds the cost of loading the adapter first, and the delay until the load can be ordered.
func (t *Authority) addLoadCost(o option, e *engine, a Ask, engine *layout.Engine, storeBusy bool, now ident.Time) (option, bool) {
	loading, _ := e.countLoads(now)
	switch {
	case !e.stateKnown && (e.hasReported || now.Sub(e.firstSeenAt) > firstReportTimeout), e.orderPending && e.resends > 0:
		return option{}, false // the engine's state is in doubt, or the engine does not answer orders or report requests
	case !e.stateKnown:
		o.orderDelay = reportOrderDelay // the first report is pending
	case e.orderPending:
		o.orderDelay = orderReplyDelay
	case loading >= t.MaxEngineLoads:
		o.orderDelay = t.AdapterLoadTime / 2 // on average, until one of the loads completes
	}
	o.orderDelay = max(o.orderDelay, e.ordersNotBefore.Sub(now))
	o.load = true
	o.fromStore = !e.recentlyUnloaded.has(a.Ref)
	loadDelay := t.AdapterLoadTime
	if !o.fromStore {
		loadDelay = time.Duration(float64(loadDelay) * t.FastLoadShare)
	} else {
		o.cost += t.LoadCost
		if t.copies[a.Ref] > 0 {
			// Another copy takes a slot from another adapter.
			o.cost += time.Duration(t.pressures[a.Service].value * float64(t.CopyCost))
		}
		if storeBusy {
			o.orderDelay = max(o.orderDelay, t.storeWait(a.Ref))
		}
	}
	o.startDelay = loadDelay + o.orderDelay
	if e.fitsAdapter(engine, a.Ref) {
		return o, true
	}
	ref, weight, ok := t.evictionCandidate(e, a, now)
	if !ok {
		return option{}, false
	}
	o.evict = ref
	o.cost += time.Duration(weight * float64(evictCost))
	return o, true
}

// Longest expected delays until an order can be sent to an engine.
const (
	newAuthorityReportDelay = 60 * time.Millisecond  // time after the start of an authority: some network round trips
	reportOrderDelay        = 150 * time.Millisecond // time for the report requests to this engine and to the engines ahead of it
	firstReportTimeout      = 900 * time.Millisecond // time for the delay before the first report request and for two requests
	orderReplyDelay         = 10 * time.Millisecond  // some network round trips
)

// evictionCandidate returns the adapter to evict: the one with the fewest recent requests that is not in use, loading or
// waited for. A new authority evicts nothing until SettleTime has passed. A stream that has few engines to choose from may have an
// adapter evicted that others wait for, as they can have it elsewhere.
func (t *Authority) evictionCandidate(e *engine, a Ask, now ident.Time) (book.AdapterRef, float64, bool) {
	var best book.AdapterRef
	weight, found := 0.0, false
	if now.Sub(t.startedAt) < t.SettleTime {
		return best, 0, false
	}
	for ref, s := range e.slots {
		if s.pins > 0 || s.unloading || s.readyAt > now || (t.hasWaiter(ref) && !t.isNarrow(a)) {
			continue
		}
		v := s.decayedUses(now)
		if !found || v < weight || (v == weight && ref.Adapter < best.Adapter) {
			best, weight, found = ref, v, true
		}
	}
	return best, weight, found
}

// hasWaiter reports whether a request waits for an adapter.
func (t *Authority) hasWaiter(ref book.AdapterRef) bool {
	return t.waitingByAdapter[ref] > 0
}

// countCopies recounts the ready engines and the copies of each adapter.
func (t *Authority) countCopies() {
	t.readyEngines = 0
	clear(t.copies)
	for _, e := range t.engines {
		if e.entry.State == census.Ready {
			t.readyEngines++
		}
		for ref, s := range e.slots {
			if !s.unloading {
				t.copies[ref]++
			}
		}
	}
}
