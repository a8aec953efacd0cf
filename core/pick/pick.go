// Package pick chooses an endpoint of a plain service on an entry host, from the outcomes and loads that this host has observed.
package pick

import (
	"math"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// Load is the load that an endpoint reported with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Picker holds what one entry host has observed of the endpoints.
type Picker struct {
	Domain ident.DomainID
	stats  map[ident.EndpointID]*endpointStats
}

// endpointStats is what the entry host has observed of one endpoint.
type endpointStats struct {
	instance      ident.Instance
	running       int // requests that this host has sent and that have not ended
	load          Load
	reportedAt    ident.Time
	failRate      float64 // moving average of failed requests, from 0 to 1, as of outcomeAt
	outcomeAt     ident.Time
	unreachableAt ident.Time // when a connection last failed
	unreachable   bool
	usedAt        ident.Time
}

// New returns a picker without observations, for an entry host in the given failure domain.
func New(domain ident.DomainID) *Picker {
	return &Picker{Domain: domain, stats: map[ident.EndpointID]*endpointStats{}}
}

// Constants of the cost of an endpoint.
const (
	loadHalfLife    = 300 * time.Millisecond // half-life of a reported load, as requests take some tens of milliseconds
	failHalfLife    = 4 * time.Second        // half-life of the failure rate; a recovered replica is tried again within a few seconds
	outcomeWeight   = 0.3                    // weight of the latest outcome in the failure rate
	failRateCost    = 4.0                    // cost of a failure rate of 1, in full batches of requests
	crossDomainCost = 0.25                   // cost of a round trip to another failure domain, in full batches of requests
	unreachableFor  = 700 * time.Millisecond // time after which an unreachable replica is tried again
)

// statsOf returns the observations of an endpoint. It discards those of an earlier instance of the endpoint.
func (p *Picker) statsOf(e census.Entry) *endpointStats {
	s := p.stats[e.Instance.ID]
	if s == nil || s.instance != e.Instance {
		s = &endpointStats{instance: e.Instance}
		p.stats[e.Instance.ID] = s
	}
	return s
}

// Choose returns the endpoint with the lowest cost among those that are ready and not in avoid. An endpoint that was unreachable
// within unreachableFor is chosen only when no other endpoint can be.
//
// The cost is designed for short requests from many hosts, each of which sends a small part of the load, and for endpoints that
// crash or fail one at a time.
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

// Better reports whether an endpoint has a lower cost than another one.
func (p *Picker) Better(e, other census.Entry, now ident.Time) bool {
	return p.cost(e, now) < p.cost(other, now)
}

// unreachableCost is the additional cost of an endpoint that was unreachable within unreachableFor.
const unreachableCost = 1000

// cost returns the cost of an endpoint, in units of a full batch.
func (p *Picker) cost(e census.Entry, now ident.Time) float64 {
	s := p.statsOf(e)
	slots := float64(max(e.Slots, 1))
	reported := float64(s.load.Running+s.load.Waiting) * decay(now.Sub(s.reportedAt), loadHalfLife)
	c := max(float64(s.running), reported) / slots
	c += s.failRate * decay(now.Sub(s.outcomeAt), failHalfLife) * failRateCost
	if e.Domain != p.Domain {
		c += crossDomainCost
	}
	if s.unreachable && now.Sub(s.unreachableAt) < unreachableFor {
		c += unreachableCost
	}
	return c
}

// decay returns the factor by which a value with the given half-life decays in the time d.
func decay(d, halfLife time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }

// Begin counts a request that is sent to an endpoint.
func (p *Picker) Begin(e census.Entry, now ident.Time) {
	s := p.statsOf(e)
	s.running++
	s.usedAt = now
}

// Running returns the number of requests of this host that run at an endpoint.
func (p *Picker) Running(e census.Entry) int { return p.statsOf(e).running }

// Outcome is how a request to an endpoint ended.
type Outcome uint8

// The outcomes of a request.
const (
	Good        Outcome = iota // the request was answered
	Bad                        // answered with a failure, or not answered
	Full                       // rejected by the endpoint, which is full
	Unreachable                // the connection failed
	Ignored                    // ended for a reason that has nothing to do with the endpoint
)

// End records the outcome of a request, and the load that the endpoint reported; load may be nil.
func (p *Picker) End(e census.Entry, o Outcome, load *Load, now ident.Time) {
	s := p.statsOf(e)
	s.running = max(0, s.running-1)
	if load != nil {
		s.load, s.reportedAt = *load, now
	}
	switch o {
	case Good:
		s.recordOutcome(false, now)
		s.unreachable = false
	case Bad:
		s.recordOutcome(true, now)
	case Full:
		s.load, s.reportedAt = Load{Running: max(e.Slots, 1)}, now
		s.recordOutcome(true, now)
	case Unreachable:
		s.recordOutcome(true, now)
		s.unreachable, s.unreachableAt = true, now
	case Ignored:
	}
}

// MarkUnreachable records that an endpoint was found to have crashed.
func (p *Picker) MarkUnreachable(e census.Entry, now ident.Time) {
	s := p.statsOf(e)
	s.unreachable, s.unreachableAt = true, now
	s.usedAt = now
}

// recordOutcome updates the failure rate.
func (s *endpointStats) recordOutcome(failed bool, now ident.Time) {
	s.failRate *= decay(now.Sub(s.outcomeAt), failHalfLife) * (1 - outcomeWeight)
	if failed {
		s.failRate += outcomeWeight
	}
	s.outcomeAt = now
}

// Forget drops the endpoints without running requests that were last used before the given time.
func (p *Picker) Forget(before ident.Time) {
	for id, s := range p.stats {
		if s.running == 0 && s.usedAt < before {
			delete(p.stats, id)
		}
	}
}
