package grant

import (
	"slices"

	"shallotgap/core/book"
)

// holding finds the engines that hold an adapter, or held it lately, without a look at all engines.
type holding struct {
	at     map[book.AdapterRef][]*engine
	lately map[book.AdapterRef][]*engine
}

func newHolding() *holding {
	return &holding{at: map[book.AdapterRef][]*engine{}, lately: map[book.AdapterRef][]*engine{}}
}

// hold notes an adapter on the engine.
func (e *engine) hold(ref book.AdapterRef, s *slot) {
	if e.slots[ref] == nil {
		e.index.at[ref] = append(e.index.at[ref], e)
	}
	e.slots[ref] = s
}

// letGo notes that the engine holds an adapter no more.
func (e *engine) letGo(ref book.AdapterRef) {
	if e.slots[ref] != nil {
		e.index.at[ref] = without(e.index.at[ref], e)
		if len(e.index.at[ref]) == 0 {
			delete(e.index.at, ref)
		}
	}
	delete(e.slots, ref)
}

// remember notes that the engine loads an adapter faster than others.
func (e *engine) remember(ref book.AdapterRef) {
	e.dropped.add(ref)
	if !slices.Contains(e.index.lately[ref], e) {
		e.index.lately[ref] = append(e.index.lately[ref], e)
	}
}

// leave takes the engine out of the index.
func (e *engine) leave() {
	for ref := range e.slots {
		e.letGo(ref)
	}
	e.dropped.order = nil
}

// rememberers returns the engines that held an adapter lately.
func (h *holding) rememberers(ref book.AdapterRef) []*engine {
	list := slices.DeleteFunc(h.lately[ref], func(e *engine) bool { return !e.dropped.has(ref) })
	if len(list) == 0 {
		delete(h.lately, ref)
	} else {
		h.lately[ref] = list
	}
	return list
}

func without(list []*engine, e *engine) []*engine {
	return slices.DeleteFunc(list, func(x *engine) bool { return x == e })
}

// Bounds of the search for an engine.
const (
	// searchAll is the number of engines up to which all are looked at: the largest deployments measured so.
	searchAll = 240
	// searchSome is the number of others, besides those that hold the adapter or held it lately, that are looked at in
	// larger deployments: the best of 64 is among the best twentieth with a probability of 0.96.
	searchSome = 64
)

// candidates returns the engines to look at for an adapter.
//
// Load: thousands of engines, of which a request needs one that holds its adapter or any one with room for it.
func (t *Authority) candidates(ref book.AdapterRef) []*engine {
	all := t.inOrder()
	if len(all) <= searchAll {
		return all
	}
	list := append(t.part(t.index.at[ref]), t.index.rememberers(ref)...)
	list = append(list, t.part(all)...)
	t.cursor += searchSome
	return list
}

// part returns a part of a list, another one with each search.
func (t *Authority) part(all []*engine) []*engine {
	if len(all) <= searchSome {
		return slices.Clone(all)
	}
	list := make([]*engine, 0, 2*searchSome)
	for i := range searchSome {
		list = append(list, all[(t.cursor+i)%len(all)])
	}
	return list
}
