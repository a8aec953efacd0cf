package lease

import (
	"time"

	"shallotgap/core/ident"
)

// Terms are the timing parameters of leases; all hosts use the same.
type Terms struct {
	// Length is the duration of a lease, counted from the time at which its renewal was sent.
	Length time.Duration
	// Margin is added to Length before a lease counts as expired; it covers the clock drift between two hosts during one
	// lease.
	Margin time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Spread is the longest time for which a host may lag behind an accepted change and still renew its lease.
	Spread time.Duration
}

// RenewRequest asks the leader to extend the lease of the sending host.
type RenewRequest struct {
	// Sent is the sender's clock reading; the reply returns it.
	Sent        ident.Time        `json:"sent"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Applied     ident.Index       `json:"applied"`
	// Busy is the number of requests that the host is serving for callers or running at endpoints.
	Busy int `json:"busy,omitempty"`
	// Working lists the endpoints that accept no new requests and at which requests of this host are still running.
	Working []ident.EndpointID `json:"working,omitempty"`
}

// RenewReply is the leader's reply to RenewRequest.
type RenewReply struct {
	Sent ident.Time `json:"sent"`
	Term ident.Term `json:"term"`
	// Incarnation is copied from the request, so that a restarted host ignores replies to its earlier incarnation.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Refused is set when the lease was not extended: the host lacks recent changes, or another incarnation holds a lease.
	Refused bool `json:"refused,omitempty"`
	// Down lists the hosts whose leases have expired; they are left out of the addresses that this host gives to callers.
	Down []ident.HostID `json:"down,omitempty"`
}

// Holder is the state of a lease on the host that holds it.
type Holder struct {
	Terms
	Incarnation ident.Incarnation
	until       ident.Time
	renewalDue  ident.Time
	// sentApplied is the applied index in the latest renewal; refused reports whether the leader refused that renewal.
	sentApplied ident.Index
	refused     bool
}

// Valid reports whether the lease is in force at now, so that the host may serve.
func (h *Holder) Valid(now ident.Time) bool { return now < h.until }

// Until returns the clock reading at which the lease ends.
func (h *Holder) Until() ident.Time { return h.until }

// RenewNow makes the next renewal due immediately, so that the leader learns this host's applied index.
func (h *Holder) RenewNow() { h.renewalDue = 0 }

// Unanswered reports whether the renewal before the one due at now did not extend the lease; the host to which that renewal
// was sent may no longer be the leader.
func (h *Holder) Unanswered(now ident.Time) bool { return h.until.Sub(now) < h.Length-h.Renew*3/2 }

// Due returns the renewal to send at now, or nil when none is due. After a refusal the next renewal is due as soon as the
// host has applied further log entries.
func (h *Holder) Due(now ident.Time, applied ident.Index) *RenewRequest {
	caughtUp := h.refused && applied > h.sentApplied
	if now < h.renewalDue && !caughtUp {
		return nil
	}
	h.renewalDue = now.Add(h.Renew)
	h.sentApplied, h.refused = applied, false
	return &RenewRequest{Sent: now, Incarnation: h.Incarnation, Applied: applied}
}

// Extend applies the leader's reply. The lease is counted from the sending of the request, never from the reply.
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

// hostRenewals is the leader's record of the lease renewals of one host.
type hostRenewals struct {
	heardAt     ident.Time        // when the latest granted renewal arrived
	incarnation ident.Incarnation // the host's incarnation in the latest granted renewal
	applied     ident.Index       // the host's last reported applied index
	hasRenewed  bool              // whether any renewal was granted
	last        RenewRequest      // the latest renewal, granted or refused
}

// Granter tracks the leases of all hosts on the leader. A newly elected leader starts with a new Granter.
type Granter struct {
	Terms
	electedAt ident.Time
	hosts     map[ident.HostID]*hostRenewals
}

// NewGranter returns the granter of a leader elected at now. Leases granted by earlier leaders may still be in force, so
// every host counts as having renewed at now.
func NewGranter(t Terms, now ident.Time) *Granter {
	return &Granter{Terms: t, electedAt: now, hosts: map[ident.HostID]*hostRenewals{}}
}

// Grant handles a renewal from host h received at now and returns the reply. behind is how long the host has lacked an
// accepted change.
func (g *Granter) Grant(h ident.HostID, r RenewRequest, now ident.Time, behind time.Duration) RenewReply {
	host := g.hosts[h]
	if host == nil {
		host = &hostRenewals{}
		g.hosts[h] = host
	}
	host.last = r
	reply := RenewReply{Sent: r.Sent, Incarnation: r.Incarnation}
	if r.Incarnation < host.incarnation && g.HoldsLease(h, now) {
		// A delayed message of an earlier incarnation, or the host's wall clock went back (incarnations derive from it):
		// the lease of the later incarnation must expire first.
		reply.Refused = true
		return reply
	}
	host.applied = r.Applied
	if behind > g.Spread {
		reply.Refused = true
		return reply
	}
	host.heardAt = now
	host.incarnation = r.Incarnation
	host.hasRenewed = true
	return reply
}

// HoldsLease reports whether h has renewed with this leader and its lease may still be in force.
func (g *Granter) HoldsLease(h ident.HostID, now ident.Time) bool {
	host := g.hosts[h]
	return host != nil && host.hasRenewed && now.Sub(host.heardAt) < g.Length
}

// Expired reports whether no lease of h can still be in force, including one from an earlier leader.
func (g *Granter) Expired(h ident.HostID, now ident.Time) bool {
	heard := g.electedAt
	if host := g.hosts[h]; host != nil && host.hasRenewed {
		heard = host.heardAt
	}
	return now.Sub(heard) > g.Length+g.Margin
}

// Down returns those of the given hosts whose leases have expired, in the given order.
func (g *Granter) Down(hosts []ident.HostID, now ident.Time) []ident.HostID {
	var list []ident.HostID
	for _, h := range hosts {
		if g.Expired(h, now) {
			list = append(list, h)
		}
	}
	return list
}

// LastRenewal returns the latest renewal of h and whether the lease of h may still be in force.
func (g *Granter) LastRenewal(h ident.HostID, now ident.Time) (RenewRequest, bool) {
	host := g.hosts[h]
	if host == nil {
		return RenewRequest{}, false
	}
	return host.last, g.HoldsLease(h, now)
}

// SilentFor returns the time since h last renewed with this leader, or since the election if h has not renewed.
func (g *Granter) SilentFor(h ident.HostID, now ident.Time) time.Duration {
	if host := g.hosts[h]; host != nil && host.hasRenewed {
		return now.Sub(host.heardAt)
	}
	return now.Sub(g.electedAt)
}

// Applied returns the applied index in the latest renewal of h and whether the lease of h may still be in force.
func (g *Granter) Applied(h ident.HostID, now ident.Time) (ident.Index, bool) {
	host := g.hosts[h]
	if host == nil {
		return 0, false
	}
	return host.applied, g.HoldsLease(h, now)
}

// Incarnation returns the incarnation of h that last renewed its lease; 0 for none.
func (g *Granter) Incarnation(h ident.HostID) ident.Incarnation {
	if host := g.hosts[h]; host != nil {
		return host.incarnation
	}
	return 0
}

// Hosts returns the hosts that have sent a renewal to this leader, in no particular order.
func (g *Granter) Hosts() []ident.HostID {
	list := make([]ident.HostID, 0, len(g.hosts))
	for h := range g.hosts {
		list = append(list, h)
	}
	return list
}
