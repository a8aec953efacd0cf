package grant

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/book"
)

// orderStore finds the order in which the adapters that requests wait for will come from the store, most urgent first.
//
// Load: more adapters are asked for than the store can bring, as after a start, the loss of many engines or a change of
// the authority.
func (t *Authority) orderStore() {
	first := map[book.AdapterRef]time.Duration{}
	for _, w := range t.waiting {
		if len(t.index.at[w.ask.Ref]) > 0 {
			continue // it is there or on its way
		}
		if r, known := first[w.ask.Ref]; !known || w.rank < r {
			first[w.ask.Ref] = w.rank
		}
	}
	refs := make([]book.AdapterRef, 0, len(first))
	for ref := range first {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b book.AdapterRef) int {
		return cmp.Or(cmp.Compare(first[a], first[b]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(t.storeTurn)
	for i, ref := range refs {
		t.storeTurn[ref] = i
	}
	t.storeLength = len(refs)
}

// storeWait returns how long it will take until the store can begin to bring an adapter.
func (t *Authority) storeWait(ref book.AdapterRef) time.Duration {
	turn, known := t.storeTurn[ref]
	if !known {
		turn = t.storeLength // it comes last, as far as is known
	}
	return time.Duration(float64(turn+1) / t.knee() * float64(t.AdapterLoad))
}
