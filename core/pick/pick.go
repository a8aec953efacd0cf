// Package pick chooses an endpoint of a plain service on an entry host, from what this host has seen of each.
package pick

import (
	"math"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// Load is what an endpoint said of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Picker keeps what one entry host knows of the endpoints.
type Picker struct {
	Domain ident.DomainID
	seen   map[ident.EndpointID]*seen
}

// seen is what the host knows of one endpoint.
type seen struct {
	instance ident.Instance
	running  int // sent by this host and not ended
	load     Load
	loadAt   ident.Time
	fails    float64 // decayed share of requests that failed
	failAt   ident.Time
	downAt   ident.Time // when it could last not be reached
	down     bool
	usedAt   ident.Time
}

// New returns a picker that knows nothing yet.
func New(domain ident.DomainID) *Picker {
	return &Picker{Domain: domain, seen: map[ident.EndpointID]*seen{}}
}

// Constants of a choice.
const (
	loadHalfLife = 300 * time.Millisecond // of a reported load; requests take some tens of ms
	failHalfLife = 4 * time.Second        // a replica that recovers is tried again within a few seconds
	failStep     = 0.3                    // weight of the latest outcome
	failCost     = 4.0                    // batches that a certain failure is worth
	farCost      = 0.25                   // part of a batch that a round trip to another failure domain is worth
	downFor      = 700 * time.Millisecond // a replica that refuses connections is tried again after this
)

func (p *Picker) of(e census.Entry) *seen {
	s := p.seen[e.Instance.ID]
	if s == nil || s.instance != e.Instance {
		s = &seen{instance: e.Instance}
		p.seen[e.Instance.ID] = s
	}
	return s
}

// Choose returns the endpoint with the lowest cost among those that are ready and not to be avoided. Endpoints that
// could not be reached a moment ago are taken only when there is no other.
//
// Load: short requests at many hosts that each see a small part of them, while single endpoints crash or fail.
func (p *Picker) Choose(list []census.Entry, avoid []ident.EndpointID, now ident.Time) (census.Entry, bool) {
	var best census.Entry
	lowest := math.Inf(1)
	for _, e := range list {
		if e.State != census.Ready || slices.Contains(avoid, e.Instance.ID) {
			continue
		}
		if c := p.cost(e, now); c < lowest {
			best, lowest = e, c
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// unreachable is the cost of an endpoint that could not be reached a moment ago.
const unreachable = 1000

func (p *Picker) cost(e census.Entry, now ident.Time) float64 {
	s := p.of(e)
	slots := float64(max(e.Slots, 1))
	reported := float64(s.load.Running+s.load.Waiting) * decay(now.Sub(s.loadAt), loadHalfLife)
	c := max(float64(s.running), reported) / slots
	c += s.fails * decay(now.Sub(s.failAt), failHalfLife) * failCost
	if e.Domain != p.Domain {
		c += farCost
	}
	if s.down && now.Sub(s.downAt) < downFor {
		c += unreachable
	}
	return c
}

func decay(d, halfLife time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }

// Begin counts a request that is sent to an endpoint.
func (p *Picker) Begin(e census.Entry, now ident.Time) {
	s := p.of(e)
	s.running++
	s.usedAt = now
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	Good        Outcome = iota // an answer came
	Bad                        // an answer of failure came, or none
	Full                       // the endpoint refused it
	Unreachable                // no connection could be made
	Ignored                    // says nothing of the endpoint
)

// End takes the outcome of a request, with the load that the endpoint reported, if any.
func (p *Picker) End(e census.Entry, o Outcome, load *Load, now ident.Time) {
	s := p.of(e)
	s.running = max(0, s.running-1)
	if load != nil {
		s.load, s.loadAt = *load, now
	}
	switch o {
	case Good:
		s.note(false, now)
		s.down = false
	case Bad:
		s.note(true, now)
	case Full:
		s.load, s.loadAt = Load{Running: max(e.Slots, 1)}, now
		s.note(true, now)
	case Unreachable:
		s.note(true, now)
		s.down, s.downAt = true, now
	case Ignored:
	}
}

func (s *seen) note(failed bool, now ident.Time) {
	s.fails *= decay(now.Sub(s.failAt), failHalfLife) * (1 - failStep)
	if failed {
		s.fails += failStep
	}
	s.failAt = now
}

// Forget drops endpoints that are not in use and were last used before the given time.
func (p *Picker) Forget(before ident.Time) {
	for id, s := range p.seen {
		if s.running == 0 && s.usedAt < before {
			delete(p.seen, id)
		}
	}
}
