package engine

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrLeaseExpired is returned instead of sending when the host's lease has expired.
var ErrLeaseExpired = errors.New("the lease lapsed before the first byte was sent")

// errSealed is returned instead of sending when the request was already reported as not sent, or when another
// connection has begun to send it.
var errSealed = errors.New("the request was given up or went out on another connection")

// guard allows the first byte of a request only while the lease is valid, and records whether any byte was sent.
type guard struct {
	valid  func() bool // whether the lease is valid
	mu     sync.Mutex
	writer net.Conn // the connection that was allowed to send the first byte
	sealed bool
}

// allow returns an error if c must not write. Only the connection that sent the first byte may write any further byte;
// once the guard is sealed, no connection may send a first byte.
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

// seal forbids sending a first byte after this call and reports whether no byte was sent before it. Without the seal,
// net/http could still send the request from a goroutine of its own after it has returned the error of a cancelled request.
func (g *guard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.writer == nil
}

// guardedConn is a connection that asks its guard before each write.
type guardedConn struct {
	*exchangeConn
	guard *guard
}

// Write sends p if the guard allows it.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.guard.allow(c.Conn); err != nil {
		return 0, err
	}
	return c.exchangeConn.Write(p)
}

// dialTimeout bounds the time to connect to an endpoint.
const dialTimeout = 2 * time.Second

// dial opens a connection that this guard controls.
func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{exchangeConn: newExchangeConn(conn), guard: g}, nil
}
