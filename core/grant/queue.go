package grant

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Weights of the rank of a waiting request.
const (
	// priorityStep is the waiting time that offsets one priority class: an eighth of the usual target of 1 s, after which
	// waiting starts to cost.
	priorityStep = 125 * time.Millisecond
	// sharedLoadStep is the bonus for each further request for the same adapter, up to maxSharedLoad of them, as one load
	// serves all of them.
	sharedLoadStep = 60 * time.Millisecond
	maxSharedLoad  = 6
	// narrowStep ranks streams that may go on at a few engines only before others, which have more to choose from.
	narrowStep = time.Second
	// latePenalty ranks requests that will miss their target behind the rest until most of the shortest deadline, 5 s, has
	// passed.
	latePenalty = 2 * time.Second
	// maxUnserved limits the bonus of adapters that were rejected and not served since, which is the time since the first rejection. It
	// outweighs lateness and shared loads, so that none that is requested again and again loses each time.
	maxUnserved = latePenalty + maxSharedLoad*sharedLoadStep
)

// queue returns the waiting requests that are due, most urgent first. Requests with little time to spare, such as those with
// long prompts, and requests that share a load rank higher, as do those for adapters that were rejected lately. The waiting time
// outweighs all else in the end, so that no request starves while more adapters are requested than the store can load, such as
// after a start or the loss of many engines.
func (t *Authority) queue(now ident.Time) []*waiter {
	list := make([]*waiter, 0, len(t.waiting))
	for _, w := range t.waiting {
		if now >= w.nextReview {
			w.rank = t.rank(w, now)
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since), cmp.Compare(a.ask.ID, b.ask.ID))
	})
	return list
}

// rank returns the rank of a waiting request; the lowest rank is served first.
func (t *Authority) rank(w *waiter, now ident.Time) time.Duration {
	waited := now.Sub(w.since)
	r := time.Duration(w.ask.Priority)*priorityStep - waited
	r -= time.Duration(min(t.waitingByAdapter[w.ask.Ref]-1, maxSharedLoad)) * sharedLoadStep
	if t.isNarrow(w.ask) {
		r -= narrowStep
	}
	r -= min(t.shut.unservedFor(w.ask.Ref, now), maxUnserved)
	if w.ask.Target <= 0 {
		return r
	}
	spare := w.ask.Target - t.minFirstEventTime(w.ask) // time to spare on arrival
	if waited > spare {
		return r + latePenalty
	}
	return r + spare
}

// minFirstEventTime returns the shortest time from now to the first event of a request.
func (t *Authority) minFirstEventTime(a Ask) time.Duration {
	shortest := t.prefillTime(a.Prompt, a.Prompt) + firstOverhead
	if len(t.residency.holders[a.Ref]) == 0 && len(t.residency.recentHolders[a.Ref]) == 0 {
		shortest += t.AdapterLoadTime
	}
	return shortest
}
