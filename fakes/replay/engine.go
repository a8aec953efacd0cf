package replay

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Errors of the simulated engines and weight store.
var (
	errNotLoaded     = errors.New("the adapter is not loaded")
	errRestart       = errors.New("the engine restarted")
	errNoSlot        = errors.New("no free slot")
	errRateLimit     = errors.New("the store's rate is exceeded")
	errInjectedFault = errors.New("the load failed as told")
)

// sequence is a running request. done is called once when the request ends, with nil if the request was answered.
type sequence struct {
	model     ident.Model
	remaining int // tokens still to generate
	done      func(error)
}

// engine simulates an engine with continuous batching in virtual time: in each step every running request gets one token.
type engine struct {
	*harness
	name          ident.EndpointID
	instance      ident.Incarnation             // changes with each restart
	residentSince map[ident.Model]time.Duration // when each loaded adapter became resident
	loading       map[ident.Model]bool          // adapters whose load is running
	running       []*sequence
	stepping      bool // a step is scheduled
	// requestSeconds is the number of running requests integrated over the time of the trace; busySeconds is the part of
	// that time with at least one running request. Both are up to date until integratedUntil.
	requestSeconds, busySeconds float64
	integratedUntil             time.Duration
	// evictedInUse counts evictions of adapters that were serving a request.
	evictedInUse int
}

// newEngine returns an engine without adapters.
func newEngine(h *harness, name ident.EndpointID) *engine {
	return &engine{harness: h, name: name, instance: 1, residentSince: map[ident.Model]time.Duration{}, loading: map[ident.Model]bool{}}
}

// integrate brings requestSeconds and busySeconds up to date. Time outside the trace is left out.
func (e *engine) integrate() {
	from, to := max(e.integratedUntil, warmUp), min(e.now, warmUp+e.Length)
	e.integratedUntil = e.now
	if to > from && len(e.running) > 0 {
		e.requestSeconds += (to - from).Seconds() * float64(len(e.running))
		e.busySeconds += (to - from).Seconds()
	}
}

// addToBatch starts a request on a loaded adapter; it calls done with errNotLoaded if the adapter is not loaded.
func (e *engine) addToBatch(m ident.Model, tokens int, done func(error)) {
	if _, loaded := e.residentSince[m]; !loaded {
		done(errNotLoaded)
		return
	}
	e.integrate()
	e.running = append(e.running, &sequence{model: m, remaining: tokens, done: done})
	e.scheduleStep()
}

// scheduleStep schedules the next step, unless one is scheduled or the batch is empty.
func (e *engine) scheduleStep() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.after(e.StepTime+time.Duration(len(e.running))*e.StepPer, e.step)
}

// step gives each running request one token and ends those that are complete.
func (e *engine) step() {
	e.integrate()
	e.stepping = false
	var ended []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		s.remaining--
		if s.remaining <= 0 {
			ended = append(ended, s)
		}
		return s.remaining <= 0
	})
	for _, s := range ended {
		s.done(nil)
	}
	e.scheduleStep()
}

// load evicts an adapter, unless evict is nil, then fetches the adapter m from the weight store into a free slot.
func (e *engine) load(m ident.Model, evict *ident.Model, done func(error)) {
	if evict != nil {
		if slices.ContainsFunc(e.running, func(s *sequence) bool { return s.model == *evict }) {
			e.evictedInUse++
		}
		delete(e.residentSince, *evict)
	}
	if len(e.residentSince)+len(e.loading) >= e.Slots {
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
			e.residentSince[m] = e.now
		}
		done(err)
	})
}

// restart simulates a crash and restart: the engine loses its adapters and running requests end with errRestart.
func (e *engine) restart() {
	e.integrate()
	e.instance++
	clear(e.residentSince)
	clear(e.loading)
	broken := e.running
	e.running = nil
	for _, s := range broken {
		s.done(errRestart)
	}
}

// store simulates the weight store in virtual time: a token bucket limits the rate of loads.
type store struct {
	*harness
	rand        *rand.Rand
	activeLoads int
	tokens      float64 // available tokens of the bucket; a load takes one
	lastRefill  time.Duration
	loads       int // admitted loads
	failed      int // loads that failed or were rejected
}

// tokenSlack is the part of a token that may be missing when a load is admitted: the network shifts arrivals, so a load
// that was paced correctly can arrive slightly early.
const tokenSlack = 0.2

// fetch runs a load, unless the rate limit is exceeded. A load takes LoadTime, and in proportion longer when more than
// InFlight loads run.
func (s *store) fetch(done func(error)) {
	s.tokens = min(max(1, s.Rate), s.tokens+(s.now-s.lastRefill).Seconds()*s.Rate)
	s.lastRefill = s.now
	if s.tokens < 1-tokenSlack {
		s.failed++
		s.after(time.Millisecond, func() { done(errRateLimit) })
		return
	}
	s.tokens--
	s.loads++
	s.activeLoads++
	err := s.drawFault()
	s.after(s.LoadTime*time.Duration(max(s.activeLoads, s.InFlight))/time.Duration(s.InFlight), func() {
		s.activeLoads--
		done(err)
	})
}

// drawFault returns an error for a random fraction of the loads in the second half of a trace with faults.
func (s *store) drawFault() error {
	if !s.Faults || s.now < warmUp+s.Length/2 || s.rand.Float64() >= s.LoadFailureRate {
		return nil
	}
	s.failed++
	return errInjectedFault
}
