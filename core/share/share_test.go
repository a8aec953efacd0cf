package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

// Workspaces with waiting requests are served in proportion to their weights, whichever queued its requests first.
func TestFairOrderFollowsWeights(t *testing.T) {
	cases := map[string]struct {
		weights map[ident.Workspace]float64
		want    map[ident.Workspace]int // requests among the first 70 served
	}{
		"equal": {weights: map[ident.Workspace]float64{"a": 1, "b": 1}, want: map[ident.Workspace]int{"a": 35, "b": 35}},
		"weighted": {
			weights: map[ident.Workspace]float64{"a": 4, "b": 2, "c": 1},
			want:    map[ident.Workspace]int{"a": 40, "b": 20, "c": 10},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f FairOrder
			waiting := map[ident.Workspace][]float64{}
			for w, weight := range c.weights {
				for range 100 {
					waiting[w] = append(waiting[w], f.Tag(w, 16, weight))
				}
			}
			got := map[ident.Workspace]int{}
			for range 70 {
				next := ident.Workspace("")
				for w, list := range waiting {
					if next == "" || list[0] < waiting[next][0] || (list[0] == waiting[next][0] && w < next) {
						next = w
					}
				}
				f.Advance(waiting[next][0])
				waiting[next] = waiting[next][1:]
				got[next]++
			}
			for w, n := range c.want {
				assert.Assert(t, got[w] >= n-1 && got[w] <= n+1, "workspace %s was served %d requests, want %d", w, got[w], n)
			}
		})
	}
}

func TestBucketLimitsRate(t *testing.T) {
	b := Bucket{Rate: 2}
	taken := 0
	for tick := range ident.Time(100) {
		if _, ok := b.Take(tick * ident.Time(100*time.Millisecond)); ok {
			taken++
		}
	}
	assert.Assert(t, taken >= 20 && taken <= 22, "%d tokens taken in 10 s at 2 per second", taken)
	wait, ok := b.Take(ident.Time(9900 * time.Millisecond))
	assert.Assert(t, ok || wait > 0)
}

func TestEndpointLimitsAddUpToAtMostTheLimit(t *testing.T) {
	for limit := uint32(1); limit < 200; limit++ {
		n := HomeCount(limit, 16)
		assert.Assert(t, n*EndpointLimit(limit, n) <= int(limit), "the parts of limit %d for %d endpoints exceed the limit in total", limit, n)
	}
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	var r RetryBudget
	retries := 0
	for range 1000 {
		r.CountRequest()
		if r.Take() {
			retries++
		}
	}
	assert.Assert(t, retries <= 100+retryBurst, "%d retries for 1000 requests, want at most a tenth and the burst", retries)
}
