package place

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// LoadRequest is a wish to load an adapter, sent by an owner to the leader.
type LoadRequest struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Model    ident.Model      `json:"model"`
	// Waiting is the number of requests that wait for the load, Weight the sum of their weights.
	Waiting int     `json:"waiting"`
	Weight  float64 `json:"weight"`
	// Urgency is the highest of the waiting requests; Slack is the time to the earliest deadline of those.
	Urgency work.Urgency  `json:"urgency"`
	Slack   time.Duration `json:"slack"`
}

// minSlack bounds how much a near deadline raises a wish.
const minSlack = 100 * time.Millisecond

// rank is the waiting weight for each second of slack.
func (w LoadRequest) rank() float64 { return w.Weight / max(w.Slack, minSlack).Seconds() }

// compareWants puts the wish to grant first at the front: bulk last, then that with more waiting weight for
// each second of slack, then by name, so that every leader orders alike.
func compareWants(x, y LoadRequest) int {
	return cmp.Or(
		cmp.Compare(min(y.Urgency, work.Normal), min(x.Urgency, work.Normal)),
		cmp.Compare(y.rank(), x.rank()),
		cmp.Compare(x.Endpoint, y.Endpoint),
		compareModels(x.Model, y.Model),
	)
}

// Grant allows one load. It must start within GrantLife.
type Grant struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Model    ident.Model      `json:"model"`
}

// GrantEnd tells the leader that a grant is over.
type GrantEnd struct {
	Grant
	// Unused is set when no load was started; Failed when it was, and failed.
	Unused bool `json:"unused,omitempty"`
	Failed bool `json:"failed,omitempty"`
}

// freeFailures is the number of engines that may fail to load an adapter before it has to wait everywhere.
const freeFailures = 2

// GrantTTL is how long a granted load counts against the store's budget when its end is not reported.
const GrantTTL = 10 * time.Second

// Budget is the leader's account of the weight store: loads a second and loads in flight over all engines.
type Budget struct {
	Rate     float64 // loads a second
	InFlight int     // loads at once
	wants    []owned
	flying   []flight
	tokens   float64
	filled   ident.Time
	failed   failures
}

type owned struct {
	LoadRequest
	host ident.HostID
}

type flight struct {
	Grant
	host ident.HostID
	at   ident.Time
}

// Granted is a grant and the host that it goes to.
type Granted struct {
	Grant
	Host ident.HostID
}

// SetLoadRequests replaces the wishes of a host.
func (b *Budget) SetLoadRequests(h ident.HostID, wants []LoadRequest) {
	b.wants = slices.DeleteFunc(b.wants, func(o owned) bool { return o.host == h })
	for _, w := range wants {
		b.wants = append(b.wants, owned{LoadRequest: w, host: h})
	}
}

// Done ends a load and frees its place in flight; an unused grant gives its part of the rate back as well.
func (b *Budget) Done(d GrantEnd, now ident.Time) {
	before := len(b.flying)
	b.flying = slices.DeleteFunc(b.flying, func(f flight) bool { return f.Grant == d.Grant })
	if len(b.flying) == before {
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

// Forget drops the wishes and loads of a host that is gone.
func (b *Budget) Forget(h ident.HostID) {
	b.SetLoadRequests(h, nil)
	b.flying = slices.DeleteFunc(b.flying, func(f flight) bool { return f.host == h })
}

// GrantLoads grants as many loads as the budget allows at now, in the order of compareWants.
func (b *Budget) GrantLoads(now ident.Time) []Granted {
	b.refill(now)
	b.flying = slices.DeleteFunc(b.flying, func(f flight) bool { return now.Sub(f.at) > GrantTTL })
	slices.SortFunc(b.wants, func(x, y owned) int { return compareWants(x.LoadRequest, y.LoadRequest) })
	var list []Granted
	var held []owned
	for len(b.wants) > 0 && b.tokens >= 1 && len(b.flying) < b.InFlight {
		w := b.wants[0]
		b.wants = b.wants[1:]
		if b.failed.waits(w.Model, now) {
			held = append(held, w)
			continue
		}
		g := Grant{Endpoint: w.Endpoint, Model: w.Model}
		b.tokens--
		b.flying = append(b.flying, flight{Grant: g, host: w.host, at: now})
		list = append(list, Granted{Grant: g, Host: w.host})
	}
	b.wants = append(b.wants, held...)
	return list
}

func (b *Budget) refill(now ident.Time) {
	b.tokens = min(max(1, b.Rate), b.tokens+now.Sub(b.filled).Seconds()*b.Rate)
	b.filled = now
}
