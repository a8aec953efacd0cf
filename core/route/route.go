// Package route chooses the endpoint for a request from what is known of residency and load.
package route

import (
	"hash/fnv"

	"shallotgap/core/ident"
)

// Candidate is an endpoint that could serve a request.
type Candidate struct {
	Endpoint ident.EndpointID
	Owner    ident.HostID
	// Resident, Loading and Waiting tell whether the adapter is there, being loaded, or waited for by others.
	Resident bool
	Loading  bool
	Waiting  bool
	Running  int
	Queued   int
	// Sent is the number of requests that this host sent there since the endpoint's last report.
	Sent       int
	MaxRunning int
}

// committed reports whether the endpoint has the adapter or will have it.
func (c Candidate) committed() bool { return c.Resident || c.Loading || c.Waiting }

// Cause names why an endpoint was chosen.
type Cause string

// The causes of a choice.
const (
	ByResident Cause = "resident"
	ByLoading  Cause = "loading"
	ByWaiting  Cause = "waited-for"
	ByHome     Cause = "home"
	BySecond   Cause = "second-home" // the home has much more to do
	ByCopy     Cause = "copy"        // all endpoints that have the adapter have much more to do
	ByLoad     Cause = "least-loaded"
	ByLimit    Cause = "limited" // one of the few homes of a row with limits
)

// Policy is the setting of the choice; loads are requests for each place in the batch.
type Policy struct {
	// Choices is the number of homes that an adapter may go to while no endpoint has it.
	Choices int
	// Lead is by how much the load of a home must exceed that of the next before the next is taken.
	Lead float64
	// CopyAt is the load at which a further endpoint gets the adapter, if its own load is under half of it.
	CopyAt float64
}

// Choose returns the endpoint for a model, and why; ok is false when there is none.
func Choose(m ident.Model, list []Candidate, p Policy) (best Candidate, cause Cause, ok bool) {
	best, ok = leastCommitted(list)
	homes := homesOf(m, list, p.Choices)
	if !ok {
		return chooseHome(homes, p)
	}
	if load(best) >= p.CopyAt {
		if c, found := LeastLoaded(homes); found && load(c) < load(best)/2 {
			return c, ByCopy, true
		}
	}
	return best, causeOf(best), true
}

func causeOf(c Candidate) Cause {
	switch {
	case c.Resident:
		return ByResident
	case c.Loading:
		return ByLoading
	}
	return ByWaiting
}

// leastCommitted returns the least loaded endpoint that has the adapter, or else that will have it.
func leastCommitted(list []Candidate) (best Candidate, ok bool) {
	for _, c := range list {
		if c.committed() && (!ok || betterCommitted(c, best)) {
			best, ok = c, true
		}
	}
	return best, ok
}

func betterCommitted(x, y Candidate) bool {
	if x.Resident != y.Resident {
		return x.Resident
	}
	return load(x) < load(y)
}

// chooseHome walks the homes in order and moves on only for a clear lead, so that hosts with slightly different
// reports choose alike.
func chooseHome(homes []Candidate, p Policy) (best Candidate, cause Cause, ok bool) {
	for i, c := range homes {
		if i == 0 {
			best, cause, ok = c, ByHome, true
			continue
		}
		if load(c)+p.Lead < load(best) {
			best, cause = c, BySecond
		}
	}
	return best, cause, ok
}

// homesOf returns the first n endpoints in the adapter's order that do not have it yet.
func homesOf(m ident.Model, list []Candidate, n int) []Candidate {
	homes := make([]Candidate, 0, n+1)
	scores := make([]uint64, 0, n+1)
	key := keyOf(string(m.Adapter))
	for _, c := range list {
		if c.committed() {
			continue
		}
		homes, scores = insert(homes, scores, c, mix(key^keyOf(string(c.Endpoint))), n)
	}
	return homes
}

// insert keeps the n items with the largest scores, largest first.
func insert[T any](homes []T, scores []uint64, c T, score uint64, n int) ([]T, []uint64) {
	at := len(homes)
	for at > 0 && scores[at-1] < score {
		at--
	}
	if at >= n {
		return homes, scores
	}
	homes = append(homes, c)
	scores = append(scores, 0)
	copy(homes[at+1:], homes[at:])
	copy(scores[at+1:], scores[at:])
	homes[at], scores[at] = c, score
	return homes[:min(len(homes), n)], scores[:min(len(scores), n)]
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
	return float64(c.Running+c.Queued+c.Sent) / float64(max(1, c.MaxRunning))
}

// keyOf hashes a name; the rendezvous score of an adapter on an endpoint mixes the hashes of both names.
func keyOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
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

// DefaultPolicy returns the policy that holds where the settings name none.
func DefaultPolicy() Policy { return Policy{Choices: 3, Lead: 0.5, CopyAt: 2} }
