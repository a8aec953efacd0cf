// Package share divides capacity between workspaces: fair queueing by weight, the limits of table rows, and the retry budget of
// an entry host.
package share

import "shallotgap/core/ident"

// FairOrder implements start-time fair queueing between workspaces (Goyal, Vin, Cheng, SIGCOMM 1996). Requests of one workspace get
// start tags that lie cost/weight apart; the waiting request with the lowest tag is served first.
type FairOrder struct {
	virtual float64                     // virtual time: the highest start tag that was served
	nextTag map[ident.Workspace]float64 // earliest start tag of each workspace's next request
}

// maxIdle is the number of tracked workspaces above which those without waiting requests are dropped.
const maxIdle = 1024

// Tag returns the start tag of a new request with the given cost in tokens.
func (f *FairOrder) Tag(w ident.Workspace, cost, weight float64) float64 {
	if f.nextTag == nil {
		f.nextTag = map[ident.Workspace]float64{}
	}
	start := max(f.virtual, f.nextTag[w])
	f.nextTag[w] = start + cost/weight
	if len(f.nextTag) > maxIdle {
		f.forgetIdle()
	}
	return start
}

// Advance advances the virtual time to the tag of a request that starts.
func (f *FairOrder) Advance(tag float64) { f.virtual = max(f.virtual, tag) }

// forgetIdle drops the entries that do not exceed the virtual time. A new request of such a workspace gets the virtual time as
// its tag, with or without the entry.
func (f *FairOrder) forgetIdle() {
	for w, nextTag := range f.nextTag {
		if nextTag <= f.virtual {
			delete(f.nextTag, w)
		}
	}
}
