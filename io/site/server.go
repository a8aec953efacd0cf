package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is an HTTP server that can close its port before its connections.
type server struct {
	*http.Server
	listener net.Listener
	closed   atomic.Bool // the port is closed
	conns    openConns
}

// serve answers HTTP requests on an address until the context ends.
func (h *host) serve(ctx context.Context, l Listen, handler http.Handler) (*server, error) {
	return h.serveWith(ctx, l, &http.Server{Handler: handler})
}

// serveWith is like serve, but takes a server with further settings.
func (h *host) serveWith(ctx context.Context, l Listen, base *http.Server) (*server, error) {
	listener, err := net.Listen("tcp", string(l))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &server{Server: base, listener: listener, conns: openConns{idleSince: map[net.Conn]time.Time{}}}
	s.ReadHeaderTimeout, s.IdleTimeout, s.ErrorLog = headerTimeout, idleTimeout, discardLog
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		s.conns.onState(c, state)
		if next != nil {
			next(c, state)
		}
	}
	h.group.Go(func() error {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !s.closed.Load() && ctx.Err() == nil {
			return fmt.Errorf("serve %s: %w", l, err)
		}
		return nil
	})
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return s, nil
}

// finish closes the port and, once all requests are answered and no connection was used within linger, the connections. Callers may send the
// next request right after an answer that did not announce the close, as its header was sent before the stop. It reports whether all
// was answered before the context ended. quiet ends the wait for connections earlier, when the next requests could not be answered any more.
func (s *server) finish(ctx, quiet context.Context, linger time.Duration) bool {
	if s == nil {
		return true
	}
	s.closed.Store(true)
	_ = s.listener.Close()
	tick := time.NewTicker(connCheck)
	defer tick.Stop()
	for s.conns.inUse(linger, time.Now()) {
		select {
		case <-quiet.Done():
			return s.Shutdown(ctx) == nil
		case <-tick.C:
		}
	}
	return s.Shutdown(ctx) == nil
}

// connCheck is the interval of looks at the connections of a stopping host.
const connCheck = 10 * time.Millisecond

// openConns are the connections of a server.
type openConns struct {
	mu sync.Mutex
	// idleSince is when each connection was opened or last answered a request; zero while it carries one.
	idleSince map[net.Conn]time.Time
}

// onState follows the state of a connection; it is an http.Server.ConnState callback.
func (o *openConns) onState(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		o.idleSince[c] = time.Now()
	case http.StateActive:
		o.idleSince[c] = time.Time{}
	default:
		delete(o.idleSince, c)
	}
}

// inUse reports whether a connection carries a request, or did within linger.
func (o *openConns) inUse(linger time.Duration, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, since := range o.idleSince {
		if since.IsZero() || now.Sub(since) < linger {
			return true
		}
	}
	return false
}
