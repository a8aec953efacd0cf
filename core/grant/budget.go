package grant

import (
	"time"

	"shallotgap/core/ident"
)

// windowSteps is the number of steps by which the window slides.
const windowSteps = 20

// countedSteps is the number of steps that overlap a window: one more than windowSteps, as the oldest step may overlap in part.
const countedSteps = windowSteps + 1

// Budget limits the retries for one service, in any window, to a share of its requests plus a constant.
type Budget struct {
	ratio      float64
	step       time.Duration
	requests   [countedSteps]int
	retries    [countedSteps]int // retries per step, including the oldest step, which the window may still overlap
	latestStep int64
	// Extra is the constant part of the limit. It may change, as where hosts share it.
	Extra int
	// WithoutExtra withholds the constant part while the retries allowed by an earlier authority are not known.
	WithoutExtra bool
}

// NewBudget returns a full budget: in any window, retries are limited to ratio times the requests, plus extra.
func NewBudget(ratio float64, extra int, window time.Duration) *Budget {
	return &Budget{ratio: ratio, Extra: extra, step: window / windowSteps}
}

// advanceTo clears the counts of the steps that began since the last call, and returns the index of the current step.
func (b *Budget) advanceTo(now ident.Time) int {
	step := int64(now) / int64(b.step)
	for i := max(b.latestStep+1, step-windowSteps); i <= step; i++ {
		b.requests[i%countedSteps], b.retries[i%countedSteps] = 0, 0
	}
	b.latestStep = max(b.latestStep, step)
	return int(b.latestStep % countedSteps)
}

// CountRequest counts the first send of a request.
func (b *Budget) CountRequest(now ident.Time) { b.requests[b.advanceTo(now)]++ }

// Spend takes one retry from the budget. It returns false when the budget is used up.
func (b *Budget) Spend(now ident.Time) bool {
	index := b.advanceTo(now)
	requests, retries := 0, 0
	for i := range b.requests {
		if i != (index+1)%countedSteps { // the oldest step counts for retries only, to stay below the limit
			requests += b.requests[i]
		}
		retries += b.retries[i]
	}
	extra := float64(b.Extra)
	if b.WithoutExtra {
		extra = 0
	}
	if float64(retries+1) > b.ratio*float64(requests)+extra {
		return false
	}
	b.retries[index]++
	return true
}

// Sends holds the first sends (Asked) and retries (Again) of a service per step of the window, latest step first.
type Sends struct {
	Asked []int `json:"asked"`
	Again []int `json:"again"`
}

// Count counts a send without checking the budget: a retry when again is true, otherwise the first send of a request.
func (b *Budget) Count(again bool, now ident.Time) {
	index := b.advanceTo(now)
	if again {
		b.retries[index]++
	} else {
		b.requests[index]++
	}
}

// Sends returns the counts of the current window.
func (b *Budget) Sends(now ident.Time) Sends {
	index := b.advanceTo(now)
	var s Sends
	for i := range countedSteps {
		k := (index - i + countedSteps) % countedSteps
		s.Asked, s.Again = append(s.Asked, b.requests[k]), append(s.Again, b.retries[k])
	}
	return s
}

// Merge adds the counts of another host.
func (b *Budget) Merge(s Sends, now ident.Time) {
	index := b.advanceTo(now)
	for i := range min(countedSteps, len(s.Asked), len(s.Again)) {
		k := (index - i + countedSteps) % countedSteps
		b.requests[k] += s.Asked[i]
		b.retries[k] += s.Again[i]
	}
}
