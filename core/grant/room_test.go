package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
)

// Engines were ordered to load more adapters than their memory holds, and crashed of it, where the memory binds before the slots do.
func TestAdaptersFitTheMemory(t *testing.T) {
	cases := map[string]struct {
		adapterMB float64
		disturb   func(s *sim)
		served    float64 // share of all requests, at least
	}{
		"four adapters, as many as slots":           {adapterMB: 2.5, served: 0.95},
		"three adapters":                            {adapterMB: 3, served: 0.95},
		"one adapter":                               {adapterMB: 10, served: 0.7},
		"no adapter":                                {adapterMB: 11},
		"three adapters, a new authority":           {adapterMB: 3, disturb: (*sim).failover, served: 0.9},
		"three adapters, newer versions of all":     {adapterMB: 3, disturb: (*sim).renewAll, served: 0.9},
		"three adapters, orders that come too late": {adapterMB: 3, disturb: func(s *sim) { s.loseOrders = 0.3 }, served: 0.8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 6)
			s.setAdapterMB(c.adapterMB)
			s.advance(time.Second)
			s.traffic(12, 8*time.Second, func() string { return s.zipf(12, 1.2) })
			for range 3 {
				if c.disturb != nil {
					c.disturb(s)
				}
				s.traffic(14, 3*time.Second, func() string { return s.zipf(60, 0.6) })
				s.traffic(12, 3*time.Second, func() string { return s.zipf(12, 1.2) })
			}
			s.advance(6 * time.Second)
			s.check()
			assert.Assert(t, float64(s.served) >= c.served*float64(s.asked), "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
			if c.served == 0 {
				assert.Equal(t, s.causes[grant.TooLarge], s.asked, "%v", s.causes)
			}
		})
	}
}

// A newer version of the adapters of an engine that is full takes their place.
func TestNewerVersionsReplaceOlderOnesInFullMemory(t *testing.T) {
	s := newSim(t, 1)
	s.setAdapterMB(5)
	s.advance(time.Second)
	adapters := []string{"a1", "a2"}
	next := 0
	s.traffic(4, 3*time.Second, func() string { next++; return adapters[next%2] })
	s.renewAll()
	s.traffic(2, 6*time.Second, func() string { next++; return adapters[next%2] })
	s.advance(3 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*9/10, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
	for _, e := range s.engines {
		assert.Assert(t, len(e.adapters) > 0)
		for a, slot := range e.adapters {
			assert.Equal(t, slot.version, s.newest, "adapter %s", a)
		}
	}
}

// setAdapterMB gives the adapters of the layout a size.
func (s *sim) setAdapterMB(mb float64) {
	s.adapterMB = mb
	s.layout.Services[0].Engine.Models[0].AdapterMB = mb
	s.auth.SetLayout(s.layout)
}

// renewAll announces a newer version of the popular adapters.
func (s *sim) renewAll() {
	s.newest = max(s.newest, 1) + 1
	for n := range 12 {
		s.auth.SetNewest(book.Newest{Of: book.AdapterRef{Model: "base", Adapter: ident.Adapter(fmt.Sprint("a", n+1))}, Version: s.newest})
	}
}
