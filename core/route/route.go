// Package route chooses the endpoint for a request from the reported residency and load of the endpoints.
package route

import (
	"hash/fnv"

	"shallotgap/core/ident"
)

// Candidate is an endpoint that could serve a request.
type Candidate struct {
	Endpoint ident.EndpointID
	Owner    ident.HostID
	// Resident, Loading and Waiting tell whether the adapter is resident, being loaded, or waited for by queued requests.
	Resident bool
	Loading  bool
	Waiting  bool
	Running  int
	Queued   int
	// Sent is the number of requests that this host has sent to the endpoint since the endpoint's last report.
	Sent       int
	MaxRunning int
}

// committed reports whether the adapter is resident on the endpoint or will be loaded there.
func (c Candidate) committed() bool { return c.Resident || c.Loading || c.Waiting }

// Cause is the reason for the choice of an endpoint.
type Cause string

// The causes of a choice. A home is one of the first endpoints in the adapter's rendezvous ranking.
const (
	ByResident  Cause = "resident"
	ByLoading   Cause = "loading"
	ByWaiting   Cause = "waited-for"
	ByHome      Cause = "home"
	BySecond    Cause = "second-home"  // a later home, whose load is lower by more than Lead
	ByCopy      Cause = "copy"         // a home without the adapter; the endpoints with the adapter have reached the load CopyAt
	ByLoad      Cause = "least-loaded" // the endpoint of a plain service with the lowest load
	ByLimit     Cause = "limited"      // one of the homes that share the limits of the row
	BySuspicion Cause = "suspected"    // the endpoint that runs all requests with a suspected content
)

// Policy holds the thresholds of the choice. Loads are in requests per place in the batch.
type Policy struct {
	// Choices is the number of homes to choose from for an adapter that no endpoint has or is going to load.
	Choices int
	// Lead is the difference in load above which a later home is preferred to an earlier one.
	Lead float64
	// CopyAt is the load of the endpoints with the adapter from which on the adapter is also loaded on a home without it, provided
	// that the load of that home is less than half as high.
	CopyAt float64
}

// Choose returns the endpoint for a model and the cause of the choice; ok is false when list is empty.
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

// causeOf returns the cause for the choice of a committed endpoint.
func causeOf(c Candidate) Cause {
	switch {
	case c.Resident:
		return ByResident
	case c.Loading:
		return ByLoading
	}
	return ByWaiting
}

// leastCommitted returns the least loaded endpoint on which the adapter is resident, or else the least loaded one that will
// load it.
func leastCommitted(list []Candidate) (best Candidate, ok bool) {
	for _, c := range list {
		if c.committed() && (!ok || prefersCommitted(c, best)) {
			best, ok = c, true
		}
	}
	return best, ok
}

// prefersCommitted reports whether x is preferred to y: resident adapters first, then the lower load.
func prefersCommitted(x, y Candidate) bool {
	if x.Resident != y.Resident {
		return x.Resident
	}
	return load(x) < load(y)
}

// chooseHome returns the first home, or a later one whose load is lower by more than Lead. The margin makes hosts with slightly
// different reports choose the same endpoint.
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

// homesOf returns the first n endpoints in the adapter's ranking that neither have the adapter nor are going to load it.
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

// insert inserts an element by score into the n elements with the highest scores and drops the element that no longer fits.
func insert[T any](homes []T, scores []uint64, c T, score uint64, n int) ([]T, []uint64) {
	pos := len(homes)
	for pos > 0 && scores[pos-1] < score {
		pos--
	}
	if pos >= n {
		return homes, scores
	}
	homes = append(homes, c)
	scores = append(scores, 0)
	copy(homes[pos+1:], homes[pos:])
	copy(scores[pos+1:], scores[pos:])
	homes[pos], scores[pos] = c, score
	return homes[:min(len(homes), n)], scores[:min(len(scores), n)]
}

// LeastLoaded returns the candidate with the lowest load; ok is false when list is empty.
func LeastLoaded(list []Candidate) (best Candidate, ok bool) {
	for _, c := range list {
		if !ok || load(c) < load(best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// load returns the requests at an endpoint, with those sent since its last report, per place in its batch.
func load(c Candidate) float64 {
	return float64(c.Running+c.Queued+c.Sent) / float64(max(1, c.MaxRunning))
}

// keyOf hashes a name. The rendezvous score of an adapter on an endpoint combines the hashes of both names.
func keyOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3. It spreads differences between names over the high bits, which decide comparisons.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// DefaultPolicy returns the policy for deployments whose settings name none.
func DefaultPolicy() Policy { return Policy{Choices: 3, Lead: 0.5, CopyAt: 2} }
