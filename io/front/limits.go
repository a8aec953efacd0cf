package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"shallotgap/core/layout"
)

// headerBytes returns the size in bytes of a request's line and header, without the protocol version.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// connTimeouts closes caller connections that exceed the layout's timeouts: for receiving the header of the first
// request, and for idle connections.
type connTimeouts struct {
	limits func() layout.Limits

	mu    sync.Mutex
	conns map[net.Conn]*time.Timer // timers that close the connection
}

func newConnTimeouts(limits func() layout.Limits) *connTimeouts {
	return &connTimeouts{limits: limits, conns: map[net.Conn]*time.Timer{}}
}

// ConnState returns the callback for http.Server.ConnState that applies the layout's connection timeouts.
func (f *Front) ConnState() func(net.Conn, http.ConnState) {
	return newConnTimeouts(func() layout.Limits {
		if l := f.router.Load().Layout; l != nil {
			return l.Limits
		}
		return layout.Limits{}
	}).onState
}

// onState starts, replaces or stops the timer of a connection when its state changes; it is an http.Server.ConnState callback.
func (t *connTimeouts) onState(c net.Conn, s http.ConnState) {
	var timeout time.Duration
	switch s {
	case http.StateNew:
		timeout = t.limits().HeaderTimeout
	case http.StateIdle:
		timeout = t.limits().IdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer := t.conns[c]; timer != nil {
		timer.Stop()
		delete(t.conns, c)
	}
	if timeout > 0 {
		t.conns[c] = time.AfterFunc(timeout, func() { _ = c.Close() }) // the server then ends its goroutine
	}
}
