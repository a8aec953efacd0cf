package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/ident"
)

// warmUp is the time before the trace in which hosts elect a leader and take their endpoints.
const warmUp = 10 * time.Second

// cooldown is the longest time after the trace in which the rest may end.
const cooldown = 11 * time.Minute

// harness is the virtual clock with the stand-ins and the score of one run.
type harness struct {
	Profile
	now     time.Duration
	queue   timers
	seq     uint64
	engines []*engine
	store   *store
	score   *score
}

// policy is what a run measures.
type policy interface {
	// prepare runs at time 0.
	prepare()
	arrive(a Arrival, ends *ending)
	restarted(e *engine)
}

func newHarness(p Profile, seed uint64) *harness {
	l := &harness{Profile: p}
	l.store = &store{harness: l, rand: rand.New(rand.NewPCG(seed, 7)), tokens: 1}
	for n := range p.Engines {
		l.engines = append(l.engines, newEngine(l, ident.EndpointID(fmt.Sprintf("e%02d", n+1))))
	}
	l.score = newScore(l)
	return l
}

// after calls f once the virtual clock has moved by d.
func (l *harness) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.queue, timer{at: l.now + d, seq: l.seq, call: f})
}

// run replays the trace against p until all requests have ended.
func (l *harness) run(p policy, trace []Arrival) Result {
	p.prepare()
	for _, a := range trace {
		l.after(warmUp+a.At, func() { p.arrive(a, l.score.open(a)) })
	}
	if l.Faults {
		l.planRestarts(p)
	}
	end := warmUp + l.Length + cooldown
	for l.queue.Len() > 0 && l.now < end {
		t := heap.Pop(&l.queue).(timer)
		l.now = t.at
		t.call()
		if l.now > warmUp+l.Length && l.score.unended == 0 {
			break
		}
	}
	return l.score.result()
}

func (l *harness) planRestarts(p policy) {
	for n := range l.Restarts {
		e := l.engines[n]
		l.after(warmUp+l.Length*time.Duration(n+1)/time.Duration(l.Restarts+1), func() {
			e.restart()
			p.restarted(e)
		})
	}
}

// timer is one call at a time; timers of the same time run in the order in which they were set.
type timer struct {
	at   time.Duration
	seq  uint64
	call func()
}

type timers []timer

// Len is part of heap.Interface.
func (t timers) Len() int { return len(t) }

// Less is part of heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
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
