package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Result holds the measurements of one run.
type Result struct {
	Policy   string
	Requests int
	// P50, P95 and P99 are quantiles of the load stalls of urgent and normal requests. A load stall is the time from the
	// arrival of a request until its adapter is resident on the engine that runs it, or the whole time to the deadline if
	// the request was rejected.
	P50, P95, P99 time.Duration
	// BulkP95 is the 95th percentile of the load stalls of bulk requests.
	BulkP95 time.Duration
	// Batch is the mean number of running requests during the trace, as a fraction of the maximum over all engines.
	// BusyBatch is the same fraction without the time in which an engine is idle.
	Batch, BusyBatch float64
	// Misses counts requests that were rejected or answered after their deadline, Refused the rejected ones, Broken those
	// that failed on an engine, and Unended those that had neither an answer nor an error at the end of the run.
	Misses, Refused, Broken, Unended int
	// Fairness is the smallest ratio, over all workspaces, of the served tokens to the weighted max-min fair share.
	Fairness float64
	// Loads counts the loads that the store admitted, Failed the loads that failed or exceeded its rate limit.
	Loads  int
	Failed int
	// EvictedInUse counts evictions of adapters that were serving a request, SentWithoutAdapter the requests that were sent
	// to an engine without their adapter. A correct policy has neither, except that a restart may cause SentWithoutAdapter.
	EvictedInUse, SentWithoutAdapter int
	// Messages counts the messages between hosts.
	Messages int
	// Reasons counts the rejections by reason.
	Reasons map[work.Reason]int
}

// score collects the measurements of a run.
type score struct {
	*harness
	stalls          []time.Duration // load stalls of urgent and normal requests
	bulk            []time.Duration // load stalls of bulk requests
	servedTokens    map[ident.Workspace]float64
	requestedTokens map[ident.Workspace]float64
	unended         int    // requests that have arrived but not ended
	messages        int    // messages between hosts
	totals          Result // the counters; result fills in the other fields
}

// requestScore records the result of one request. A policy calls dispatched when an engine runs the request, and answered
// or unanswered when it ends.
type requestScore struct {
	*score
	arrival   Arrival
	arrivedAt time.Duration
	stall     time.Duration
	ended     bool
}

// newScore returns a score without arrivals.
func newScore(h *harness) *score {
	return &score{harness: h, servedTokens: map[ident.Workspace]float64{}, requestedTokens: map[ident.Workspace]float64{}}
}

// arrived counts an arrival and returns the record for the request.
func (s *score) arrived(a Arrival) *requestScore {
	s.unended++
	s.totals.Requests++
	s.requestedTokens[a.Workspace] += float64(a.Tokens)
	return &requestScore{score: s, arrival: a, arrivedAt: s.now}
}

// dispatched records the engine that runs the request, and the load stall on it.
func (r *requestScore) dispatched(on *engine) {
	r.stall = max(0, on.residentSince[r.arrival.Model]-r.arrivedAt)
}

// end marks the request as ended, or returns false if the request had ended before.
func (r *requestScore) end() bool {
	if r.ended {
		return false
	}
	r.ended = true
	r.unended--
	return true
}

// record adds a load stall to the quantiles.
func (r *requestScore) record(stall time.Duration) {
	if r.arrival.Urgency == work.Bulk {
		r.bulk = append(r.bulk, stall)
		return
	}
	r.stalls = append(r.stalls, stall)
}

// answered ends a request with an answer.
func (r *requestScore) answered() {
	if !r.end() {
		return
	}
	r.record(r.stall)
	if r.now > r.arrivedAt+r.arrival.TimeLeft {
		r.totals.Misses++
	}
	if r.now <= warmUp+r.Length {
		r.servedTokens[r.arrival.Workspace] += float64(r.arrival.Tokens)
	}
}

// unanswered ends a request without an answer. If ran is true, the request failed on an engine, else it was rejected.
func (r *requestScore) unanswered(ran bool) {
	if !r.end() {
		return
	}
	if ran {
		r.totals.Broken++
		r.record(r.stall)
		return
	}
	r.totals.Refused++
	r.totals.Misses++
	r.record(r.arrival.TimeLeft)
}

// result returns the measurements at the end of the run.
func (s *score) result() Result {
	r := s.totals
	r.P50, r.P95, r.P99 = quantile(s.stalls, 0.5), quantile(s.stalls, 0.95), quantile(s.stalls, 0.99)
	r.BulkP95 = quantile(s.bulk, 0.95)
	requestSeconds, busySeconds := 0.0, 0.0
	for _, e := range s.engines {
		e.integrate()
		requestSeconds += e.requestSeconds
		busySeconds += e.busySeconds
		r.EvictedInUse += e.evictedInUse
	}
	r.Batch = requestSeconds / (s.Length.Seconds() * float64(s.Engines*s.Batch))
	r.BusyBatch = requestSeconds / max(1, busySeconds*float64(s.Batch))
	r.Loads, r.Failed = s.store.loads, s.store.failed
	r.Fairness = s.fairness()
	r.Unended = s.unended
	r.Messages = s.messages
	return r
}

// quantile returns the quantile q of a list, or 0 for an empty list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// fairness returns the smallest ratio of served tokens to fair share over all workspaces, at most 1. The weighted max-min
// fair shares divide all served tokens; workspaces with the least demand per weight get theirs first.
func (s *score) fairness() float64 {
	remaining := 0.0
	for _, w := range slices.Sorted(maps.Keys(s.servedTokens)) {
		remaining += s.servedTokens[w]
	}
	weight := 0.0
	for _, x := range s.Shares {
		weight += float64(x.Weight)
	}
	order := slices.Clone(s.Shares)
	slices.SortFunc(order, func(x, y Share) int {
		return cmp.Compare(s.requestedTokens[x.Workspace]/float64(x.Weight), s.requestedTokens[y.Workspace]/float64(y.Weight))
	})
	worst := 1.0
	for _, x := range order {
		fair := min(s.requestedTokens[x.Workspace], remaining*float64(x.Weight)/weight)
		remaining -= fair
		weight -= float64(x.Weight)
		if fair > 0 {
			worst = min(worst, s.servedTokens[x.Workspace]/fair)
		}
	}
	return worst
}
