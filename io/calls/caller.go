package calls

import (
	"context"
	"net"
	"sync"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// Caller holds the facts about a connection over which endpoints call a host. A nil Caller holds none.
type Caller struct {
	openedAt ident.Time
	mu       sync.Mutex
	// announced are the endpoints whose heartbeats came over the connection, in their latest incarnation. A restart ends the connections of an
	// endpoint.
	announced map[ident.EndpointID]ident.Incarnation
}

// maxAnnounced bounds the endpoints that are remembered for one connection; each endpoint has connections of its own.
const maxAnnounced = 64

type callerKey struct{}

// WithCaller adds a Caller to the context of a connection that has just been opened; it is an http.Server.ConnContext callback.
func WithCaller(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &Caller{openedAt: clock.Boot(), announced: map[ident.EndpointID]ident.Incarnation{}})
}

// CallerOf returns the caller of a request, from its context; nil if it is not known.
func CallerOf(ctx context.Context) *Caller {
	c, _ := ctx.Value(callerKey{}).(*Caller)
	return c
}

// Announced records a heartbeat that came over the connection.
func (c *Caller) Announced(i ident.Instance) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.announced[i.ID]; known || len(c.announced) < maxAnnounced {
		c.announced[i.ID] = i.Born
	}
}

// Leaving returns a deregistration with the facts about its connection.
func (c *Caller) Leaving(i ident.Instance) census.LeaveCall {
	if c == nil {
		return census.LeaveCall{Instance: i}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return census.LeaveCall{Instance: i, OpenedAt: c.openedAt, Announced: c.announced[i.ID]}
}
