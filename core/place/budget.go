package place

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// LoadRequest is the request of an engine's owner to the leader for permission to load an adapter on the engine.
type LoadRequest struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Model    ident.Model      `json:"model"`
	// Waiting is the number of requests that wait for the load, Weight the sum of their weights.
	Waiting int     `json:"waiting"`
	Weight  float64 `json:"weight"`
	// Urgency is the highest urgency among the waiting requests, Slack the time to the earliest deadline at that urgency.
	Urgency work.Urgency  `json:"urgency"`
	Slack   time.Duration `json:"slack"`
}

// minSlack is the least slack that priority divides by. It bounds the priority of a request that is close to its deadline.
const minSlack = 100 * time.Millisecond

// priority returns the waiting weight per second of slack.
func (r LoadRequest) priority() float64 { return r.Weight / max(r.Slack, minSlack).Seconds() }

// compareLoadRequests orders load requests for granting: bulk last, then by descending priority, then by endpoint and adapter, so
// that every leader orders them alike.
func compareLoadRequests(x, y LoadRequest) int {
	return cmp.Or(
		cmp.Compare(min(y.Urgency, work.Normal), min(x.Urgency, work.Normal)),
		cmp.Compare(y.priority(), x.priority()),
		cmp.Compare(x.Endpoint, y.Endpoint),
		compareModels(x.Model, y.Model),
	)
}

// Grant permits one load of an adapter. The load must start within GrantTTL.
type Grant struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Model    ident.Model      `json:"model"`
}

// GrantEnd reports to the leader that the load of a grant has ended or was not started.
type GrantEnd struct {
	Grant
	// Unused is true when no load was started, Failed when a load was started and failed.
	Unused bool `json:"unused,omitempty"`
	Failed bool `json:"failed,omitempty"`
}

// freeFailures is the number of failed loads of an adapter, counted over all engines, after which the leader delays
// further loads of the adapter.
const freeFailures = 2

// GrantTTL is how long a granted load counts as in flight when its end is not reported.
const GrantTTL = 10 * time.Second

// Budget is the leader's budget for loads from the weight store: loads per second and loads in flight over all engines.
type Budget struct {
	Rate          float64 // maximum of loads per second
	InFlight      int     // maximum of concurrent loads
	requests      []hostRequest
	inFlightLoads []inFlightLoad
	tokens        float64
	refilledAt    ident.Time
	failed        failures
}

// hostRequest is a load request with the host that sent it.
type hostRequest struct {
	LoadRequest
	host ident.HostID
}

// inFlightLoad is a granted load whose end has not been reported.
type inFlightLoad struct {
	Grant
	host      ident.HostID
	grantedAt ident.Time
}

// Granted is a grant and the host that receives it.
type Granted struct {
	Grant
	Host ident.HostID
}

// SetLoadRequests replaces the load requests of a host.
func (b *Budget) SetLoadRequests(h ident.HostID, requests []LoadRequest) {
	b.requests = slices.DeleteFunc(b.requests, func(o hostRequest) bool { return o.host == h })
	for _, r := range requests {
		b.requests = append(b.requests, hostRequest{LoadRequest: r, host: h})
	}
}

// Done ends a load in flight. An unused grant also returns its token to the rate limit; a failed load counts towards the
// adapter's backoff.
func (b *Budget) Done(d GrantEnd, now ident.Time) {
	before := len(b.inFlightLoads)
	b.inFlightLoads = slices.DeleteFunc(b.inFlightLoads, func(f inFlightLoad) bool { return f.Grant == d.Grant })
	if len(b.inFlightLoads) == before {
		return
	}
	switch {
	case d.Unused:
		b.tokens = min(max(1, b.Rate), b.tokens+1)
	case d.Failed:
		b.failures().add(d.Model, now, freeFailures)
	default:
		delete(b.failed, d.Model)
	}
}

func (b *Budget) failures() failures {
	if b.failed == nil {
		b.failed = failures{}
	}
	return b.failed
}

// Forget removes the load requests and the loads in flight of a host whose lease has expired.
func (b *Budget) Forget(h ident.HostID) {
	b.SetLoadRequests(h, nil)
	b.inFlightLoads = slices.DeleteFunc(b.inFlightLoads, func(f inFlightLoad) bool { return f.host == h })
}

// GrantLoads returns as many grants as the budget allows now, in the order of compareLoadRequests. Adapters in backoff are
// skipped.
func (b *Budget) GrantLoads(now ident.Time) []Granted {
	b.refill(now)
	b.inFlightLoads = slices.DeleteFunc(b.inFlightLoads, func(f inFlightLoad) bool { return now.Sub(f.grantedAt) > GrantTTL })
	slices.SortFunc(b.requests, func(x, y hostRequest) int { return compareLoadRequests(x.LoadRequest, y.LoadRequest) })
	var list []Granted
	var backedOff []hostRequest
	for len(b.requests) > 0 && b.tokens >= 1 && len(b.inFlightLoads) < b.InFlight {
		r := b.requests[0]
		b.requests = b.requests[1:]
		if b.failed.backingOff(r.Model, now) {
			backedOff = append(backedOff, r)
			continue
		}
		g := Grant{Endpoint: r.Endpoint, Model: r.Model}
		b.tokens--
		b.inFlightLoads = append(b.inFlightLoads, inFlightLoad{Grant: g, host: r.host, grantedAt: now})
		list = append(list, Granted{Grant: g, Host: r.host})
	}
	b.requests = append(b.requests, backedOff...)
	return list
}

func (b *Budget) refill(now ident.Time) {
	b.tokens = min(max(1, b.Rate), b.tokens+now.Sub(b.refilledAt).Seconds()*b.Rate)
	b.refilledAt = now
}
