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

// sendLog records the times of first sends and retries.
type sendLog struct{ asked, retried []ident.Time }

func countBetween(list []ident.Time, from, to ident.Time) int {
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
	for _, end := range l.retried {
		from := end.Add(-budgetWindow)
		allowed := budgetRatio*float64(countBetween(l.asked, from, end)) + budgetExtra
		got := countBetween(l.retried, from, end)
		assert.Assert(t, float64(got) <= allowed, "%d retries in the second before %v, %.1f allowed", got, time.Duration(end), allowed)
	}
}

// Guards against a retry budget that starts anew with each authority: a share of all requests fails at once and the leader
// changes within one window. The limit must hold in every window, and most of the allowed retries must be granted.
func TestBudgetHoldsAcrossAuthorities(t *testing.T) {
	cases := map[string]struct {
		each    time.Duration // lifetime of an authority; 0 for a single authority
		carried bool
	}{
		"one authority":              {},
		"new authority every 0.3 s":  {each: 300 * time.Millisecond, carried: true},
		"new authority every 1.5 s":  {each: 1500 * time.Millisecond, carried: true},
		"new authority every 1 ms":   {each: time.Millisecond, carried: true},
		"new authority every 0.73 s": {each: 730 * time.Millisecond, carried: true},
		"new authority every 0.9 s":  {each: 900 * time.Millisecond, carried: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(5, 8))
			b := grant.NewBudget(budgetRatio, budgetExtra, budgetWindow)
			host := grant.NewBudget(budgetRatio, budgetExtra, budgetWindow) // only counts sends, as an entry host does
			var log sendLog
			rejected := 0
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
						rejected++
						continue
					}
					host.Count(true, now)
					log.retried = append(log.retried, now)
				}
			}
			log.check(t)
			assert.Assert(t, rejected > 0, "the traffic does not exhaust the budget")
			assert.Assert(t, len(log.retried) > 200, "%d retries, want more than 200 of the 240 to 290 that the budget allows", len(log.retried))
		})
	}
}

// With WithoutExtra, retries are limited to a share of the requests that the new authority itself has counted.
func TestBudgetWithoutExtra(t *testing.T) {
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
