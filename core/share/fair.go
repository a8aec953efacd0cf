// Package share divides capacity between workspaces: fair queueing by weight, the limits of table rows, and the retry budget of
// an entry host.
package share

import "shallotgap/core/ident"

// FairOrder implements start-time fair queueing between workspaces (Goyal, Vin, Cheng, SIGCOMM 1996). Requests of one workspace get
// start tags at distances of cost/weight; the waiting request with the lowest tag is served first.
type FairOrder struct {
	virtual float64                     // virtual time: the highest start tag that was served
	last    map[ident.Workspace]float64 // earliest start tag of each workspace's next request
}

// maxIdle is the number of tracked workspaces above which those without waiting requests are dropped.
const maxIdle = 1024

// Tag returns the start tag of a new request with the given cost in tokens.
func (f *FairOrder) Tag(w ident.Workspace, cost, weight float64) float64 {
	if f.last == nil {
		f.last = map[ident.Workspace]float64{}
	}
	start := max(f.virtual, f.last[w])
	f.last[w] = start + cost/weight
	if len(f.last) > maxIdle {
		f.forgetIdle()
	}
	return start
}

// Advance advances the virtual time to the tag of a request that starts.
func (f *FairOrder) Advance(tag float64) { f.virtual = max(f.virtual, tag) }

// forgetIdle drops the workspaces whose next tag would not exceed the virtual time; a new request of such a workspace gets the
// same tag without the entry.
func (f *FairOrder) forgetIdle() {
	for w, last := range f.last {
		if last <= f.virtual {
			delete(f.last, w)
		}
	}
}
