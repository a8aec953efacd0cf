package site

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/calls"
	"shallotgap/io/clock"
)

// Limits above which delays are logged.
const (
	// slowCall is a fraction of the 1 s after which operators and endpoints try another host.
	slowCall = 250 * time.Millisecond
	// pauseCheckInterval is how often the host checks for pauses of its process; pauses of at least twice this length are logged.
	pauseCheckInterval = 100 * time.Millisecond
)

// acceptedConn is a connection of an operator or endpoint.
type acceptedConn struct {
	at ident.Time
	// used is true once the connection has carried a request.
	used atomic.Bool
}

type acceptedConnKey struct{}

// measuredServer returns an HTTP server that measures how long calls wait on an accepted connection before the handler starts,
// and how long the handler takes. It logs those that are slow.
func (h *host) measuredServer(handler http.Handler) *http.Server {
	return &http.Server{
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return calls.WithCaller(context.WithValue(ctx, acceptedConnKey{}, &acceptedConn{at: clock.Boot()}), c)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			start := clock.Boot()
			var waited time.Duration
			if c, ok := r.Context().Value(acceptedConnKey{}).(*acceptedConn); ok && c.used.CompareAndSwap(false, true) {
				waited = start.Sub(c.at)
				h.meter.ObserveDuration("shallotgap_control_wait_seconds", waited)
			}
			handler.ServeHTTP(w, r)
			took := clock.Boot().Sub(start)
			h.meter.ObserveDuration("shallotgap_control_call_seconds", took)
			if max(waited, took) > slowCall {
				h.Log.WithField("step", "call").WithField("call", r.Method+" "+r.URL.Path).WithField("peer", r.RemoteAddr).WithField("waited", waited.String()).WithField("took", took.String()).Warn("slow-call")
			}
		}),
	}
}

// watchPauses logs pauses of the process or of the whole machine.
func (h *host) watchPauses(ctx context.Context) error {
	tick := time.NewTicker(pauseCheckInterval)
	defer tick.Stop()
	last := clock.Boot()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := clock.Boot()
		if pause := now.Sub(last) - pauseCheckInterval; pause > 2*pauseCheckInterval {
			h.meter.ObserveDuration("shallotgap_pause_seconds", pause)
			h.Log.WithField("step", "watch").WithField("for", pause.String()).Warn("paused")
		}
		last = now
	}
}
