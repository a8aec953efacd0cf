package limit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/fakes/stand"
)

func ExamplePacer() {
	now := ident.Time(0)
	p := limit.NewPacer(2, now)
	sent := 0
	for ; now < ident.Time(4*time.Second); now = now.Add(time.Millisecond) {
		if p.Wait(now) == 0 {
			p.Take(now)
			sent++
		}
	}
	fmt.Println(sent)
	// Output: 7
}

const window = 4 * time.Second

// Demand comes and goes, and the endpoint names other limits. No window may hold more than the highest limit within it, plus two.
func TestPacerKeepsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 300).Draw(t, "rate")
		now := ident.Time(time.Hour)
		p := limit.NewPacer(limit.Rate(rate), now)
		var sent []ident.Time
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300_000).Draw(t, "us")) * time.Microsecond)
			for range rapid.IntRange(0, 40).Draw(t, "demand") {
				if p.Wait(now) > 0 {
					break
				}
				p.Take(now)
				sent = append(sent, now)
			}
		}
		if most := stand.MostInWindow(sent, window); float64(most) > rate*window.Seconds()+2 {
			t.Fatalf("%d sends within %v at a rate of %v", most, window, rate)
		}
	})
}

func TestPacerUsesTheRate(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 1.5, 20, 200} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			now := ident.Time(time.Hour)
			p := limit.NewPacer(limit.Rate(rate), now)
			const span = 100 * time.Second
			sent := 0
			for end := now.Add(span); now < end; now = now.Add(10 * time.Millisecond) { // the interval of decisions
				for p.Wait(now) == 0 {
					p.Take(now)
					sent++
				}
			}
			assert.Assert(t, float64(sent) >= 0.9*rate*span.Seconds(), "sent %d", sent)
		})
	}
}

func TestLowerRateCountsAtOnce(t *testing.T) {
	now := ident.Time(time.Hour)
	p := limit.NewPacer(100, now)
	now = now.Add(time.Second)
	p.Take(now)
	p.SetRate(1, now)
	assert.Assert(t, p.Wait(now.Add(900*time.Millisecond)) == 0 || p.Wait(now) <= 1100*time.Millisecond)
	sent := 0
	for end := now.Add(window); now < end; now = now.Add(time.Millisecond) {
		if p.Wait(now) == 0 {
			p.Take(now)
			sent++
		}
	}
	assert.Assert(t, sent <= 6, "sent %d", sent)
}

// Without a leader, hosts do not talk to each other. Their shares together keep the limit, and it is used.
func TestSharesOfAllHostsKeepTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 7, 90} {
		for _, rate := range []float64{0.5, 1, 8, 60} {
			t.Run(fmt.Sprintf("%d hosts at %v", hosts, rate), func(t *testing.T) {
				now := ident.Time(time.Hour)
				var shares []*limit.Pacer
				for rank := range hosts {
					shares = append(shares, limit.NewShare(limit.Rate(rate), rank, hosts, now))
				}
				var sent []ident.Time
				const span = 200 * time.Second
				for end := now.Add(span); now < end; now = now.Add(time.Millisecond) {
					for _, p := range shares {
						if p.Wait(now) == 0 {
							p.Take(now)
							sent = append(sent, now)
						}
					}
				}
				assert.Assert(t, float64(stand.MostInWindow(sent, window)) <= rate*window.Seconds()+2)
				assert.Assert(t, float64(len(sent)) >= 0.9*rate*span.Seconds()-2, "sent %d", len(sent))
			})
		}
	}
}
