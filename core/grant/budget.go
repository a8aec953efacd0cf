package grant

import (
	"time"

	"shallotgap/core/ident"
)

// budgetSlices is the number of steps in which the window slides.
const budgetSlices = 20

// steps are those that a window touches.
const steps = budgetSlices + 1

// Budget bounds the repeated sends for one service: a share of its requests and a constant, in any window.
type Budget struct {
	ratio  float64
	extra  int
	slice  time.Duration
	asks   [steps]int
	spent  [steps]int // the oldest step may have a part within the window
	latest int64
	// WithoutExtra is true while what others spent before is not known yet: then the constant part is not used.
	WithoutExtra bool
}

// NewBudget returns a full budget: in any window, ratio of the requests and extra more may be sent again.
func NewBudget(ratio float64, extra int, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, slice: window / budgetSlices}
}

func (b *Budget) advance(now ident.Time) int {
	at := int64(now) / int64(b.slice)
	for i := max(b.latest+1, at-budgetSlices); i <= at; i++ {
		b.asks[i%steps], b.spent[i%steps] = 0, 0
	}
	b.latest = max(b.latest, at)
	return int(b.latest % steps)
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now ident.Time) { b.asks[b.advance(now)]++ }

// Spend takes one repeated send out of the budget, and reports whether there was one.
func (b *Budget) Spend(now ident.Time) bool {
	at := b.advance(now)
	asks, spent := 0, 0
	for i := range b.asks {
		if i != (at+1)%steps { // the oldest
			asks += b.asks[i]
		}
		spent += b.spent[i]
	}
	extra := float64(b.extra)
	if b.WithoutExtra {
		extra = 0
	}
	if float64(spent+1) > b.ratio*float64(asks)+extra {
		return false
	}
	b.spent[at]++
	return true
}

// Sends are the requests for a service and the repeated sends among them, in each step of the window, the latest first.
type Sends struct {
	Asked []int `json:"asked"`
	Again []int `json:"again"`
}

// Count counts a send, a repeated one or the first of its request, whether or not the budget allows it.
func (b *Budget) Count(again bool, now ident.Time) {
	at := b.advance(now)
	if again {
		b.spent[at]++
	} else {
		b.asks[at]++
	}
}

// Sends returns what was counted within the window.
func (b *Budget) Sends(now ident.Time) Sends {
	at := b.advance(now)
	var s Sends
	for i := range steps {
		k := (at - i + steps) % steps
		s.Asked, s.Again = append(s.Asked, b.asks[k]), append(s.Again, b.spent[k])
	}
	return s
}

// Merge adds what another host counted.
func (b *Budget) Merge(s Sends, now ident.Time) {
	at := b.advance(now)
	for i := range min(steps, len(s.Asked), len(s.Again)) {
		k := (at - i + steps) % steps
		b.asks[k] += s.Asked[i]
		b.spent[k] += s.Again[i]
	}
}
