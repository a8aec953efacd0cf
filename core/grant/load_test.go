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

// With more popular and rare adapters than adapter slots, nearly all requests are served, most of them on time.
func TestManyAdaptersAreServed(t *testing.T) {
	s := newSim(t, 6)
	s.advance(time.Second)
	s.traffic(20, 20*time.Second, func() string { return s.zipf(300, 1.2) })
	s.advance(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*97/100, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
	assert.Assert(t, s.onTime >= s.asked*9/10, "%d of %d requests on time", s.onTime, s.asked)
}

// Engines that crash restart without a model. Under load they must get a model again; without load they stay empty, as a
// model load is expensive.
func TestEmptyEnginesGetAModel(t *testing.T) {
	cases := map[string]struct {
		perSecond float64
		loaded    bool
	}{
		"under load":   {perSecond: 12, loaded: true},
		"without load": {perSecond: 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3)
			s.advance(time.Second)
			s.crash("e0")
			s.crash("e1")
			s.addEngine("e3", false)
			s.addEngine("e4", false)
			adapter := func() string { return s.zipf(100, 1.2) }
			s.traffic(c.perSecond, 8*time.Second, adapter)
			for _, id := range []string{"e3", "e4"} {
				e := s.engines[ident.EndpointID(id)]
				assert.Equal(t, e.modelReadyAt != 0, c.loaded, "engine %s", id)
			}
			servedBefore, askedBefore := s.served, s.asked
			s.traffic(c.perSecond, 10*time.Second, adapter)
			s.advance(6 * time.Second)
			s.check()
			assert.Assert(t, s.served-servedBefore >= (s.asked-askedBefore)*9/10, "served %d of %d requests after the first 8 s", s.served-servedBefore, s.asked-askedBefore)
		})
	}
}

// A model that no engine holds is loaded for the first request that waits for it.
func TestMissingModelIsLoaded(t *testing.T) {
	s := newSim(t, 0)
	e := s.addEngine("e0", false)
	s.advance(time.Second)
	s.ask("a1", 0)
	s.advance(time.Second)
	assert.Assert(t, e.modelReadyAt != 0)
}

// Half of the orders get no answer and are carried out seconds later, after newer ones. Adapters must still be loaded, and no
// engine may be ordered to hold more adapters than it has slots.
func TestUnansweredOrdersAreSentAgain(t *testing.T) {
	s := newSim(t, 6)
	s.loseOrders = 0.5
	s.advance(time.Second)
	s.traffic(10, 20*time.Second, func() string { return s.zipf(200, 1.2) })
	s.advance(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*9/10, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
}

// Many requests for one adapter wait for a load that takes longer than expected. Few of them may be sent before the load completes.
func TestOneProbeAfterALoad(t *testing.T) {
	s := newSim(t, 6)
	s.loadTime = 400 * time.Millisecond
	s.advance(time.Second)
	for round := range 5 {
		for range 40 {
			s.ask(fmt.Sprintf("b%d", round), 0)
		}
		s.advance(3 * time.Second)
	}
	s.check()
	assert.Equal(t, s.served, s.asked, "rejections by cause %v", s.causes)
	assert.Assert(t, s.sentTooEarly <= 5*8, "%d requests were sent before the load completed", s.sentTooEarly)
}

// A newer version of an adapter replaces the older one where no request uses the older one, and no request is granted with the
// older version.
func TestNewerVersionsReplaceOlderOnes(t *testing.T) {
	s := newSim(t, 2)
	s.advance(time.Second)
	s.traffic(4, 3*time.Second, func() string { return "a1" })
	s.auth.SetNewest(book.Newest{Of: book.AdapterRef{Model: "base", Adapter: "a1"}, Version: 2})
	s.traffic(4, 5*time.Second, func() string { return "a1" })
	s.advance(3 * time.Second)
	s.check()
	assert.Equal(t, s.served, s.asked, "rejections by cause %v", s.causes)
	newer := 0
	for _, e := range s.engines {
		if slot := e.adapters["a1"]; slot != nil {
			assert.Equal(t, slot.version, book.WeightsVersion(2))
			newer++
		}
	}
	assert.Assert(t, newer > 0)
}

// A third of the engines fails at peak load. Loads and retries must stay bounded, and most requests must still be served.
func TestLosingAThirdOfTheEngines(t *testing.T) {
	s := newSim(t, 6)
	s.advance(time.Second)
	s.traffic(16, 8*time.Second, func() string { return s.zipf(200, 1.2) })
	s.crash("e0")
	s.crash("e1")
	servedBefore, askedBefore := s.served, s.asked
	s.traffic(16, 10*time.Second, func() string { return s.zipf(200, 1.2) })
	s.advance(6 * time.Second)
	s.check()
	assert.Assert(t, s.served-servedBefore >= (s.asked-askedBefore)*7/10, "served %d of %d, rejections by cause %v", s.served-servedBefore, s.asked-askedBefore, s.causes)
	assert.Equal(t, s.causes[grant.BudgetSpent], 0)
}

// BenchmarkStep measures Step at the size of the larger deployment: 140 engines, 515 requests a second.
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct{ engines, perSecond, adapters int }{{140, 515, 10_000}, {3000, 800, 50_000}} {
		b.Run(fmt.Sprintf("engines=%d", c.engines), func(b *testing.B) {
			s := newSim(b, c.engines)
			s.advance(2 * time.Second)
			adapters := make([]string, 8192)
			for i := range adapters {
				adapters[i] = s.zipf(c.adapters, 1.2)
			}
			b.ResetTimer()
			for i := range b.N {
				n := 0
				s.traffic(float64(c.perSecond), time.Second, func() string { n++; return adapters[(i*c.perSecond+n)%len(adapters)] })
			}
			b.ReportMetric(float64(s.served)/float64(s.asked), "served/asked")
		})
	}
}

// Load times are learned from rejected requests and early probes. Rejections with other causes, such as a newer version,
// must not change the estimate.
func TestLoadTimeIsLearned(t *testing.T) {
	cases := map[string]struct{ load, least, most time.Duration }{
		"faster than expected": {load: 120 * time.Millisecond, least: 90 * time.Millisecond, most: 200 * time.Millisecond},
		"slower than expected": {load: 450 * time.Millisecond, least: 400 * time.Millisecond, most: 520 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 8)
			s.loadTime = c.load
			s.advance(time.Second)
			for i := range 600 {
				s.ask(fmt.Sprintf("n%d", i), 0)
				s.ask(fmt.Sprintf("n%d", i), 0)
				if i%50 == 0 {
					s.auth.SetNewest(book.Newest{Of: book.AdapterRef{Model: "base", Adapter: ident.Adapter(fmt.Sprintf("n%d", max(0, i-1)))}, Version: 2})
				}
				s.advance(100 * time.Millisecond)
			}
			s.check()
			assert.Assert(t, s.auth.AdapterLoadTime >= c.least && s.auth.AdapterLoadTime <= c.most, "estimated load time %v", s.auth.AdapterLoadTime)
		})
	}
}

// The prefill rate is learned from requests that are prefilled alone.
func TestPrefillRateIsLearned(t *testing.T) {
	for name, rate := range map[string]float64{"slow engines": 12, "fast engines": 90} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 4)
			s.prefillRate = rate
			s.advance(time.Second)
			for i := range 200 {
				s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base"}, Prompt: 4000, Parts: []grant.Part{{ID: fmt.Sprint(i), Tokens: 4000}}})
				s.advance(time.Second)
			}
			assert.Assert(t, s.auth.PrefillRate > rate*0.8 && s.auth.PrefillRate < rate*1.2, "learned %.1f tokens per ms, actual rate %.1f", s.auth.PrefillRate, rate)
		})
	}
}

// With prompts of very different lengths, the time per token and the time per pair of tokens are learned separately.
func TestPairTimeIsLearned(t *testing.T) {
	cases := map[string]time.Duration{"no pair time": 0, "usual pair time": 1200 * time.Microsecond, "long pair time": 5 * time.Millisecond}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 4)
			s.prefillRate, s.pairTime = 38, each
			s.advance(time.Second)
			for i := range 200 {
				prompt := ident.Tokens(2000 + i%2*16_000)
				s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base"}, Prompt: prompt, Parts: []grant.Part{{ID: fmt.Sprint(i), Tokens: prompt}}})
				s.advance(2 * time.Second)
			}
			deviation := (s.auth.PairTime - each).Abs()
			assert.Assert(t, deviation < each/5+100*time.Microsecond, "learned pair time %v, actual %v", s.auth.PairTime, each)
			assert.Assert(t, s.auth.PrefillRate > 30 && s.auth.PrefillRate < 46, "learned %.1f tokens per ms, actual rate 38", s.auth.PrefillRate)
		})
	}
}

// The leader changes repeatedly at peak load. Adapters in use must stay loaded, and most requests must still be served.
func TestLeaderChanges(t *testing.T) {
	s := newSim(t, 4)
	s.advance(time.Second)
	for range 6 {
		s.traffic(12, 2500*time.Millisecond, func() string { return s.zipf(200, 1.2) })
		s.failover()
	}
	s.advance(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*85/100, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
}

// A new authority loads an adapter on an engine that held it before, as reported by entry hosts, because that is faster.
func TestNewAuthorityPrefersRecentHolders(t *testing.T) {
	for _, id := range []ident.EndpointID{"e0", "e2", "e3"} {
		t.Run(string(id), func(t *testing.T) {
			s := newSim(t, 4)
			s.advance(time.Second)
			ref := book.AdapterRef{Model: "base", Adapter: "a1"}
			s.auth.Remember(grant.Residency{Ref: ref, Instance: s.engines[id].entry.Instance})
			s.ask("a1", 0)
			s.advance(time.Second)
			assert.Assert(t, s.engines[id].adapters["a1"] != nil, "the adapter was loaded on another engine")
		})
	}
}

// A new authority grants requests by the adapters in heartbeats before any engine has reported, and requests few reports at once.
func TestGrantsBeforeReports(t *testing.T) {
	s := newSim(t, 120)
	s.advance(time.Second)
	for n := range 100 {
		s.ask(fmt.Sprintf("a%d", n), 0)
	}
	s.advance(4 * time.Second)
	s.noReports = true
	s.failover()
	servedBefore := s.served
	for n := range 100 {
		s.ask(fmt.Sprintf("a%d", n), 0)
	}
	e := s.auth.Step(s.now)
	assert.Assert(t, len(e.Reports) > 0 && len(e.Reports) <= 50, "%d reports requested at once, want 1 to 50", len(e.Reports))
	s.applyEffects(e)
	s.advance(2 * time.Second)
	s.check()
	assert.Assert(t, s.served-servedBefore >= 95, "served %d of 100, rejections by cause %v", s.served-servedBefore, s.causes)
}
