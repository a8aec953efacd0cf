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

// Drain announces to the control hosts that this host is not ready for callers, and takes only requests that are over when it ends
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

// outlastsHost reports whether the request may run beyond the end of this host. What its caller has begun to receive goes on: it may still be
// complete by then, and a refusal would cut it now.
func (ex *exchange) outlastsHost() bool {
	return !ex.committed && !ex.stop.Load().Admits(clock.Boot(), ex.timeLeft())
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
