package grant

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Weights of the order in which waiting requests are looked at.
const (
	// classStep is the wait that makes up for one class of urgency: an eighth of the usual target of 1 s, after which
	// waiting begins to cost.
	classStep = 125 * time.Millisecond
	// sharedStep is what each further request for the same adapter is worth, up to sharedMost of them: one load serves
	// all of them.
	sharedStep = 60 * time.Millisecond
	sharedMost = 6
	// lateStep puts requests that can no longer be on time behind those that can, until most of the shortest deadlines,
	// 5 s, has passed.
	lateStep = 2 * time.Second
)

// queue returns the waiting asks that are due for a look, the most urgent first: those with the least time to spare, as
// long prompts have it, and those that share a load with others. Waiting makes up for everything else in the end, so that
// none is starved.
//
// Load: more adapters are asked for than the store can bring, as after a start or the loss of many engines.
func (t *Authority) queue(now ident.Time) []*waiter {
	list := make([]*waiter, 0, len(t.waiting))
	for _, w := range t.waiting {
		if now >= w.nextTry {
			w.rank = t.rank(w, now)
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since), cmp.Compare(a.ask.ID, b.ask.ID))
	})
	return list
}

// rank is lower for requests to be served first.
func (t *Authority) rank(w *waiter, now ident.Time) time.Duration {
	waited := now.Sub(w.since)
	r := time.Duration(w.ask.Priority)*classStep - waited
	r -= time.Duration(min(t.wants[w.ask.Ref]-1, sharedMost)) * sharedStep
	if w.ask.Target <= 0 {
		return r
	}
	spare := w.ask.Target - t.leastTime(w.ask) // when it came
	if waited > spare {
		return r + lateStep
	}
	return r + spare
}

// leastTime returns how long it takes at least from now to the first event of a request.
func (t *Authority) leastTime(a Ask) time.Duration {
	need := t.readTime(a.Prompt, a.Prompt) + firstOverhead
	if len(t.index.at[a.Ref]) == 0 && len(t.index.lately[a.Ref]) == 0 {
		need += t.AdapterLoadTime
	}
	return need
}
