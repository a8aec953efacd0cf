package replay

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Errors that the stand-ins give.
var (
	errNotHeld  = errors.New("the adapter is not loaded")
	errRestart  = errors.New("the engine restarted")
	errNoSlot   = errors.New("no free slot")
	errRate     = errors.New("the store's rate is exceeded")
	errLoadFail = errors.New("the load failed as told")
)

// sequence is one running request; done is called once at its end.
type sequence struct {
	model ident.Model
	left  int
	done  func(error)
}

// engine batches continuously in virtual time: in each step every running request gets one token.
type engine struct {
	*harness
	name     ident.EndpointID
	instance ident.Incarnation
	held     map[ident.Model]time.Duration // since when
	loading  map[ident.Model]bool
	running  []*sequence
	stepping bool
	// area is the integral of the batch over the window in request-seconds, busy the time with a batch.
	area, busy  float64
	counted     time.Duration
	evictedUsed int
}

func newEngine(l *harness, name ident.EndpointID) *engine {
	return &engine{harness: l, name: name, instance: 1, held: map[ident.Model]time.Duration{}, loading: map[ident.Model]bool{}}
}

// count brings the integrals up to now; only the trace's window counts.
func (e *engine) count() {
	from, to := max(e.counted, warmUp), min(e.now, warmUp+e.Length)
	e.counted = e.now
	if to > from && len(e.running) > 0 {
		e.area += (to - from).Seconds() * float64(len(e.running))
		e.busy += (to - from).Seconds()
	}
}

func (e *engine) start(m ident.Model, tokens int, done func(error)) {
	if _, held := e.held[m]; !held {
		done(errNotHeld)
		return
	}
	e.count()
	e.running = append(e.running, &sequence{model: m, left: tokens, done: done})
	e.nextStep()
}

func (e *engine) nextStep() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.after(e.StepTime+time.Duration(len(e.running))*e.StepPer, e.step)
}

func (e *engine) step() {
	e.count()
	e.stepping = false
	var ended []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		s.left--
		if s.left <= 0 {
			ended = append(ended, s)
		}
		return s.left <= 0
	})
	for _, s := range ended {
		s.done(nil)
	}
	e.nextStep()
}

// load frees the slot of evict and fetches m from the store.
func (e *engine) load(m ident.Model, evict *ident.Model, done func(error)) {
	if evict != nil {
		if slices.ContainsFunc(e.running, func(s *sequence) bool { return s.model == *evict }) {
			e.evictedUsed++
		}
		delete(e.held, *evict)
	}
	if len(e.held)+len(e.loading) >= e.Slots {
		done(errNoSlot)
		return
	}
	e.loading[m] = true
	instance := e.instance
	e.store.fetch(func(err error) {
		if e.instance != instance {
			done(errRestart)
			return
		}
		delete(e.loading, m)
		if err == nil {
			e.held[m] = e.now
		}
		done(err)
	})
}

// restart empties the engine, as a crash does.
func (e *engine) restart() {
	e.count()
	e.instance++
	clear(e.held)
	clear(e.loading)
	broken := e.running
	e.running = nil
	for _, s := range broken {
		s.done(errRestart)
	}
}

// store is the weight store in virtual time.
type store struct {
	*harness
	rand   *rand.Rand
	flying int
	tokens float64
	filled time.Duration
	loads  int
	failed int
}

// slack lets a load in that comes slightly before its token, as the network shifts arrivals.
const slack = 0.2

// fetch takes the plain time, proportionally longer beyond the loads in flight.
func (s *store) fetch(done func(error)) {
	s.tokens = min(max(1, s.Rate), s.tokens+(s.now-s.filled).Seconds()*s.Rate)
	s.filled = s.now
	if s.tokens < 1-slack {
		s.failed++
		s.after(time.Millisecond, func() { done(errRate) })
		return
	}
	s.tokens--
	s.loads++
	s.flying++
	err := s.fault()
	s.after(s.LoadTime*time.Duration(max(s.flying, s.InFlight))/time.Duration(s.InFlight), func() {
		s.flying--
		done(err)
	})
}

func (s *store) fault() error {
	if !s.Faults || s.now < warmUp+s.Length/2 || s.rand.Float64() >= s.LoadFailureRate {
		return nil
	}
	s.failed++
	return errLoadFail
}
