// Package share holds what divides capacity between workspaces: the fair order by weight, the limits of rows and the
// budget of retries.
package share

import "shallotgap/core/ident"

// FairOrder gives requests their place in the fair order between workspaces, by start-time fair queueing: a workspace's
// requests follow each other at distances of their cost over its weight (Goyal, Vin, Cheng, SIGCOMM 1996).
type FairOrder struct {
	virtual float64
	last    map[ident.Workspace]float64
}

// maxIdle bounds how many workspaces without waiting requests are remembered.
const maxIdle = 1024

// Tag returns the place of a request; lower ones go first.
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

// Advance moves the virtual time on to the place of a request that starts.
func (f *FairOrder) Advance(tag float64) { f.virtual = max(f.virtual, tag) }

// forgetIdle drops the workspaces whose place the virtual time has passed.
func (f *FairOrder) forgetIdle() {
	for w, last := range f.last {
		if last <= f.virtual {
			delete(f.last, w)
		}
	}
}
