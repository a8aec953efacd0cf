package heed

import (
	"math"
	"strconv"
	"strings"
	"time"

	"shallotgap/core/ident"
)

// Said is the state of its endpoint that an answer reports, without its limit.
type Said struct {
	// Leaving is true for an endpoint that leaves: it wants no new requests.
	Leaving bool
	// Rest is how long the endpoint wants nothing from the host that it turned away; 0 for no rest.
	Rest time.Duration
	// Bad quotes values that were not understood or differ.
	Bad string
}

// MaxRest is the longest rest. After it the endpoint is tried again, whatever it asked for.
const MaxRest = time.Minute

// ReadRest parses the values of a Retry-After header, in seconds. The longest of several values counts. Dates are not understood, as the
// clocks of hosts and endpoints may differ.
func ReadRest(values []string) (rest time.Duration, bad string) {
	named := false
	for _, text := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if (err != nil && !math.IsInf(n, 1)) || math.IsNaN(n) || n < 0 {
			bad = quote(values)
			continue
		}
		d := time.Duration(min(n, MaxRest.Seconds()) * float64(time.Second))
		if named && d != rest {
			bad = quote(values)
		}
		rest, named = max(rest, d), true
	}
	return rest, bad
}

// ReadLeaving parses the values of the header by which an endpoint announces its shutdown. Any number above 0 counts.
func ReadLeaving(values []string) (leaving bool, bad string) {
	for _, text := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(n) || n < 0 {
			bad = quote(values)
			continue
		}
		leaving = leaving || n > 0
	}
	return leaving, bad
}

// Limits of a gate.
const (
	// restMargin is added to a rest, as the endpoint counts from its answer and the next request needs some time to arrive.
	restMargin = 20 * time.Millisecond
	// maxLeaving is the number of leaving endpoints that a host remembers: more than those of a large deployment that leave in a day.
	maxLeaving = 16384
)

// Gate answers whether a host may send to an endpoint, by what the endpoint said to this host. It is asked before each send, of any kind.
type Gate struct {
	leaving map[ident.Instance]ident.Time // when the endpoint said so first
	resting map[ident.Instance]ident.Time // end of the rest
}

// NewGate returns a gate that allows all sends.
func NewGate() *Gate {
	return &Gate{leaving: map[ident.Instance]ident.Time{}, resting: map[ident.Instance]ident.Time{}}
}

// Note records what an answer said, and reports whether that is news. own is true for an answer to a request that this host sent itself: a rest
// binds only the host that was turned away. Of several rests the latest end counts.
func (g *Gate) Note(i ident.Instance, s Said, own bool, now ident.Time) bool {
	news := false
	if _, known := g.leaving[i]; s.Leaving && !known {
		g.forgetOldest()
		g.leaving[i] = now
		news = true
	}
	if s.Rest > 0 && own {
		end := now.Add(s.Rest + restMargin)
		if end > g.resting[i] {
			news = news || now >= g.resting[i]
			g.resting[i] = end
		}
	}
	return news
}

// forgetOldest makes room for one more leaving endpoint.
func (g *Gate) forgetOldest() {
	if len(g.leaving) < maxLeaving {
		return
	}
	var oldest ident.Instance
	for i, at := range g.leaving {
		if old, known := g.leaving[oldest]; !known || at < old {
			oldest = i
		}
	}
	delete(g.leaving, oldest)
}

// Leaving reports whether an endpoint has said that it leaves. Another instance under its id is another endpoint.
func (g *Gate) Leaving(i ident.Instance) bool {
	_, leaving := g.leaving[i]
	return leaving
}

// Rest returns how long an endpoint still wants nothing from this host.
func (g *Gate) Rest(i ident.Instance, now ident.Time) time.Duration {
	return max(0, g.resting[i].Sub(now))
}

// Forget drops rests that are over.
func (g *Gate) Forget(now ident.Time) {
	for i, end := range g.resting {
		if now >= end {
			delete(g.resting, i)
		}
	}
}

// Held is an endpoint that this host may not send to.
type Held struct {
	Instance ident.Instance
	Leaving  bool
	Rest     time.Duration // what is left of its rest
}

// List returns the endpoints that are held back.
func (g *Gate) List(now ident.Time) []Held {
	var list []Held
	for i := range g.leaving {
		list = append(list, Held{Instance: i, Leaving: true})
	}
	for i := range g.resting {
		if rest := g.Rest(i, now); rest > 0 {
			list = append(list, Held{Instance: i, Rest: rest})
		}
	}
	return list
}
