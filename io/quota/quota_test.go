package quota_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotgap/io/quota"
)

func ExamplePool_Open() {
	p := quota.New(quota.Config{Limit: 100})
	large, small := p.Open(func() { fmt.Println("large is evicted") }), p.Open(func() {})
	fmt.Println(large.Hold(80), small.Hold(10))
	fmt.Println(small.Hold(30))
	fmt.Println(errors.Is(large.Hold(81), quota.ErrEvicted), p.Used())
	// Output:
	// <nil> <nil>
	// large is evicted
	// <nil>
	// true 30
}

func TestHold(t *testing.T) {
	cases := map[string]struct {
		limit   quota.Bytes
		sizes   []quota.Bytes
		evicted int // index of the lease that is evicted; -1 for none
	}{
		"all fit":               {limit: 100, sizes: []quota.Bytes{50, 50}, evicted: -1},
		"the first is largest":  {limit: 100, sizes: []quota.Bytes{60, 50}},
		"the last is largest":   {limit: 100, sizes: []quota.Bytes{20, 90}, evicted: 1},
		"one is over the limit": {limit: 100, sizes: []quota.Bytes{101}},
		"no limit":              {sizes: []quota.Bytes{1 << 40, 1 << 40}, evicted: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			evicted := -1
			p := quota.New(quota.Config{Limit: c.limit})
			for i, n := range c.sizes {
				err := p.Open(func() { evicted = i }).Hold(n)
				assert.Equal(t, err != nil, evicted == i)
			}
			assert.Equal(t, evicted, c.evicted)
		})
	}
}

// However leases grow, shrink and close, they never hold more than the limit, and give all back.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := quota.New(quota.Config{Limit: 1000})
		leases := make([]*quota.Lease, 8)
		for i := range leases {
			leases[i] = p.Open(func() {})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
			if rapid.Bool().Draw(t, "close") {
				l.Close()
			} else {
				_ = l.Hold(quota.Bytes(rapid.IntRange(0, 1200).Draw(t, "size")))
			}
			assert.Assert(t, p.Used() >= 0 && p.Used() <= 1000, "%d", p.Used())
		}
		for _, l := range leases {
			l.Close()
		}
		assert.Equal(t, p.Used(), quota.Bytes(0))
	})
}
