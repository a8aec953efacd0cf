package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

// With requests waiting from all workspaces, each is served by its weight, whoever came first and with how many.
func TestFairOrderFollowsWeights(t *testing.T) {
	cases := map[string]struct {
		weights map[ident.Workspace]float64
		want    map[ident.Workspace]int // served of the first 70
	}{
		"equal":    {weights: map[ident.Workspace]float64{"a": 1, "b": 1}, want: map[ident.Workspace]int{"a": 35, "b": 35}},
		"weighted": {weights: map[ident.Workspace]float64{"a": 4, "b": 2, "c": 1}, want: map[ident.Workspace]int{"a": 40, "b": 20, "c": 10}},
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
				assert.Assert(t, got[w] >= n-1 && got[w] <= n+1, "%s got %d, want %d", w, got[w], n)
			}
		})
	}
}

func TestBucketKeepsItsRate(t *testing.T) {
	b := Bucket{Rate: 2}
	taken := 0
	for at := range ident.Time(100) {
		if _, ok := b.Take(at * ident.Time(100*time.Millisecond)); ok {
			taken++
		}
	}
	assert.Assert(t, taken >= 20 && taken <= 22, "%d tokens in 10 s", taken)
	wait, ok := b.Take(ident.Time(9900 * time.Millisecond))
	assert.Assert(t, ok || wait > 0)
}

func TestPartsOfALimitStayWithinIt(t *testing.T) {
	for limit := uint32(1); limit < 200; limit++ {
		n := HomeCount(limit, 16)
		assert.Assert(t, n*EndpointLimit(limit, n) <= int(limit), "limit %d over %d", limit, n)
	}
}

func TestRetriesStayAPartOfTheLoad(t *testing.T) {
	var r RetryBudget
	done := 0
	for range 1000 {
		r.CountRequest()
		if r.Take() {
			done++
		}
	}
	assert.Assert(t, done <= 100+retryBurst, "%d retries for 1000 requests", done)
}
