package grant

import (
	"time"

	"shallotgap/core/ident"
)

// maxSends limits how many endpoints one request is sent to, including those that rejected it.
const maxSends = 4

// Constants for learning load times. Engines do not announce the end of a load: the first request accepted after a load
// confirms it, and a rejection shows that the request was sent too early.
const (
	rejectionBackoff   = 10 * time.Millisecond // doubled with each rejection; the first two take about as long as a fast load
	maxRejections      = 5                     // rejections after which the engine's report is requested
	loadRaiseDivisor   = 4                     // a rejection raises the estimate by a quarter of its distance to the elapsed time
	loadLowerFactor    = 0.998                 // lowers the estimate after each load that was complete in time
	earlyProbeInterval = 16                    // one of 16 loads is probed early, to learn that loads have become faster
	earlyProbeFactor   = 0.75
	earlyLowerFactor   = 0.92
	maxAdapterLoadTime = time.Second
	minAdapterLoadTime = 50 * time.Millisecond
	probeTimeout       = 15 * time.Millisecond // an engine rejects a request within a few round trips
)

// nextLoadTime returns the delay after which the next load from the store is probed, and whether that is an early probe.
func (t *Authority) nextLoadTime() (time.Duration, bool) {
	t.startedStoreLoads++
	if t.startedStoreLoads%earlyProbeInterval != 0 {
		return t.AdapterLoadTime, false
	}
	return time.Duration(float64(t.AdapterLoadTime) * earlyProbeFactor), true
}

// handleNotRun handles a request that an engine rejected without running it, usually because the adapter was not loaded yet.
func (t *Authority) handleNotRun(e *engine, r *run, now ident.Time) {
	s := e.slots[r.ask.Ref]
	if s == nil || s.confirmed || now.Sub(s.loadStartedAt) > t.HeartbeatLag {
		e.failures.record(true, now)
		if s != nil {
			t.requestReport(e, now, "refused a request for "+string(r.ask.Ref.Adapter))
		}
		return
	}
	s.rejections++
	s.readyAt, s.probeID = now.Add(rejectionBackoff<<s.rejections), ""
	switch {
	case s.probedEarly:
		s.probedEarly = false
		s.readyAt = max(s.readyAt, s.loadStartedAt.Add(t.AdapterLoadTime))
	case !s.fromStore:
		// The engine no longer has the adapter cached and loads it from the store.
		s.fromStore = true
		s.readyAt = max(s.readyAt, s.loadStartedAt.Add(t.AdapterLoadTime))
	default:
		t.raiseLoadEstimate(e, now.Sub(s.loadStartedAt)+rejectionBackoff, now)
	}
	if s.fromStore {
		t.trackStoreLoad(s, s.loadStartedAt.Add(maxAdapterLoadTime))
	}
	if s.rejections >= maxRejections {
		s.rejections = 0
		t.requestReport(e, now, "refused several requests for "+string(r.ask.Ref.Adapter))
	}
}

// raiseLoadEstimate raises AdapterLoadTime after a load that was not complete within the given time.
func (t *Authority) raiseLoadEstimate(e *engine, elapsed time.Duration, now ident.Time) {
	elapsed = min(elapsed, t.AdapterLoadTime*3/2) // one load that hangs must not raise the estimate for all loads
	if !e.ordersLostRecently(now) && elapsed > t.AdapterLoadTime {
		t.AdapterLoadTime = min(t.AdapterLoadTime+(elapsed-t.AdapterLoadTime)/loadRaiseDivisor, maxAdapterLoadTime)
	}
}

// recordProbe makes a request the probe of a load. If the load already has a probe, the engine has not rejected that probe: the
// load is confirmed, and AdapterLoadTime is lowered if the load was complete in time.
func (t *Authority) recordProbe(s *slot, id ID, now ident.Time) {
	if s.probeID == "" {
		s.probeID, s.probeSentAt = id, now
		return
	}
	s.confirmed = true
	if !s.fromStore || s.rejections > 0 {
		return
	}
	factor := loadLowerFactor
	if s.probedEarly {
		factor = earlyLowerFactor
	}
	t.AdapterLoadTime = max(time.Duration(float64(t.AdapterLoadTime)*factor), minAdapterLoadTime)
}
