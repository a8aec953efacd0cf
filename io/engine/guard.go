package engine

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrLeaseExpired is returned instead of sending when the host's lease has run out.
var ErrLeaseExpired = errors.New("the lease lapsed before the first byte was sent")

// errSealed is returned instead of sending a request that was given up as not sent, or that another connection carries.
var errSealed = errors.New("the request was given up or went out on another connection")

// guard lets the first byte of a request out only while the lease holds, and knows whether any left.
type guard struct {
	valid  func() bool
	mu     sync.Mutex
	writer net.Conn // the connection that carried the first byte
	sealed bool
}

// allow decides on a write. Only one connection ever carries bytes, and after seal only one that already did.
func (g *guard) allow(c net.Conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.writer == c:
		return nil
	case g.sealed || g.writer != nil:
		return errSealed
	case !g.valid():
		return ErrLeaseExpired
	}
	g.writer = c
	return nil
}

// seal bars the first byte from now on and reports whether none has left. net/http may still hold the connection
// in a goroutine of its own when it returns the error of a cancelled request.
func (g *guard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.writer == nil
}

// guarded is a connection that asks its guard before the first write.
type guarded struct {
	net.Conn
	guard *guard
}

// Write sends p, unless nothing was sent before and the lease has lapsed.
func (c *guarded) Write(p []byte) (int, error) {
	if err := c.guard.allow(c.Conn); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// dialTimeout bounds the time to connect to an endpoint.
const dialTimeout = 2 * time.Second

func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guarded{Conn: conn, guard: g}, nil
}
