package replay

import (
	"slices"
	"time"

	"shallotgap/core/ident"
)

// baseline is a simple policy for comparison: it routes each request to the replica with the fewest requests, evicts the
// least recently used adapter, and starts loads in the order in which they were requested. The policy knows the current state
// of all replicas and decides without network delay.
type baseline struct {
	*harness
	replicas    []*baselineReplica
	wantedLoads []wantedLoad
	tokens      float64 // available tokens of the bucket that limits loads
	lastRefill  time.Duration
	activeLoads int
	timerSet    bool // a call of grantLoads is scheduled
}

// wantedLoad is a load that waits for the rate limit of the weight store or for a free slot.
type wantedLoad struct {
	replica *baselineReplica
	model   ident.Model
}

// baselineReplica is an engine with the queue of requests that were routed to it.
type baselineReplica struct {
	*engine
	queue             []*queuedRequest
	lastUse           map[ident.Model]time.Duration
	runningPerAdapter map[ident.Model]int
	loadWanted        map[ident.Model]bool
}

// queuedRequest is a request in the queue of a replica.
type queuedRequest struct {
	*requestScore
	deadline time.Duration
}

// prepare creates the replicas with empty queues.
func (b *baseline) prepare() {
	b.tokens = 1
	for _, e := range b.engines {
		b.replicas = append(b.replicas, &baselineReplica{
			engine: e, lastUse: map[ident.Model]time.Duration{},
			runningPerAdapter: map[ident.Model]int{}, loadWanted: map[ident.Model]bool{},
		})
	}
}

// arrive queues a request on the replica with the fewest requests and rejects it if the request is still
// queued at its deadline.
func (b *baseline) arrive(a Arrival, rec *requestScore) {
	replica := slices.MinFunc(b.replicas, func(x, y *baselineReplica) int {
		return len(x.queue) + len(x.running) - len(y.queue) - len(y.running)
	})
	request := &queuedRequest{requestScore: rec, deadline: b.now + a.TimeLeft}
	replica.queue = append(replica.queue, request)
	b.after(a.TimeLeft, func() {
		if i := slices.Index(replica.queue, request); i >= 0 {
			replica.queue = slices.Delete(replica.queue, i, i+1)
			request.unanswered(false)
		}
	})
	b.dispatchQueue(replica)
}

// dispatchQueue starts, in order of arrival, the queued requests whose adapter is loaded, up to a full batch. For a request
// whose adapter is not loaded, it requests a load.
func (b *baseline) dispatchQueue(r *baselineReplica) {
	for _, request := range slices.Clone(r.queue) {
		m := request.arrival.Model
		if _, loaded := r.residentSince[m]; !loaded {
			b.requestLoad(r, m)
			continue
		}
		if len(r.running) < b.Batch {
			b.dispatch(r, request)
		}
	}
	b.grantLoads()
}

// dispatch removes a request from the queue and runs it on the replica.
func (b *baseline) dispatch(r *baselineReplica, request *queuedRequest) {
	m := request.arrival.Model
	r.queue = slices.DeleteFunc(r.queue, func(x *queuedRequest) bool { return x == request })
	r.lastUse[m] = b.now
	r.runningPerAdapter[m]++
	request.dispatched(r.engine)
	r.addToBatch(m, request.arrival.Tokens, func(err error) {
		r.runningPerAdapter[m]--
		if err != nil {
			request.unanswered(true)
		} else {
			request.answered()
		}
		b.dispatchQueue(r)
	})
}

// requestLoad queues a load, unless the adapter is already being loaded or queued for it.
func (b *baseline) requestLoad(r *baselineReplica, m ident.Model) {
	if !r.loadWanted[m] && !r.loading[m] {
		r.loadWanted[m] = true
		b.wantedLoads = append(b.wantedLoads, wantedLoad{replica: r, model: m})
	}
}

// grantLoads starts waiting loads in order while the limits of the weight store allow it. It skips
// replicas that have no free slot and nothing to evict. If loads are still waiting, grantLoads runs again after a tick.
func (b *baseline) grantLoads() {
	b.tokens = min(max(1, b.Rate), b.tokens+(b.now-b.lastRefill).Seconds()*b.Rate)
	b.lastRefill = b.now
	for i := 0; i < len(b.wantedLoads); {
		w := b.wantedLoads[i]
		evict, ok := w.replica.evictionCandidate()
		if b.activeLoads >= b.InFlight || b.tokens < 1 {
			break
		}
		if !ok {
			i++
			continue
		}
		b.wantedLoads = slices.Delete(b.wantedLoads, i, i+1)
		w.replica.loadWanted[w.model] = false
		if w.replica.hasQueued(w.model) {
			b.startLoad(w, evict)
		}
	}
	if len(b.wantedLoads) > 0 && !b.timerSet {
		b.timerSet = true
		b.after(tickInterval, func() { b.timerSet = false; b.grantLoads() })
	}
}

// startLoad loads an adapter and then dispatches the queue of the replica.
func (b *baseline) startLoad(w wantedLoad, evict *ident.Model) {
	b.tokens--
	b.activeLoads++
	w.replica.load(w.model, evict, func(error) {
		b.activeLoads--
		w.replica.lastUse[w.model] = b.now
		b.dispatchQueue(w.replica)
	})
}

// evictionCandidate returns the least recently used adapter that serves no request, or nil if a slot is free. It reports
// false if no slot is free and every adapter is in use.
func (r *baselineReplica) evictionCandidate() (*ident.Model, bool) {
	if len(r.residentSince)+len(r.loading) < r.Slots {
		return nil, true
	}
	var oldest *ident.Model
	for m := range r.residentSince {
		if r.runningPerAdapter[m] == 0 && (oldest == nil || r.lastUse[m] < r.lastUse[*oldest]) {
			oldest = &m
		}
	}
	return oldest, oldest != nil
}

// hasQueued reports whether a queued request needs the adapter.
func (r *baselineReplica) hasQueued(m ident.Model) bool {
	return slices.ContainsFunc(r.queue, func(request *queuedRequest) bool { return request.arrival.Model == m })
}

// restarted requests loads for the queue of a replica that has lost its adapters.
func (b *baseline) restarted(e *engine) {
	for _, r := range b.replicas {
		if r.engine == e {
			b.dispatchQueue(r)
		}
	}
}
