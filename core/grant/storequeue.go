package grant

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
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
	return time.Duration(float64(turn+1) / float64(t.knee()) * float64(t.AdapterLoadTime))
}

// storeBusy reports whether another load from the store would only slow all of them.
func (t *Authority) storeBusy() bool {
	return t.fetching >= t.knee()
}

// knee is the number of loads at once above which all of them take longer.
func (t *Authority) knee() int { return max(minKnee, int(t.StoreLoadsPerEngine*float64(t.ready))) }

// minKnee is the knee of small deployments.
const minKnee = 8

// countLoads counts the loads from the store under way.
func (t *Authority) countLoads(now ident.Time) {
	t.underWay = slices.DeleteFunc(t.underWay, func(s *slot) bool {
		// A request that was sent there and not refused at once is the proof.
		return s.proved || s.fetchedBy <= now || (s.probe != "" && now.Sub(s.probeAt) >= probeWait)
	})
	t.fetching = len(t.underWay)
}

// fetch counts a load from the store as under way until a request has proved it, and not for longer than the given time.
func (t *Authority) fetch(s *slot, until ident.Time) {
	s.fetchedBy = until
	if !slices.Contains(t.underWay, s) {
		t.underWay = append(t.underWay, s)
		t.fetching = len(t.underWay)
	}
}
