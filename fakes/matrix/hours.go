package matrix

import (
	"slices"
	"time"

	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// LongRun is a run of virtual hours with little traffic, which outlives every timer, retention and lease.
type LongRun struct {
	Seed uint64
	Span time.Duration
	// Faults are injected at random hosts; none makes a calm run.
	Faults []Fault
}

// Parameters of long runs.
const (
	longThinkTime = 3 * time.Second
	longKeyLife   = 20 * time.Minute
	// minFaultPause and maxFaultPause bound the time from one fault to the next. Quiet times in between last longer than a
	// minute, absences of endpoints longer than departed endpoints are remembered.
	minFaultPause = 30 * time.Second
	maxFaultPause = 3 * time.Minute
	absence       = lease.DepartedRetentionSeconds*time.Second + 2*time.Minute
	// quietAfter is the time after a fault from which on every request must be answered.
	quietAfter = settleTime + faultInterval
)

// RunLong plays a long run and returns its report. A request that is rejected while no fault is near violates Recovers.
func RunLong(l LongRun) Report {
	b := NewBench(l.Seed, nil)
	b.ThinkTime, b.Params.KeyLife = longThinkTime, longKeyLife
	r := Report{Seed: l.Seed}
	if !b.boot() {
		r.Violations = []string{"the deployment did not start"}
		return r
	}
	b.startCallers()
	b.Fleet.Run(warmupTime)
	for end := b.Now + l.Span; b.Now < end; {
		b.quietFor(minFaultPause + time.Duration(b.Rand.Int64N(int64(maxFaultPause-minFaultPause))))
		if len(l.Faults) == 0 {
			continue
		}
		r.Injected++
		b.Inject(l.Faults[b.Rand.IntN(len(l.Faults))], b.Hosts[b.Rand.IntN(len(b.Hosts))])
		if r.Injected%8 == 0 {
			b.removeFor(b.endpoints[b.Rand.IntN(len(b.endpoints))], absence)
		}
		b.Fleet.Run(quietAfter)
	}
	b.ThinkTime = thinkTime
	b.Fleet.Run(quietAfter)
	b.checkRecovery()
	r.Answered, r.Refused, r.Evicted, r.Violations = b.Check.Answered, b.Check.Refused, b.Check.Evictions, b.Check.Violations
	return r
}

// quietFor runs for a while in which every request must be answered.
func (b *Bench) quietFor(span time.Duration) {
	before := b.Check.Refused
	b.Check.Refusals = nil
	b.Fleet.Run(span)
	if n := b.Check.Refused - before; n > 0 {
		b.Check.violation(Recovers, "%d requests were rejected within %v without a fault, until %v: %v", n, span, b.Now, b.Check.Refusals)
	}
}

// removeFor crashes an endpoint and starts it again after a while.
func (b *Bench) removeFor(e *endpoint, span time.Duration) {
	if e.gone {
		return
	}
	b.Restart(e)
	e.gone = true
	for _, r := range slices.Clone(e.running) {
		b.endExecution(r, work.Broken, work.EndpointFailed)
	}
	b.After(span, func() {
		e.gone = false
		e.Instance++
		b.announce(e)
	})
}
