// Package route chooses the endpoint for a request from what is known of residency and load.
package route

import (
	"hash/fnv"

	"shallotgap/core/ident"
)

// Candidate is an endpoint that could serve a request.
type Candidate struct {
	Endpoint   ident.EndpointID
	Owner      ident.HostID
	Resident   bool
	Loading    bool
	Running    int
	Queued     int
	MaxRunning int
}

// Cause names why an endpoint was chosen.
type Cause string

// The causes of a choice.
const (
	ByResident Cause = "resident"
	ByLoading  Cause = "loading"
	ByHome     Cause = "home"
	ByLoad     Cause = "least-loaded"
)

// Choose returns the best candidate for a model, and why; ok is false when there is none.
func Choose(m ident.Model, list []Candidate) (best Candidate, cause Cause, ok bool) {
	for _, c := range list {
		if !ok || better(m, c, best) {
			best, ok = c, true
		}
	}
	switch {
	case best.Resident:
		cause = ByResident
	case best.Loading:
		cause = ByLoading
	default:
		cause = ByHome
	}
	return best, cause, ok
}

func better(m ident.Model, x, y Candidate) bool {
	if x.Resident != y.Resident {
		return x.Resident
	}
	if x.Loading != y.Loading {
		return x.Loading
	}
	if x.Resident || x.Loading {
		return load(x) < load(y)
	}
	return score(m, x.Endpoint) > score(m, y.Endpoint)
}

// LeastLoaded returns the candidate with the fewest requests for its size.
func LeastLoaded(list []Candidate) (best Candidate, ok bool) {
	for _, c := range list {
		if !ok || load(c) < load(best) {
			best, ok = c, true
		}
	}
	return best, ok
}

func load(c Candidate) float64 {
	return float64(c.Running+c.Queued) / float64(max(1, c.MaxRunning))
}

// score is the rendezvous hash of an adapter on an endpoint; the largest is the adapter's home.
func score(m ident.Model, e ident.EndpointID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Adapter))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(e))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3, for an even spread of the high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
