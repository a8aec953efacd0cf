package grant

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// rankStoreQueue ranks the adapters that wait for a load from the store, most urgent first. It matters when more adapters are
// requested than the store can load, such as after a start, the loss of many engines or a change of the leader.
func (t *Authority) rankStoreQueue(now ident.Time) {
	lowestRank := map[book.AdapterRef]time.Duration{}
	for _, w := range t.waiting {
		if t.hasHolder(w.ask.Ref, now) {
			continue // the adapter is resident or being loaded
		}
		if r, known := lowestRank[w.ask.Ref]; !known || w.rank < r {
			lowestRank[w.ask.Ref] = w.rank
		}
	}
	refs := make([]book.AdapterRef, 0, len(lowestRank))
	for ref := range lowestRank {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b book.AdapterRef) int {
		return cmp.Or(cmp.Compare(lowestRank[a], lowestRank[b]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(t.storeRank)
	for i, ref := range refs {
		t.storeRank[ref] = i
	}
	t.storeQueueLength = len(refs)
}

// hasHolder reports whether an engine that can be sent requests holds or loads an adapter.
func (t *Authority) hasHolder(ref book.AdapterRef, now ident.Time) bool {
	return slices.ContainsFunc(t.residency.holders[ref], func(e *engine) bool {
		return e.usable(now, t.Params) && !e.failures.recentlyUnreachable("", now)
	})
}

// storeWait returns the expected time until the store can start to load an adapter.
func (t *Authority) storeWait(ref book.AdapterRef) time.Duration {
	rank, known := t.storeRank[ref]
	if !known {
		rank = t.storeQueueLength // not ranked yet: assume the end of the queue
	}
	return time.Duration(float64(rank+1) / float64(t.storeLoadLimit()) * float64(t.AdapterLoadTime))
}

// storeSaturated reports whether another load from the store would only slow down the running ones.
func (t *Authority) storeSaturated() bool {
	return t.storeLoads >= t.storeLoadLimit()
}

// storeLoadLimit returns the number of concurrent loads from the store above which each load takes longer.
func (t *Authority) storeLoadLimit() int {
	return max(minStoreLoadLimit, int(t.StoreLoadsPerEngine*float64(t.readyEngines)))
}

// minStoreLoadLimit is the lower limit of storeLoadLimit, for small deployments.
const minStoreLoadLimit = 8

// countStoreLoads recounts the running loads from the store.
func (t *Authority) countStoreLoads(now ident.Time) {
	t.activeStoreLoads = slices.DeleteFunc(t.activeStoreLoads, func(s *slot) bool {
		// A probe that was sent and not rejected within probeTimeout confirms the load.
		return s.confirmed || s.storeLoadUntil <= now || (s.probeID != "" && now.Sub(s.probeSentAt) >= probeTimeout)
	})
	t.storeLoads = len(t.activeStoreLoads)
}

// trackStoreLoad counts a load from the store as running until a request confirms it, at the latest until the given time.
func (t *Authority) trackStoreLoad(s *slot, until ident.Time) {
	s.storeLoadUntil = until
	if !slices.Contains(t.activeStoreLoads, s) {
		t.activeStoreLoads = append(t.activeStoreLoads, s)
		t.storeLoads = len(t.activeStoreLoads)
	}
}
