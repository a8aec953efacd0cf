package front

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// DrainDeadlines bounds the requests that a draining host still admits and runs.
type DrainDeadlines struct {
	// AdmitLongUntil is the time until which requests are admitted even if they may run past CloseAt.
	AdmitLongUntil ident.Time
	// CloseAt is the time at which requests that still run are cut off.
	CloseAt ident.Time
}

// admits reports whether a request that may run for maxRun is admitted at the time now; a nil receiver admits all.
func (d *DrainDeadlines) admits(now ident.Time, maxRun time.Duration) bool {
	return d == nil || now < d.AdmitLongUntil || now.Add(maxRun) <= d.CloseAt
}

// Drain announces to the control hosts that this host is not ready for callers, and limits admission from now on.
func (f *Front) Drain(d DrainDeadlines) {
	f.drain.Store(&d)
	f.Paths.Drain()
	f.sendPresence()
}

// Draining reports whether Drain was called.
func (f *Front) Draining() bool { return f.drain.Load() != nil }

// drainRetryAfter is the Retry-After of requests that a draining host rejects. It is short because another host can serve them.
const drainRetryAfter = 10 * time.Millisecond

// exceedsDrain reports whether the request must be rejected because it may still run when the draining host closes.
func (ex *exchange) exceedsDrain() bool {
	return !ex.drain.Load().admits(clock.Boot(), ex.timeLeft())
}
