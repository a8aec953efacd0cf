package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/ident"
)

// warmUp is the time before the trace in which the hosts elect a leader and the endpoints get owners.
const warmUp = 10 * time.Second

// maxDrainTime is the longest time after the trace for which the run waits for unfinished requests. It exceeds the longest
// deadline, which is 10 minutes.
const maxDrainTime = 11 * time.Minute

// harness holds the virtual clock, the simulated engines and weight store, and the score of one run.
type harness struct {
	Profile
	now       time.Duration // virtual time since the start of the run
	queue     timers        // scheduled calls
	timersSet uint64        // number of timers set so far
	engines   []*engine
	store     *store
	score     *score
}

// policy decides where requests run and which adapters are loaded; a run measures one policy.
type policy interface {
	// prepare is called once at time 0, before the first arrival.
	prepare()
	// arrive is called for each request of the trace. The policy reports to rec when the request runs
	// and how it ends.
	arrive(a Arrival, rec *requestScore)
	// restarted is called after an engine has restarted without adapters.
	restarted(e *engine)
}

// newHarness returns a harness with the engines of a profile; the seed decides which loads fail.
func newHarness(p Profile, seed uint64) *harness {
	h := &harness{Profile: p}
	h.store = &store{harness: h, rand: rand.New(rand.NewPCG(seed, 7)), tokens: 1}
	for n := range p.Engines {
		h.engines = append(h.engines, newEngine(h, ident.EndpointID(fmt.Sprintf("e%02d", n+1))))
	}
	h.score = newScore(h)
	return h
}

// after calls f once the virtual clock has advanced by d.
func (h *harness) after(d time.Duration, f func()) {
	h.timersSet++
	heap.Push(&h.queue, timer{due: h.now + d, seq: h.timersSet, call: f})
}

// run replays the trace against a policy until all requests have ended or maxDrainTime has passed.
func (h *harness) run(p policy, trace []Arrival) Result {
	p.prepare()
	for _, a := range trace {
		h.after(warmUp+a.At, func() { p.arrive(a, h.score.arrived(a)) })
	}
	if h.Faults {
		h.planRestarts(p)
	}
	end := warmUp + h.Length + maxDrainTime
	for h.queue.Len() > 0 && h.now < end {
		next := heap.Pop(&h.queue).(timer)
		h.now = next.due
		next.call()
		if h.now > warmUp+h.Length && h.score.unended == 0 {
			break
		}
	}
	return h.score.result()
}

// planRestarts schedules the engine restarts, evenly spread over the trace.
func (h *harness) planRestarts(p policy) {
	for n := range h.Restarts {
		restarting := h.engines[n]
		h.after(warmUp+h.Length*time.Duration(n+1)/time.Duration(h.Restarts+1), func() {
			restarting.restart()
			p.restarted(restarting)
		})
	}
}

// timer is a scheduled call. Timers that are due at the same time run in the order in which they were set.
type timer struct {
	due  time.Duration
	seq  uint64 // order in which the timers were set
	call func()
}

// timers is a heap of timers, the earliest first.
type timers []timer

// Len is part of heap.Interface.
func (t timers) Len() int { return len(t) }

// Less is part of heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].due != t[j].due {
		return t[i].due < t[j].due
	}
	return t[i].seq < t[j].seq
}

// Swap is part of heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is part of heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop is part of heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
