package grant

import (
	"time"

	"shallotgap/core/ident"
)

// budgetSlices is the number of steps in which the window slides.
const budgetSlices = 20

// Budget bounds the repeated sends for one service: a share of its requests and a constant, in any window.
type Budget struct {
	ratio  float64
	extra  int
	slice  time.Duration
	asks   [budgetSlices]int
	spent  [budgetSlices]int
	latest int64
}

// NewBudget returns a full budget: in any window, ratio of the requests and extra more may be sent again.
func NewBudget(ratio float64, extra int, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, slice: window / budgetSlices}
}

func (b *Budget) advance(now ident.Time) int {
	at := int64(now) / int64(b.slice)
	for i := max(b.latest+1, at-budgetSlices+1); i <= at; i++ {
		b.asks[i%budgetSlices], b.spent[i%budgetSlices] = 0, 0
	}
	b.latest = max(b.latest, at)
	return int(b.latest % budgetSlices)
}

// Asked counts a request.
func (b *Budget) Asked(now ident.Time) { b.asks[b.advance(now)]++ }

// Spend takes one repeated send out of the budget, and reports whether there was one.
func (b *Budget) Spend(now ident.Time) bool {
	at := b.advance(now)
	asks, spent := 0, 0
	for i := range b.asks {
		asks += b.asks[i]
		spent += b.spent[i]
	}
	if float64(spent+1) > b.ratio*float64(asks)+float64(b.extra) {
		return false
	}
	b.spent[at]++
	return true
}
