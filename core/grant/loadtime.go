package grant

import (
	"time"

	"shallotgap/core/ident"
)

// maxSends bounds the endpoints that one request is sent to, refusals included.
const maxSends = 4

// Constants of learning the time of loads. No engine tells when a load is complete, so the first request after it is the
// proof, and a refusal shows that it was sent too early.
const (
	missPause      = 10 * time.Millisecond // doubled with each refusal; two of them are about a load of a known adapter
	maxMisses      = 5                     // then the engine is asked what it holds
	loadRaise      = 4                     // part of the difference by which a refusal raises the estimate
	loadLower      = 0.998                 // with each load that was complete in time
	tryEarly       = 16                    // one load in so many is tried early, to learn that loads have become faster
	earlyPart      = 0.75
	earlyLower     = 0.92
	maxAdapterLoad = time.Second
	minAdapterLoad = 50 * time.Millisecond
	probeWait      = 15 * time.Millisecond // a refusal takes a few round trips
)

// loadSpan returns when the next load from the store should be tried, and whether that is early.
func (t *Authority) loadSpan() (time.Duration, bool) {
	t.loads++
	if t.loads%tryEarly != 0 {
		return t.AdapterLoadTime, false
	}
	return time.Duration(float64(t.AdapterLoadTime) * earlyPart), true
}

// missed handles a request that the engine did not run: most often its adapter was not there yet.
func (t *Authority) missed(e *engine, r *run, now ident.Time) {
	s := e.slots[r.ask.Ref]
	if s == nil || s.proved || now.Sub(s.loadedAt) > t.HeartbeatLag {
		e.trouble.note(true, now)
		if s != nil {
			t.doubt(e, now, "refused a request for "+string(r.ask.Ref.Adapter))
		}
		return
	}
	s.misses++
	s.readyAt, s.probe = now.Add(missPause<<s.misses), ""
	switch {
	case s.early:
		s.early = false
		s.readyAt = max(s.readyAt, s.loadedAt.Add(t.AdapterLoadTime))
	case !s.stored:
		// The engine has forgotten the adapter and brings it from the store.
		s.stored = true
		s.readyAt = max(s.readyAt, s.loadedAt.Add(t.AdapterLoadTime))
	default:
		t.raiseLoad(e, now.Sub(s.loadedAt)+missPause, now)
	}
	if s.stored {
		t.fetch(s, s.loadedAt.Add(maxAdapterLoad))
	}
	if s.misses >= maxMisses {
		s.misses = 0
		t.doubt(e, now, "refused several requests for "+string(r.ask.Ref.Adapter))
	}
}

// raiseLoad takes a load that was not complete after the given time.
func (t *Authority) raiseLoad(e *engine, took time.Duration, now ident.Time) {
	took = min(took, t.AdapterLoadTime*3/2) // one load that hangs says little of the others
	if !e.disturbed(now) && took > t.AdapterLoadTime {
		t.AdapterLoadTime = min(t.AdapterLoadTime+(took-t.AdapterLoadTime)/loadRaise, maxAdapterLoad)
	}
}

// probe makes a request the first one after a load, or takes the load as proved when the first was not refused.
func (t *Authority) probe(s *slot, id ID, now ident.Time) {
	if s.probe == "" {
		s.probe, s.probeAt = id, now
		return
	}
	s.proved = true
	if !s.stored || s.misses > 0 {
		return
	}
	part := loadLower
	if s.early {
		part = earlyLower
	}
	t.AdapterLoadTime = max(time.Duration(float64(t.AdapterLoadTime)*part), minAdapterLoad)
}
