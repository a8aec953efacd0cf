package engine

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// ErrLapsed is returned instead of sending when the host's lease has run out.
var ErrLapsed = errors.New("the lease lapsed before the first byte was sent")

// guard lets the first byte of a request out only while the lease holds, and knows whether any left.
type guard struct {
	valid func() bool
	wrote atomic.Bool
}

// guarded is a connection that asks its guard before the first write.
type guarded struct {
	net.Conn
	guard *guard
}

// Write sends p, unless nothing was sent before and the lease has lapsed.
func (c *guarded) Write(p []byte) (int, error) {
	if !c.guard.wrote.Load() {
		if !c.guard.valid() {
			return 0, ErrLapsed
		}
		c.guard.wrote.Store(true)
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
