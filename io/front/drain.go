package front

import (
	"context"
	"errors"
	"time"

	"shallotgap/core/grace"
	"shallotgap/io/clock"
)

// errStopping is the cause of requests that this host ends because it stops.
var errStopping = errors.New("the host stops")

// stoppingCause is the cause of their answers.
const stoppingCause = "stopping"

// Drain announces to the control hosts that this host is not ready for callers, and takes only requests that should be over when it ends
// all, from now on. What still runs then is ended with an answer that says whether it may have run.
func (f *Front) Drain(s grace.Stop) {
	f.stop.Store(&s)
	f.Paths.Drain()
	f.sendPresence()
	time.AfterFunc(s.CloseAt.Sub(clock.Boot()), func() { f.endRequests(errStopping) })
}

// Draining reports whether Drain was called.
func (f *Front) Draining() bool { return f.stop.Load() != nil }

// drainRetryAfter is the Retry-After of requests that a draining host rejects. It is short because another host can serve them.
const drainRetryAfter = 10 * time.Millisecond

// outlastsHost reports whether the request is expected to run beyond the end of this host.
func (ex *exchange) outlastsHost() bool {
	s := ex.stop.Load()
	if s == nil {
		return false
	}
	now := clock.Boot()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return !s.Admits(now, ex.durations.Expect(ex.kind(), ex.timeLeft(), now))
}

// kind names the requests that should take about as long as this one.
func (ex *exchange) kind() grace.Route { return grace.Route(ex.route.Host + ex.route.Prefix) }

// noteDuration records how long the request took, once it has got an answer of an endpoint.
func (ex *exchange) noteDuration() {
	now := clock.Boot()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.durations.Note(ex.kind(), now.Sub(ex.receivedAt), now)
}

// withEnd returns the context of a request, which ends at its deadline or when this host ends its requests.
func (ex *exchange) withEnd() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ex.r.Context())
	stop := context.AfterFunc(ex.ending, func() { cancel(errStopping) })
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, ex.timeLeft(), errDeadlinePassed)
	return ctx, func() {
		stop()
		cancelTimeout()
		cancel(nil)
	}
}
