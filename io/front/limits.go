package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"shallotgap/core/layout"
)

// headerBytes returns the size of a request's head as it was sent, without the version of the protocol.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// patience closes connections whose callers take longer for the head of their first request, or stay idle for longer,
// than the layout in force allows.
type patience struct {
	limits func() layout.Limits

	mu    sync.Mutex
	conns map[net.Conn]*time.Timer
}

func newPatience(limits func() layout.Limits) *patience {
	return &patience{limits: limits, conns: map[net.Conn]*time.Timer{}}
}

// ConnState returns what the server of callers' connections tells of their states.
func (f *Front) ConnState() func(net.Conn, http.ConnState) {
	return newPatience(func() layout.Limits {
		if l := f.router.Load().Layout; l != nil {
			return l.Limits
		}
		return layout.Limits{}
	}).state
}

// state is the ConnState of the server that the connections belong to.
func (p *patience) state(c net.Conn, s http.ConnState) {
	var wait time.Duration
	switch s {
	case http.StateNew:
		wait = p.limits().HeaderTimeout
	case http.StateIdle:
		wait = p.limits().IdleTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.conns[c]; t != nil {
		t.Stop()
		delete(p.conns, c)
	}
	if wait > 0 {
		p.conns[c] = time.AfterFunc(wait, func() { _ = c.Close() }) // the server notices and ends the connection
	}
}
