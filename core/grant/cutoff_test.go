package grant_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
)

// Engines whose heartbeats reach no host, while entry hosts reach the engines and the leader gets their reports, go on serving: adapters that
// they hold and others, under the same leader and the next one.
func TestEnginesWithoutHeartbeatsGoOnServing(t *testing.T) {
	for name, c := range map[string]struct {
		silent   int           // number of engines whose heartbeats stop, of six
		span     time.Duration // how long they stop
		failover bool          // the leader changes meanwhile
		rate     float64       // requests a second
	}{
		"all":                            {silent: 6, span: 40 * time.Second, rate: 10},
		"half":                           {silent: 3, span: 40 * time.Second, rate: 10},
		"all, with another leader":       {silent: 6, span: 40 * time.Second, rate: 10, failover: true},
		"all, for minutes":               {silent: 6, span: 4 * time.Minute, rate: 4},
		"all, with few requests":         {silent: 6, span: 40 * time.Second, rate: 0.5},
		"all, another leader, few asked": {silent: 6, span: 40 * time.Second, rate: 0.5, failover: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 6)
			s.advance(time.Second)
			adapter := func() string { return s.zipf(60, 1.2) }
			s.traffic(c.rate, 3*time.Second, adapter)
			for n := range c.silent {
				s.noHeartbeats[ident.EndpointID(fmt.Sprint("e", n))] = true
			}
			s.traffic(c.rate, c.span/2, adapter)
			if c.failover {
				s.failover()
			}
			s.traffic(c.rate, c.span/2, adapter)
			s.advance(6 * time.Second)
			s.check()
			assert.Assert(t, s.served >= s.asked*97/100, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
			for a, n := range s.unserved {
				assert.Check(t, n < 4, "adapter %s was asked for %d times since it was last served", a, n)
			}
		})
	}
}

// An engine that crashed is asked for reports a few times only, and gets no requests.
func TestCrashedEngineIsAskedForFewReports(t *testing.T) {
	s := newSim(t, 3)
	reports := 0
	s.onEffects = func(e grant.Effects) {
		for _, r := range e.Reports {
			if r.Instance.ID == "e0" {
				reports++
			}
		}
	}
	s.advance(2 * time.Second)
	s.crash("e0")
	reports = 0
	s.traffic(5, 2*time.Minute, func() string { return s.zipf(60, 1.2) })
	assert.Assert(t, reports <= 12, "%d reports were requested", reports)
	assert.Assert(t, s.served >= s.asked*97/100, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
}

// If one engine refuses a fencing token, orders to the other engines go on.
func TestOneRefusedFenceShutsNoOtherEngine(t *testing.T) {
	for name, c := range map[string]struct {
		refusals map[ident.EndpointID]int
		want     float64 // share of the requests for new adapters that must be served
	}{
		"none":                       {nil, 1},
		"one order of one engine":    {map[ident.EndpointID]int{"e2": 1}, 0.97},
		"each order of one engine":   {map[ident.EndpointID]int{"e2": 1000}, 0.97},
		"one order of each engine":   {map[ident.EndpointID]int{"e0": 1, "e1": 1, "e2": 1, "e3": 1, "e4": 1, "e5": 1}, 0.85},
		"three orders of one engine": {map[ident.EndpointID]int{"e2": 3}, 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 6)
			s.advance(time.Second)
			for e, n := range c.refusals {
				s.refuseFences[e] = n
			}
			for n := range 40 {
				s.ask(fmt.Sprint("new", n), 0)
				s.advance(100 * time.Millisecond)
			}
			s.advance(6 * time.Second)
			s.check()
			assert.Assert(t, float64(s.served) >= c.want*float64(s.asked), "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
		})
	}
}

// An engine that refused an order for its fence is used again once it accepts a higher one.
func TestEngineThatRefusedAFenceIsUsedAgain(t *testing.T) {
	s := newSim(t, 1)
	s.advance(time.Second)
	s.refuseFences["e0"] = 2
	for n := range 12 {
		s.ask(fmt.Sprint("new", n), 0)
		s.advance(time.Second)
	}
	s.advance(5 * time.Second)
	assert.Assert(t, s.served >= 8, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
}

// More adapters are requested than the store can load in a round of requests, but fewer than in all rounds. Callers come back some seconds after a rejection; no adapter that is asked for again
// and again is never served.
func TestNoRequestedAdapterStarves(t *testing.T) {
	s := newSim(t, 6)
	s.loadTime = 900 * time.Millisecond
	s.storeLoadLimit = 4
	s.advance(time.Second)
	const adapters, rounds = 60, 8
	served := map[ident.Adapter]bool{}
	s.onEffects = func(e grant.Effects) {
		for _, r := range e.Replies {
			if r.Reply.Place != nil {
				served[s.asks[r.Reply.ID].Ref.Adapter] = true
			}
		}
	}
	for range rounds {
		for n := range adapters {
			s.ask(fmt.Sprint("rare", n), 0)
			if n%2 == 0 { // the popular ones are asked for several times, so that they share loads
				for range 3 {
					s.ask(fmt.Sprint("rare", n), 0)
				}
			}
			s.advance(50 * time.Millisecond)
		}
	}
	s.advance(6 * time.Second)
	s.check()
	never := 0
	for n := range adapters {
		if !served[ident.Adapter(fmt.Sprint("rare", n))] {
			never++
		}
	}
	assert.Assert(t, never <= 1+adapters/100, "%d of %d adapters that were asked for %d times and more were never served; %d of %d requests were", never, adapters, rounds, s.served, s.asked)
}

// The log says which states shut engines and adapters, since when and why, in a bounded number of lines.
func TestLastingStatesAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		begin func(s *sim)
		want  string
	}{
		"engines in doubt": {func(s *sim) { s.noReports, s.loseOrders = true, 1 }, "in-doubt="},
		"a refused fence":  {func(s *sim) { s.refuseFences["e0"] = 1000 }, "fence-refused=1"},
		"engines silent":   {func(s *sim) { s.crash("e0") }, "silent=1"},
		"no engine":        {func(s *sim) { s.crash("e0"); s.crash("e1") }, "unserved="},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 2)
			s.advance(2 * time.Second)
			s.notes = nil
			s.traffic(5, 10*time.Second, func() string { return s.zipf(60, 1) })
			assert.Assert(t, !slices.ContainsFunc(s.notes, func(n grant.Note) bool { return n.Step == "shut" }), "nothing is shut yet")
			c.begin(s)
			s.notes = nil
			s.traffic(5, 15*time.Second, func() string { return s.zipf(60, 1) })
			lines, found := 0, false
			for _, n := range s.notes {
				if n.Step == "shut" {
					lines++
					found = found || strings.Contains(n.Inputs, c.want)
				}
			}
			assert.Assert(t, found, "no line has %q", c.want)
			assert.Assert(t, lines <= 15, "%d lines in 15 s", lines)
		})
	}
}

// Whatever shuts engines for a while, in series and at once, no adapter that is asked for again and again stays without a served request for long
// while an engine can be reached.
func TestNoAdapterStaysUnserved(t *testing.T) {
	const (
		seeds   = 40
		longest = 10 * time.Second // two states of shutAfter each, the load and a retry of the caller
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(t, 6)
			r := rand.New(rand.NewPCG(seed, 42))
			s.advance(time.Second)
			engine := func() ident.EndpointID {
				ids := slices.Sorted(maps.Keys(s.engines))
				return ids[r.IntN(len(ids))]
			}
			length := func() time.Duration { return time.Duration(500+r.IntN(7500)) * time.Millisecond }
			disturb := []func(){
				func() {
					for _, id := range []ident.EndpointID{engine(), engine(), engine()} {
						s.noHeartbeats[id] = true
						s.after(length(), func() { delete(s.noHeartbeats, id) })
					}
				},
				func() {
					for id := range s.engines {
						s.noHeartbeats[id] = true
					}
					s.after(length(), func() { clear(s.noHeartbeats) })
				},
				func() { s.loseOrders = 0.4; s.after(length(), func() { s.loseOrders = 0 }) },
				func() { s.noReports = true; s.after(length()/4, func() { s.noReports = false }) },
				func() { s.refuseFences[engine()] = 1 + r.IntN(4) },
				func() { s.failover() },
				func() {
					if len(s.engines) > 4 {
						s.crash(engine())
						s.addEngine(fmt.Sprint("new", s.now), true)
					}
				},
			}
			type asking struct {
				since ident.Time
				count int
			}
			asked := map[ident.Adapter]asking{}
			s.onEffects = func(e grant.Effects) {
				for _, reply := range e.Replies {
					if reply.Reply.Place != nil {
						delete(asked, s.asks[reply.Reply.ID].Ref.Adapter)
					}
				}
			}
			for s.now.Sub(ident.Time(time.Hour)) < 60*time.Second {
				if r.IntN(20) == 0 {
					disturb[r.IntN(len(disturb))]()
				}
				for range 4 {
					a := ident.Adapter(s.zipf(40, 1))
					if asked[a].count == 0 {
						asked[a] = asking{since: s.now}
					}
					asked[a] = asking{asked[a].since, asked[a].count + 1}
					s.ask(string(a), 0)
					s.advance(50 * time.Millisecond)
				}
				for a, w := range asked {
					if w.count >= 4 && s.now.Sub(w.since) > longest {
						t.Fatalf("adapter %s was asked for %d times in %v and never granted; rejections by cause %v", a, w.count, s.now.Sub(w.since), s.causes)
					}
				}
			}
			assert.Equal(t, s.overfilled, 0, "an engine was ordered to load more adapters than it has slots")
			assert.Equal(t, s.unloadsInUse, s.lateUnloadsInUse, "an engine was ordered to unload an adapter in use")
		})
	}
}
