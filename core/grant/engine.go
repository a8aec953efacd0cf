package grant

import (
	"fmt"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

// engine is the authority's view of one engine.
type engine struct {
	entry     census.Entry    // latest membership entry
	residency *residencyIndex // shared by all engines
	// stateKnown is true once this authority has applied the engine's report; requestReport clears it, such as after an order with
	// an unclear result.
	stateKnown        bool
	hasReported       bool       // the engine has reported to this authority
	firstSeenAt       ident.Time // when the authority first saw the engine
	reportRequestedAt ident.Time // when a report was last requested
	reportPending     bool       // a report is requested and has not arrived
	reportNotBefore   ident.Time // earliest time of the next report request
	reservedUntil     ident.Time // time until which new streams are kept off the engine; see reserveEngine
	orderPending      bool       // an order is sent and not answered
	acceptedOrders    uint64     // number of orders that the engine has accepted
	lastOrderAt       ident.Time // when the last order was answered
	ordersNotBefore   ident.Time // earliest time of the next order; see holdOrders
	fenceRefusals     int        // number of orders in a row that the engine has refused for their fencing token
	fenceRefusedSince ident.Time // time of the first of these
	doubtSince        ident.Time // since when, and why, the state is unknown
	doubtCause        string
	slots             map[book.AdapterRef]*slot
	recentlyUnloaded  *recentAdapters // adapters unloaded recently, which this engine loads faster
	promptCache       *promptCache
	running           map[ID]*run
	reservedTokens    ident.Tokens // memory reserved by running requests
	// prefillUntil is when the engine is expected to complete the prefill of all prompts sent to it.
	prefillUntil ident.Time
	// plannedPrefill is the total prefill time of the requests that wait for this engine.
	plannedPrefill time.Duration
	// plannedRequests counts the requests that wait for this engine, by priority.
	plannedRequests map[int]int
	// recentPrefill is the decayed time spent on prefill, as of recentPrefillAt.
	recentPrefill   time.Duration
	recentPrefillAt ident.Time
	failures        failureEstimate
	rests           map[ident.HostID]ident.Time // ends of the rests that the engine wants from hosts
	// modelLoadUntil is when the load of a base model should be complete; no other model load is ordered before that time.
	modelLoadUntil ident.Time
	// resends counts how often the pending order was resent because no answer came.
	resends int
	// unansweredAt is when an order last got no answer.
	unansweredAt ident.Time
}

// slot is an adapter slot of an engine.
type slot struct {
	version   book.WeightsVersion
	readyAt   ident.Time // when the running load is expected to complete
	unloading bool       // an unload is ordered
	pins      int        // running requests for the adapter
	usedAt    ident.Time // latest start of a request
	uses      float64    // count of requests, decayed to usedAt
	fromStore bool       // the running load comes from the store
	// storeLoadUntil is when a load from the store stops counting as running, if no request has confirmed it earlier.
	storeLoadUntil ident.Time
	// loadTime is the expected time of the load; accepted is false until the engine has accepted the load order.
	loadTime time.Duration
	accepted bool
	// probeID is the probe: the first request sent after a load. More requests are sent once the engine has not rejected the probe
	// within probeTimeout.
	probeID       ID
	probeSentAt   ident.Time
	confirmed     bool // the engine has accepted a request since the load
	probedEarly   bool // probed before the expected time, to learn shorter load times
	rejections    int  // rejected requests since the expected end of the load
	loadStartedAt ident.Time
}

// run is a running request.
type run struct {
	ask   Ask
	endBy ident.Time // deadline of the running request
	// uncachedTokens is the part of the prompt to prefill; prefilledAlone is true when no other prefill was running at the start.
	uncachedTokens ident.Tokens
	prefilledAlone bool
	suspects       []poison.Part // the parts of the prompt that are suspected to crash engines
}

func newEngine(e census.Entry, index *residencyIndex, remembered int) *engine {
	n := &engine{entry: e, residency: index, slots: map[book.AdapterRef]*slot{}, recentlyUnloaded: newRecentAdapters(remembered), promptCache: newPromptCache(), running: map[ID]*run{}, plannedRequests: map[int]int{}}
	for _, h := range e.Held {
		// The list of the heartbeat is enough to grant requests; orders need the engine's report.
		s := &slot{version: book.WeightsVersion(h.Version), usedAt: e.LastHeartbeat, readyAt: e.LastHeartbeat, accepted: true, confirmed: true}
		n.hold(book.AdapterRef{Model: h.Model, Adapter: h.Adapter}, s)
	}
	return n
}

// isReady reports whether the engine was in operation at its latest heartbeat, and not about to stop.
func (e *engine) isReady() bool { return e.entry.State == census.Ready }

// usable reports whether new requests and orders may be sent to the engine.
func (e *engine) usable(now ident.Time, p Params) bool {
	return e.entry.State == census.Ready && now.Sub(e.entry.LastHeartbeat) < p.HeartbeatTimeout
}

// ordersLostRecently reports whether an order got no answer within lostOrderWindow. Load times observed in that time are
// misleading, as the engine may carry out the order late.
func (e *engine) ordersLostRecently(now ident.Time) bool {
	return e.unansweredAt != 0 && now.Sub(e.unansweredAt) < lostOrderWindow
}

// lostOrderWindow is how long after an order without an answer the engine may still execute it.
const lostOrderWindow = 5 * time.Second

func (e *engine) holdsModel(model string) bool {
	for _, m := range e.entry.Models {
		if m == model {
			return true
		}
	}
	return false
}

// applyReport updates the engine's state from its own report.
func (e *engine) applyReport(r Report, now ident.Time, p Params) {
	e.acceptedOrders = r.Orders
	e.stateKnown, e.hasReported, e.doubtSince = true, true, 0
	e.entry.Models = r.Models
	reported := map[book.AdapterRef]bool{}
	for _, h := range r.Held {
		s := e.slots[h.Ref]
		if s == nil {
			s = &slot{usedAt: now, readyAt: now, accepted: true, confirmed: !h.Loading}
			s.pins = e.countRuns(h.Ref) // entry hosts may have reported running requests before the engine reported the adapter
			e.hold(h.Ref, s)
		}
		if h.Loading {
			s.readyAt = max(s.readyAt, now.Add(p.AdapterLoadTime/2))
		}
		// During a replacement the report lists the adapter twice: the old version and the loading one.
		if !reported[h.Ref] || h.Loading {
			s.version = h.Version
		}
		s.accepted = true
		reported[h.Ref] = true
	}
	for ref, s := range e.slots {
		if !reported[ref] && s.pins == 0 {
			e.release(ref)
		}
	}
}

// countRuns counts the running requests for an adapter.
func (e *engine) countRuns(ref book.AdapterRef) int {
	n := 0
	for _, r := range e.running {
		if r.ask.Ref == ref {
			n++
		}
	}
	return n
}

// diffHeartbeat compares the adapters in a heartbeat with those expected after the orders. It returns a description of the
// first difference, or an empty string. As a heartbeat may be up to HeartbeatLag old, there is no comparison for
// that time after an order, and an adapter is skipped for that time after its load.
func (e *engine) diffHeartbeat(held []census.HeldAdapter, now ident.Time, p Params) string {
	if !e.stateKnown || e.orderPending || now.Sub(e.lastOrderAt) < p.HeartbeatLag {
		return ""
	}
	listed := map[book.AdapterRef]book.WeightsVersion{}
	for _, h := range held {
		listed[book.AdapterRef{Model: h.Model, Adapter: h.Adapter}] = book.WeightsVersion(h.Version)
	}
	for ref, s := range e.slots {
		if now.Sub(s.readyAt) < p.HeartbeatLag {
			continue
		}
		version, ok := listed[ref]
		if !ok || (version != s.version && s.version != 0) {
			return fmt.Sprintf("heartbeat lists %s at version %d, orders gave %d", ref.Adapter, version, s.version)
		}
		s.version = version
	}
	for ref := range listed {
		if e.slots[ref] == nil {
			return fmt.Sprintf("heartbeat lists %s, which was not ordered", ref.Adapter)
		}
	}
	return ""
}

// countLoads counts the running loads, and those among them that come from the store.
func (e *engine) countLoads(now ident.Time) (all, fromStore int) {
	for _, s := range e.slots {
		if s.readyAt > now {
			all++
			if s.fromStore {
				fromStore++
			}
		}
	}
	return all, fromStore
}

// startRun adds a running request with its uncached tokens and expected prefill time.
func (e *engine) startRun(a Ask, now ident.Time, uncached ident.Tokens, prefill time.Duration) {
	e.running[a.ID] = &run{ask: a, endBy: now.Add(a.Left), uncachedTokens: uncached, prefilledAlone: e.prefillUntil <= now}
	e.reservedTokens += a.Prompt + a.Output
	e.prefillUntil = max(e.prefillUntil, now).Add(prefill)
	e.recentPrefill = e.decayedPrefill(now) + prefill
	e.recentPrefillAt = now
	e.promptCache.add(a, now)
	if s := e.slots[a.Ref]; s != nil && a.Ref.Adapter != "" {
		s.pins++
		s.recordUse(now)
	}
}

// endRun removes a running request.
func (e *engine) endRun(id ID) (*run, bool) {
	r, ok := e.running[id]
	if !ok {
		return nil, false
	}
	delete(e.running, id)
	e.reservedTokens -= r.ask.Prompt + r.ask.Output
	if s := e.slots[r.ask.Ref]; s != nil && s.pins > 0 {
		s.pins--
	}
	return r, true
}

// useHalfLife is the half-life of the request count of an adapter; it equals the default of place.Policy.HalfLife.
const useHalfLife = 20 * time.Second

func (s *slot) recordUse(now ident.Time) {
	s.uses = s.decayedUses(now) + 1
	s.usedAt = now
}

// decayedUses returns the decayed count of requests.
func (s *slot) decayedUses(now ident.Time) float64 {
	return s.uses * decay(now.Sub(s.usedAt), useHalfLife)
}
