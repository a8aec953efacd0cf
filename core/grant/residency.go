package grant

import (
	"slices"

	"shallotgap/core/book"
)

// residencyIndex finds the engines that hold an adapter, or held it recently, without visiting all engines.
type residencyIndex struct {
	holders       map[book.AdapterRef][]*engine
	recentHolders map[book.AdapterRef][]*engine
}

func newResidencyIndex() *residencyIndex {
	return &residencyIndex{holders: map[book.AdapterRef][]*engine{}, recentHolders: map[book.AdapterRef][]*engine{}}
}

// hold records that the engine holds or loads an adapter.
func (e *engine) hold(ref book.AdapterRef, s *slot) {
	if e.slots[ref] == nil {
		e.residency.holders[ref] = append(e.residency.holders[ref], e)
	}
	e.slots[ref] = s
}

// release records that the engine no longer holds an adapter.
func (e *engine) release(ref book.AdapterRef) {
	if e.slots[ref] != nil {
		e.residency.holders[ref] = removeEngine(e.residency.holders[ref], e)
		if len(e.residency.holders[ref]) == 0 {
			delete(e.residency.holders, ref)
		}
	}
	delete(e.slots, ref)
}

// remember records that the engine held an adapter recently and would load it faster than other engines.
func (e *engine) remember(ref book.AdapterRef) {
	e.recentlyUnloaded.add(ref)
	if !slices.Contains(e.residency.recentHolders[ref], e) {
		e.residency.recentHolders[ref] = append(e.residency.recentHolders[ref], e)
	}
}

// removeFromIndex removes the engine, with all adapters that it holds or held, from the residency index.
func (e *engine) removeFromIndex() {
	for ref := range e.slots {
		e.release(ref)
	}
	e.recentlyUnloaded.oldestFirst = nil
}

// findRecentHolders returns the engines that held an adapter recently.
func (r *residencyIndex) findRecentHolders(ref book.AdapterRef) []*engine {
	list := slices.DeleteFunc(r.recentHolders[ref], func(e *engine) bool { return !e.recentlyUnloaded.has(ref) })
	if len(list) == 0 {
		delete(r.recentHolders, ref)
	} else {
		r.recentHolders[ref] = list
	}
	return list
}

func removeEngine(list []*engine, e *engine) []*engine {
	return slices.DeleteFunc(list, func(x *engine) bool { return x == e })
}

// Limits of the search for an engine.
const (
	// fullSearchEngines is the largest number of engines that are all searched; the reference deployments stay below it.
	fullSearchEngines = 240
	// sampledEngines is the number of engines sampled in larger deployments, besides the current and recent holders of the
	// adapter: the best of 64 is among the best twentieth with a probability of 0.96.
	sampledEngines = 64
)

// candidates returns the engines to consider for an adapter. With thousands of engines, a request needs a holder of its
// adapter or any engine with a free slot, so a sample is enough.
func (t *Authority) candidates(ref book.AdapterRef) []*engine {
	all := t.enginesByID()
	if len(all) <= fullSearchEngines {
		return all
	}
	list := append(t.sample(t.residency.holders[ref]), t.residency.findRecentHolders(ref)...)
	list = append(list, t.sample(all)...)
	t.searchCursor += sampledEngines
	return list
}

// sample returns up to sampledEngines engines of a list, starting at searchCursor.
func (t *Authority) sample(all []*engine) []*engine {
	if len(all) <= sampledEngines {
		return slices.Clone(all)
	}
	list := make([]*engine, 0, 2*sampledEngines)
	for i := range sampledEngines {
		list = append(list, all[(t.searchCursor+i)%len(all)])
	}
	return list
}
