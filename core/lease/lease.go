package lease

import (
	"time"

	"shallotgap/core/ident"
)

// Terms are the time bounds of leases, the same on all hosts.
type Terms struct {
	// Length is how long a lease lasts, counted from the sending of its renewal.
	Length time.Duration
	// Margin covers the difference in clock rate between two hosts over one lease.
	Margin time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Spread bounds how far a host may lag behind an accepted change and still renew.
	Spread time.Duration
}

// RenewRequest asks the leader to extend the sender's lease.
type RenewRequest struct {
	// Sent is the reading of the sender's clock; the reply returns it.
	Sent        ident.Time        `json:"sent"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Applied     ident.Index       `json:"applied"`
	// Busy is the number of requests that the host serves for callers or runs at endpoints.
	Busy int `json:"busy,omitempty"`
	// Working are the endpoints that take no new work and at which requests of this host still run.
	Working []ident.EndpointID `json:"working,omitempty"`
}

// RenewReply is the leader's reply to Renew.
type RenewReply struct {
	Sent ident.Time `json:"sent"`
	Term ident.Term `json:"term"`
	// Incarnation is that of the Renew, so that a restarted host ignores replies to its earlier run.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Refused is set when the host is too far behind to serve.
	Refused bool `json:"refused,omitempty"`
	// Down are the hosts whose leases have run out, for the address answers.
	Down []ident.HostID `json:"down,omitempty"`
}

// Holder is a host's own view of its lease.
type Holder struct {
	Terms
	Incarnation ident.Incarnation
	until       ident.Time
	renewAt     ident.Time
	// asked is the index of the latest renewal sent, refused whether its answer said that the host is behind.
	asked   ident.Index
	refused bool
}

// Valid reports whether the host may serve at now.
func (h *Holder) Valid(now ident.Time) bool { return now < h.until }

// Until returns the reading at which the lease ends.
func (h *Holder) Until() ident.Time { return h.until }

// RenewNow makes the next renewal due at once, so that the leader learns what this host has applied.
func (h *Holder) RenewNow() { h.renewAt = 0 }

// Unanswered reports whether the latest renewal before the one due at now got no lease: the host that was asked may no
// longer lead.
func (h *Holder) Unanswered(now ident.Time) bool { return h.until.Sub(now) < h.Length-h.Renew*3/2 }

// Due returns the renewal to send at now, or nil when none is due. A host that was refused for being behind asks again
// as soon as it has applied more.
func (h *Holder) Due(now ident.Time, applied ident.Index) *RenewRequest {
	caughtUp := h.refused && applied > h.asked
	if now < h.renewAt && !caughtUp {
		return nil
	}
	h.renewAt = now.Add(h.Renew)
	h.asked, h.refused = applied, false
	return &RenewRequest{Sent: now, Incarnation: h.Incarnation, Applied: applied}
}

// Extend takes the leader's reply. The lease runs from the sending of the request, never from the reply.
func (h *Holder) Extend(r RenewReply) {
	if r.Incarnation != h.Incarnation {
		return
	}
	if r.Refused {
		h.refused = true
		return
	}
	h.until = max(h.until, r.Sent.Add(h.Length))
}

// client is what the granter knows of one host.
type client struct {
	heard       ident.Time
	incarnation ident.Incarnation
	applied     ident.Index
	renewed     bool
	last        RenewRequest
}

// Granter is the leader's view of all leases. It is made anew with every term.
type Granter struct {
	Terms
	since ident.Time
	hosts map[ident.HostID]*client
}

// NewGranter returns the view of a leader elected at now. Leases given by earlier leaders may still run,
// so every host counts as heard at now.
func NewGranter(t Terms, now ident.Time) *Granter {
	return &Granter{Terms: t, since: now, hosts: map[ident.HostID]*client{}}
}

// Grant records a renewal of host h received at now. behind is how long the host has lacked an accepted change.
func (g *Granter) Grant(h ident.HostID, r RenewRequest, now ident.Time, behind time.Duration) RenewReply {
	c := g.hosts[h]
	if c == nil {
		c = &client{}
		g.hosts[h] = c
	}
	c.last = r
	reply := RenewReply{Sent: r.Sent, Incarnation: r.Incarnation}
	if r.Incarnation < c.incarnation && g.HoldsLease(h, now) {
		// A late message of an earlier run, or a wall clock that went back; the lease of the other run passes first.
		reply.Refused = true
		return reply
	}
	c.applied = r.Applied
	if behind > g.Spread {
		reply.Refused = true
		return reply
	}
	c.heard = now
	c.incarnation = r.Incarnation
	c.renewed = true
	return reply
}

// HoldsLease reports whether h has renewed with this leader and its lease may still run.
func (g *Granter) HoldsLease(h ident.HostID, now ident.Time) bool {
	c := g.hosts[h]
	return c != nil && c.renewed && now.Sub(c.heard) < g.Length
}

// Expired reports whether no lease of h can still run anywhere.
func (g *Granter) Expired(h ident.HostID, now ident.Time) bool {
	heard := g.since
	if c := g.hosts[h]; c != nil && c.renewed {
		heard = c.heard
	}
	return now.Sub(heard) > g.Length+g.Margin
}

// Down returns those of the hosts that hold no lease any more, in the given order.
func (g *Granter) Down(hosts []ident.HostID, now ident.Time) []ident.HostID {
	var list []ident.HostID
	for _, h := range hosts {
		if g.Expired(h, now) {
			list = append(list, h)
		}
	}
	return list
}

// LastRenewal returns the latest renewal of h, and whether its lease may still run.
func (g *Granter) LastRenewal(h ident.HostID, now ident.Time) (RenewRequest, bool) {
	c := g.hosts[h]
	if c == nil {
		return RenewRequest{}, false
	}
	return c.last, g.HoldsLease(h, now)
}

// SilentFor returns for how long h has not renewed with this leader.
func (g *Granter) SilentFor(h ident.HostID, now ident.Time) time.Duration {
	if c := g.hosts[h]; c != nil && c.renewed {
		return now.Sub(c.heard)
	}
	return now.Sub(g.since)
}

// Applied returns the index that h said it had applied, and whether its lease may still run.
func (g *Granter) Applied(h ident.HostID, now ident.Time) (ident.Index, bool) {
	c := g.hosts[h]
	if c == nil {
		return 0, false
	}
	return c.applied, g.HoldsLease(h, now)
}

// Incarnation returns the last run of h that renewed, or 0.
func (g *Granter) Incarnation(h ident.HostID) ident.Incarnation {
	if c := g.hosts[h]; c != nil {
		return c.incarnation
	}
	return 0
}

// Hosts returns the hosts that have renewed with this leader.
func (g *Granter) Hosts() []ident.HostID {
	list := make([]ident.HostID, 0, len(g.hosts))
	for h := range g.hosts {
		list = append(list, h)
	}
	return list
}
