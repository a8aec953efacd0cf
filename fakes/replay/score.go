package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Result is what one run measured.
type Result struct {
	Policy   string
	Requests int
	// P50, P95 and P99 are load stalls of the requests that may not wait: from arrival until the adapter is held
	// where the request runs. A request that is given up counts with its whole time to the deadline.
	P50, P95, P99 time.Duration
	// BulkP95 is the same for bulk requests.
	BulkP95 time.Duration
	// Batch is the mean running batch of the possible over all engines and the trace's length; BusyBatch only
	// over the time in which an engine runs anything.
	Batch, BusyBatch float64
	// Misses are requests given up or answered after their deadline; Refused those that got a refusal; Broken
	// those cut by a restart.
	Misses, Refused, Broken, Unended int
	// Fairness is the smallest part of its weighted max-min share that a workspace got.
	Fairness float64
	Loads    int
	Failed   int
	// EvictedInUse counts adapters evicted under a request; SentWithoutAdapter requests sent to an engine without their adapter.
	EvictedInUse, SentWithoutAdapter int
	// Messages are those between hosts.
	Messages int
	// Reasons counts the refusals by reason.
	Reasons map[work.Reason]int
}

// score collects the ends of requests.
type score struct {
	*harness
	stalls   []time.Duration
	bulk     []time.Duration
	served   map[ident.Workspace]float64
	demand   map[ident.Workspace]float64
	unended  int
	messages int
	res      Result
}

// ending takes the end of one request.
type ending struct {
	*score
	arrival Arrival
	at      time.Duration
	stall   time.Duration
	closed  bool
}

func newScore(l *harness) *score {
	return &score{harness: l, served: map[ident.Workspace]float64{}, demand: map[ident.Workspace]float64{}}
}

func (s *score) open(a Arrival) *ending {
	s.unended++
	s.res.Requests++
	s.demand[a.Workspace] += float64(a.Tokens)
	return &ending{score: s, arrival: a, at: s.now}
}

// dispatched notes how long the request waited for its adapter on the engine that runs it.
func (e *ending) dispatched(on *engine) {
	e.stall = max(0, on.held[e.arrival.Model]-e.at)
}

func (e *ending) close() bool {
	if e.closed {
		return false
	}
	e.closed = true
	e.unended--
	return true
}

func (e *ending) record(stall time.Duration) {
	if e.arrival.Urgency == work.Bulk {
		e.bulk = append(e.bulk, stall)
		return
	}
	e.stalls = append(e.stalls, stall)
}

func (e *ending) answered() {
	if !e.close() {
		return
	}
	e.record(e.stall)
	if e.now > e.at+e.arrival.TimeLeft {
		e.res.Misses++
	}
	if e.now <= warmUp+e.Length {
		e.served[e.arrival.Workspace] += float64(e.arrival.Tokens)
	}
}

// refused ends a request without an answer; ran tells that it had been dispatched.
func (e *ending) refused(ran bool) {
	if !e.close() {
		return
	}
	if ran {
		e.res.Broken++
		e.record(e.stall)
		return
	}
	e.res.Refused++
	e.res.Misses++
	e.record(e.arrival.TimeLeft)
}

func (s *score) result() Result {
	r := s.res
	r.P50, r.P95, r.P99 = quantile(s.stalls, 0.5), quantile(s.stalls, 0.95), quantile(s.stalls, 0.99)
	r.BulkP95 = quantile(s.bulk, 0.95)
	area, busy := 0.0, 0.0
	for _, e := range s.engines {
		e.count()
		area += e.area
		busy += e.busy
		r.EvictedInUse += e.evictedUsed
	}
	r.Batch = area / (s.Length.Seconds() * float64(s.Engines*s.Batch))
	r.BusyBatch = area / max(1, busy*float64(s.Batch))
	r.Loads, r.Failed = s.store.loads, s.store.failed
	r.Fairness = s.fairness()
	r.Unended = s.unended
	r.Messages = s.messages
	return r
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// fairness compares what each workspace got with its weighted max-min share of all that was served.
func (s *score) fairness() float64 {
	left := 0.0
	for _, w := range slices.Sorted(maps.Keys(s.served)) {
		left += s.served[w]
	}
	weight := 0.0
	for _, x := range s.Shares {
		weight += float64(x.Weight)
	}
	order := slices.Clone(s.Shares)
	slices.SortFunc(order, func(x, y Share) int {
		return cmp.Compare(s.demand[x.Workspace]/float64(x.Weight), s.demand[y.Workspace]/float64(y.Weight))
	})
	worst := 1.0
	for _, x := range order {
		fair := min(s.demand[x.Workspace], left*float64(x.Weight)/weight)
		left -= fair
		weight -= float64(x.Weight)
		if fair > 0 {
			worst = min(worst, s.served[x.Workspace]/fair)
		}
	}
	return worst
}
