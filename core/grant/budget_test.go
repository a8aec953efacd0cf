package grant_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
)

const (
	budgetRatio  = 0.2
	budgetExtra  = 8
	budgetWindow = time.Second
)

// sendLog keeps when requests were asked for and sent again, and checks every window.
type sendLog struct{ asked, again []ident.Time }

func within(list []ident.Time, from, to ident.Time) int {
	n := 0
	for _, at := range list {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

func (l sendLog) check(t *testing.T) {
	t.Helper()
	for _, end := range l.again {
		from := end.Add(-budgetWindow)
		allowed := budgetRatio*float64(within(l.asked, from, end)) + budgetExtra
		got := within(l.again, from, end)
		assert.Assert(t, float64(got) <= allowed, "%d repeated sends within the second up to %v, %.1f allowed", got, time.Duration(end), allowed)
	}
}

// Load: a share of all requests fails at once, and authorities follow each other within one window. Whatever they allow
// together keeps the budget in each window, and of what it allows little is left unused.
func TestBudgetHoldsOverAuthorities(t *testing.T) {
	cases := map[string]struct {
		each    time.Duration // time of an authority; 0 for one alone
		carried bool
	}{
		"one authority":          {},
		"another every 0.3 s":    {each: 300 * time.Millisecond, carried: true},
		"another every 1.5 s":    {each: 1500 * time.Millisecond, carried: true},
		"another after each ms":  {each: time.Millisecond, carried: true},
		"another every 0.73 s":   {each: 730 * time.Millisecond, carried: true},
		"and a quiet time first": {each: 900 * time.Millisecond, carried: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(5, 8))
			b := grant.NewBudget(budgetRatio, budgetExtra, budgetWindow)
			host := grant.NewBudget(budgetRatio, budgetExtra, budgetWindow) // counts only
			var log sendLog
			refused := 0
			since := ident.Time(0)
			for now := ident.Time(time.Hour); now < ident.Time(time.Hour+6*time.Second); now = now.Add(time.Millisecond) {
				if c.each > 0 && now.Sub(since) >= c.each {
					since = now
					b = grant.NewBudget(budgetRatio, budgetExtra, budgetWindow)
					b.Merge(host.Sends(now), now)
				}
				if r.IntN(5) == 0 {
					b.CountRequest(now)
					host.Count(false, now)
					log.asked = append(log.asked, now)
				}
				if r.IntN(8) == 0 {
					if !b.Spend(now) {
						refused++
						continue
					}
					host.Count(true, now)
					log.again = append(log.again, now)
				}
			}
			log.check(t)
			assert.Assert(t, refused > 0, "the load is too small to test the budget")
			assert.Assert(t, len(log.again) > 200, "%d sends of some 240 to 290 that the budget allows", len(log.again))
		})
	}
}

// An authority that does not know yet what was sent before it keeps to the share of the requests that it has seen.
func TestCarefulBudget(t *testing.T) {
	b := grant.NewBudget(budgetRatio, budgetExtra, budgetWindow)
	b.WithoutExtra = true
	now := ident.Time(time.Hour)
	assert.Assert(t, !b.Spend(now))
	for range 10 {
		b.CountRequest(now)
	}
	assert.Assert(t, b.Spend(now) && b.Spend(now) && !b.Spend(now))
	b.WithoutExtra = false
	assert.Assert(t, b.Spend(now))
}
