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
	"shallotgap/core/poison"
	"shallotgap/core/resume"
)

// Authority schedules all requests for engines: it grants them, orders loads and evictions of adapters, and rejects requests.
// Only the elected leader uses it.
type Authority struct {
	Params
	poisonWatch
	limitWatch
	startedAt      ident.Time
	lastStep       ident.Time // time of the latest Step
	layout         *layout.Layout
	builds         *resume.Builds // nil if engines of all builds may be used
	newestVersions map[book.AdapterRef]book.WeightsVersion
	engines        map[ident.EndpointID]*engine
	waiting        map[ID]*waiter
	// residency finds engines by adapter; searchCursor is the position at which the next sampled search over all engines starts.
	residency    *residencyIndex
	searchCursor int
	// sortedByID holds the engines in order of their ids; nil after an engine was added or removed.
	sortedByID []*engine
	// waitingByAdapter counts the waiting requests for each adapter.
	waitingByAdapter map[book.AdapterRef]int
	// pendingReports is the number of engine reports that were requested and have not arrived.
	pendingReports int
	// copies counts the engines that hold each adapter; recounted every expireEvery.
	copies map[book.AdapterRef]int
	// storeLoads is the number of running loads from the weight store, readyEngines the number of ready engines.
	storeLoads, readyEngines int
	startedStoreLoads        int     // loads from the store ordered by this authority
	observedLongPrefills     int     // long prompts that PairTime was estimated from
	activeStoreLoads         []*slot // running loads from the store
	// storeRank is the position of each adapter in the queue for the store, storeQueueLength the length of that queue.
	storeRank            map[book.AdapterRef]int
	storeQueueLength     int
	lastExpiry, lastScan ident.Time
	lastStoreRanking     ident.Time              // time of the latest run of rankStoreQueue
	placements           map[ID]ident.EndpointID // engine of each granted request
	budgets              map[ident.Service]*Budget
	// modelLoads holds the times of the recent loads of base models.
	modelLoads map[ident.Service][]ident.Time
	pressures  map[ident.Service]pressure
	// lateShares is the smoothed share of streams of each service with a pause longer than allowed.
	lateShares      map[ident.Service]float64
	engineSummaries map[ident.Service]summary
	effects         Effects
	shut            shutWatch
}

// waiter is a request that waits for a grant.
type waiter struct {
	ask        Ask
	prefixKeys []uint64
	since      ident.Time // when the ask arrived
	deadline   ident.Time // caller's deadline
	// eventTimeout is how long, counted from since, the caller waits for the first event.
	eventTimeout time.Duration
	// orderedOn is the engine that was sent a load or an eviction for this request.
	orderedOn ident.EndpointID
	// nextReview is the earliest time of the next search for an engine, so that frequent steps do not repeat the search.
	nextReview ident.Time
	rank       time.Duration // see Authority.rank; the lowest rank is served first
	// lastOption describes the best engine that the latest search found, for the log entry of a rejection.
	lastOption string
	// plannedEngine is the engine that the request waits for, plannedPrefill the expected prefill time there.
	plannedEngine  *engine
	plannedPrefill time.Duration
	suspects       []poison.Part // the parts of the prompt that are suspected to crash engines
}

// planOn sets the engine that a request waits for and adds the prefill time of the request to the engine's plannedPrefill, so
// that other requests see the engine as busy. With a nil engine, it only removes the previous plan.
func (w *waiter) planOn(e *engine, prefill time.Duration) {
	if w.plannedEngine != nil {
		w.plannedEngine.plannedPrefill -= w.plannedPrefill
		w.plannedEngine.plannedRequests[w.ask.Priority]--
	}
	if w.plannedEngine = e; e != nil {
		w.plannedPrefill = prefill
		e.plannedPrefill += prefill
		e.plannedRequests[w.ask.Priority]++
	}
}

// New returns an authority without engines, layout or waiting requests.
func New(p Params, now ident.Time) *Authority {
	return &Authority{
		Params: p, poisonWatch: newPoisonWatch(), limitWatch: newLimitWatch(), startedAt: now, newestVersions: map[book.AdapterRef]book.WeightsVersion{}, engines: map[ident.EndpointID]*engine{}, residency: newResidencyIndex(),
		waiting: map[ID]*waiter{}, waitingByAdapter: map[book.AdapterRef]int{}, copies: map[book.AdapterRef]int{}, placements: map[ID]ident.EndpointID{}, budgets: map[ident.Service]*Budget{}, modelLoads: map[ident.Service][]ident.Time{}, pressures: map[ident.Service]pressure{}, lateShares: map[ident.Service]float64{}, engineSummaries: map[ident.Service]summary{}, storeRank: map[book.AdapterRef]int{},
	}
}

// SetLayout sets the current layout.
func (t *Authority) SetLayout(l *layout.Layout) { t.layout = l }

// SetBuilds sets the replicated table of builds. Engines of other builds get no requests, as a later leader would not know of them.
func (t *Authority) SetBuilds(b *resume.Builds) { t.builds = b }

// SetNewest sets the newest version of an adapter.
func (t *Authority) SetNewest(n book.Newest) { t.newestVersions[n.Of] = n.Version }

// Observe updates the authority's view of an engine from its membership entry. Entries of plain endpoints are ignored.
func (t *Authority) Observe(e census.Entry, now ident.Time) {
	t.limits.Replaced(e.Instance, e.State == census.Gone)
	t.heardOf(e.Instance, e.LastHeartbeat)
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
			old.removeFromIndex()
		}
		t.engines[e.Instance.ID] = newEngine(e, t.residency, t.RememberedAdapters)
		t.engines[e.Instance.ID].firstSeenAt = max(now, t.startedAt)
		t.sortedByID = nil
	case e.State == census.Gone && len(old.running) == 0:
		old.removeFromIndex()
		delete(t.engines, e.Instance.ID)
		t.sortedByID = nil
	default:
		models := old.entry.Models
		e.LastHeartbeat = max(e.LastHeartbeat, old.entry.LastHeartbeat)
		old.entry = e
		if len(e.Models) == 0 {
			old.entry.Models = models
		}
		if e.State == census.Ready {
			if cause := old.diffHeartbeat(e.Held, now, t.Params); cause != "" {
				t.requestReport(old, now, cause)
			}
		}
	}
}

// ObserveHeartbeat records the time of a heartbeat whose content is not known.
func (t *Authority) ObserveHeartbeat(i ident.Instance, now ident.Time) {
	t.heardOf(i, now)
	if e := t.engines[i.ID]; e != nil && e.entry.Instance == i {
		e.entry.LastHeartbeat = max(e.entry.LastHeartbeat, now)
	}
}

// requestReport marks an engine's state as unknown and requests its report, not before the given time. No orders are sent to
// the engine until the report has arrived.
func (t *Authority) requestReport(e *engine, notBefore ident.Time, cause string) {
	if e.stateKnown || e.doubtSince == 0 {
		e.doubtSince, e.doubtCause = notBefore, cause
	}
	e.stateKnown, e.reportNotBefore = false, notBefore
	t.effects.Notes = append(t.effects.Notes, Note{Step: "doubt", Endpoint: e.entry.Instance.ID, Outcome: "asked", Inputs: cause})
}

// Ask adds a request to the queue, or rejects it when it exceeds maxSends or the retry budget. Ask is idempotent: an ask that is
// already waiting is ignored, and one that was granted gets the same place again.
func (t *Authority) Ask(a Ask, now ident.Time) {
	if len(a.Permit) > 0 {
		t.askPermit(a, now)
		return
	}
	if _, known := t.waiting[a.ID]; known {
		return
	}
	if engineID, known := t.placements[a.ID]; known {
		if e := t.engines[engineID]; e != nil {
			t.reply(a, Reply{ID: a.ID, Place: t.newPlace(e, a)})
		}
		return
	}
	if _, blocked := t.suspectsOf(a, now); blocked {
		t.reject(a, Poison, poison.RetryAfter, "")
		return
	}
	b := t.budgetOf(a.Service, now)
	if a.Sends == 0 {
		b.CountRequest(now)
	} else if a.Sends >= maxSends || !b.Spend(now) {
		t.reject(a, BudgetSpent, a.Left/8, "")
		return
	}
	t.waiting[a.ID] = &waiter{ask: a, prefixKeys: prefixKeys(a), since: now, deadline: now.Add(a.Left), eventTimeout: a.eventTimeout()}
	t.waitingByAdapter[a.Ref]++
}

// eventTimeout returns how long the caller waits for the first event.
func (a Ask) eventTimeout() time.Duration {
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
	b.WithoutExtra = now.Sub(t.startedAt) < t.SettleTime
	return b
}

// MergeSends adds the sends to a service that an entry host counted before this authority started, so that the retry budget
// also holds across a change of the leader.
func (t *Authority) MergeSends(s ident.Service, sent Sends, now ident.Time) {
	t.budgetOf(s, now).Merge(sent, now)
}

// Resume registers a running request that was granted by an earlier authority.
func (t *Authority) Resume(r RunningRequest, now ident.Time) {
	e := t.engines[r.Instance.ID]
	if e == nil || e.entry.Instance != r.Instance || e.running[r.Ask.ID] != nil {
		return
	}
	if r.Prefilled {
		e.startRun(r.Ask, now, 0, 0)
	} else {
		uncached := max(r.Ask.Prompt-e.promptCache.cachedTokens(r.Ask, prefixKeys(r.Ask)), 1)
		e.startRun(r.Ask, now, uncached, t.prefillTime(uncached, r.Ask.Prompt))
		e.running[r.Ask.ID].prefilledAlone = false // not known, as a RunningRequest does not hold the time at which the request was sent
	}
	t.placements[r.Ask.ID] = r.Instance.ID
	t.removeWaiter(r.Ask.ID)
	if r.Wrote >= WrittenAfter {
		t.markWritten(r.Ask, now)
	} else if suspects, _ := t.suspectsOf(r.Ask, now); len(suspects) > 0 {
		e.running[r.Ask.ID].suspects = suspects
		t.watch(r.Ask.ID, suspects)
	}
}

// Remember records that an engine held an adapter under an earlier authority. If the engine has unloaded the adapter since, a
// new load there is fast.
func (t *Authority) Remember(r Residency) {
	e := t.engines[r.Instance.ID]
	if e != nil && e.entry.Instance == r.Instance && e.slots[r.Ref] == nil && r.Ref.Adapter != "" {
		e.remember(r.Ref)
	}
}

// Withdraw removes a waiting request whose caller left.
func (t *Authority) Withdraw(id ID) {
	t.removeWaiter(id)
	t.withdrawPermit(id)
}

// removeWaiter removes a request from the queue.
func (t *Authority) removeWaiter(id ID) {
	w := t.waiting[id]
	if w == nil {
		return
	}
	delete(t.waiting, id)
	w.planOn(nil, 0)
	if t.waitingByAdapter[w.ask.Ref]--; t.waitingByAdapter[w.ask.Ref] <= 0 {
		delete(t.waitingByAdapter, w.ask.Ref)
	}
}

// enginesByID returns the engines in order of their ids, so that equal inputs lead to equal decisions.
func (t *Authority) enginesByID() []*engine {
	if t.sortedByID == nil {
		for _, id := range slices.Sorted(maps.Keys(t.engines)) {
			t.sortedByID = append(t.sortedByID, t.engines[id])
		}
	}
	return t.sortedByID
}

// End frees the place of a request that ended and updates the estimates from its outcome.
func (t *Authority) End(end End, now ident.Time) {
	t.removeWaiter(end.ID)
	t.endPermit(end, now)
	e := t.engines[t.placements[end.ID]]
	delete(t.placements, end.ID)
	if e == nil {
		return
	}
	r, ok := e.endRun(end.ID)
	if !ok {
		return
	}
	t.endWatched(e, r, end, now)
	switch end.Outcome {
	case Served:
		t.confirm(e, now)
		t.learnPrefill(r, end.First)
		t.learnLateShare(r.ask, end.Gap)
		e.failures.record(false, now)
		e.failures.isUnreachable = false
		delete(e.failures.unreachableFrom, r.ask.Host)
	case Failed:
		e.failures.record(true, now)
	case Unreachable:
		if end.Alone {
			e.failures.recordUnreachableFrom(r.ask.Host, now)
			break
		}
		e.failures.record(true, now)
		e.failures.recordUnreachable(now)
	case NotRun:
		if end.Full {
			t.recordRejection(e.entry.Instance, len(e.running), now)
		}
		t.handleNotRun(e, r, now)
	}
}

// newPlace returns the place on an engine that a request is granted.
func (t *Authority) newPlace(e *engine, a Ask) *Place {
	p := &Place{Instance: e.entry.Instance, Address: e.entry.Address, Build: e.entry.Build}
	p.Verify = a.Resumable && t.builds != nil && (a.Bound || t.builds.Mixed(a.Service)) && !t.limits.Limited(p.Instance)
	if a.Ref.Adapter != "" {
		p.Version = t.requiredVersion(e, a.Ref)
	}
	return p
}

// requiredVersion returns the adapter version that a request must run with: the newest known one, otherwise the loaded one.
func (t *Authority) requiredVersion(e *engine, ref book.AdapterRef) book.WeightsVersion {
	if v := t.newestVersions[ref]; v != 0 {
		return v
	}
	if s := e.slots[ref]; s != nil {
		return s.version
	}
	return 0
}

func (t *Authority) reply(a Ask, r Reply) {
	t.effects.Replies = append(t.effects.Replies, Routed{Host: a.Host, Reply: r})
}

func (t *Authority) reject(a Ask, c Cause, retryAfter time.Duration, lastOption string) {
	t.reply(a, Reply{ID: a.ID, Cause: c, After: retryAfter})
	t.shut.refused(a, c, t.lastStep)
	t.addNote("refuse", a, "", string(c), fmt.Sprintf("left=%dms sends=%d waiting=%d adapter=%s %s%s", a.Left.Milliseconds(), a.Sends, len(t.waiting), a.Ref.Adapter, lastOption, t.engineSummary(a.Service)))
}

// summaryMaxAge is how long a summary is reused. Under overload hundreds of requests are rejected, and each summary visits all
// engines.
const summaryMaxAge = 50 * time.Millisecond

// summary is a cached log text with counts of engines, and the time of the count.
type summary struct {
	countedAt ident.Time
	text      string
}

// engineSummary returns the state of a service's engines and adapter slots as counts, for the log entry of a rejection.
func (t *Authority) engineSummary(s ident.Service) string {
	cached, known := t.engineSummaries[s]
	if !known || t.lastStep.Sub(cached.countedAt) >= summaryMaxAge {
		cached = summary{countedAt: t.lastStep, text: t.countEngines(s)}
		t.engineSummaries[s] = cached
	}
	return fmt.Sprintf("counted-ms-ago=%d %s", t.lastStep.Sub(cached.countedAt).Milliseconds(), cached.text)
}

// countEngines counts the ready engines of a service and their slots by state, as key=value pairs.
func (t *Authority) countEngines(s ident.Service) string {
	var ready, unknown, ordering, loading, fetching, slots, slotsInUse, running int
	distinct := map[book.AdapterRef]bool{}
	for _, e := range t.engines {
		if e.entry.Service != s || e.entry.State != census.Ready {
			continue
		}
		ready++
		if !e.stateKnown {
			unknown++
		}
		if e.orderPending {
			ordering++
		}
		for ref, s := range e.slots {
			distinct[ref] = true
			slots++
			if s.pins > 0 {
				slotsInUse++
			}
		}
		running += len(e.running)
		engineLoading, engineFetching := e.countLoads(t.lastStep)
		loading, fetching = loading+engineLoading, fetching+engineFetching
	}
	return fmt.Sprintf("engines=%d unsure=%d ordering=%d loading=%d fetching=%d running=%d slots=%d used=%d distinct=%d", ready, unknown, ordering, loading, fetching, running, slots, slotsInUse, len(distinct))
}

func (t *Authority) addNote(step string, a Ask, endpoint ident.EndpointID, outcome, inputs string) {
	t.effects.Notes = append(t.effects.Notes, Note{Step: step, Request: a.Request, Peer: a.Host, Endpoint: endpoint, Outcome: outcome, Inputs: inputs})
}

// Step decides on all due requests and returns the replies, orders and report requests to send.
func (t *Authority) Step(now ident.Time) Effects {
	t.lastStep = now
	t.stepInquiries(now)
	if now.Sub(t.lastExpiry) >= expireEvery {
		t.lastExpiry = now
		t.expire(now)
		t.stepRecords(now)
		t.expirePermits(now)
		t.forgetRooms(now)
		t.countCopies()
		if t.layout != nil {
			t.measurePressure(now)
		}
	}
	if now.Sub(t.lastScan) >= scanEvery+time.Duration(len(t.engines))*scanPerEngine {
		t.lastScan = now
		t.askReports(now)
		t.placeModels(now)
		t.replaceOutdated(now)
	}
	t.stepShut(now)
	t.countStoreLoads(now)
	if now.Sub(t.lastStoreRanking) >= storeRankingEvery {
		t.lastStoreRanking = now
		t.rankStoreQueue(now)
	}
	for _, w := range t.queue(now) {
		t.decide(w, now)
	}
	t.stepPermits(now)
	t.stepLimits(now)
	effects := t.effects
	t.effects = Effects{}
	return effects
}
