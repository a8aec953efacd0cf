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

// Popular and rare adapters, more of them than all engines have places: nearly all requests are served, most in time.
func TestManyAdaptersAreServed(t *testing.T) {
	s := newSim(t, 6)
	s.run(time.Second)
	s.traffic(20, 20*time.Second, func() string { return s.zipf(300, 1.2) })
	s.run(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*97/100, "served %d of %d, refused %v", s.served, s.asked, s.causes)
	assert.Assert(t, s.onTime >= s.asked*9/10, "%d of %d in time", s.onTime, s.asked)
}

// Engines crash and come back empty: under load they get a model again and the places of all are used; without load they
// stay empty, as a load is dear.
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
			s.run(time.Second)
			s.crash("e0")
			s.crash("e1")
			s.addEngine("e3", false)
			s.addEngine("e4", false)
			adapter := func() string { return s.zipf(100, 1.2) }
			s.traffic(c.perSecond, 8*time.Second, adapter)
			for _, id := range []string{"e3", "e4"} {
				e := s.engines[ident.EndpointID(id)]
				assert.Equal(t, e.modelAt != 0, c.loaded, "engine %s", id)
			}
			before, asked := s.served, s.asked
			s.traffic(c.perSecond, 10*time.Second, adapter)
			s.run(6 * time.Second)
			s.check()
			assert.Assert(t, s.served-before >= (s.asked-asked)*9/10, "served %d of %d", s.served-before, s.asked-asked)
		})
	}
}

// A model that no engine holds is loaded for the first request that waits for it.
func TestMissingModelIsLoaded(t *testing.T) {
	s := newSim(t, 0)
	e := s.addEngine("e0", false)
	s.run(time.Second)
	s.ask("a1", 0)
	s.run(time.Second)
	assert.Assert(t, e.modelAt != 0)
}

// Half of the orders get no answer and are carried out seconds later, after newer ones: adapters still come, and no
// engine is ordered to hold too many.
func TestUnansweredOrdersAreSentAgain(t *testing.T) {
	s := newSim(t, 6)
	s.loseOrders = 0.5
	s.run(time.Second)
	s.traffic(10, 20*time.Second, func() string { return s.zipf(200, 1.2) })
	s.run(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*9/10, "served %d of %d, refused %v", s.served, s.asked, s.causes)
}

// Many requests for one adapter wait for its load, which takes longer than expected: few of them are sent too early.
func TestOneProbeAfterALoad(t *testing.T) {
	s := newSim(t, 6)
	s.load = 400 * time.Millisecond
	s.run(time.Second)
	for round := range 5 {
		for range 40 {
			s.ask(fmt.Sprintf("b%d", round), 0)
		}
		s.run(3 * time.Second)
	}
	s.check()
	assert.Equal(t, s.served, s.asked, "refused %v", s.causes)
	assert.Assert(t, s.bounced <= 5*8, "%d requests were sent too early", s.bounced)
}

// A newer version of an adapter replaces the older one where no request uses it, and no request starts on the older one.
func TestNewerVersionsReplaceOlderOnes(t *testing.T) {
	s := newSim(t, 2)
	s.run(time.Second)
	s.traffic(4, 3*time.Second, func() string { return "a1" })
	s.auth.SetNewest(book.Newest{Of: book.AdapterRef{Model: "base", Adapter: "a1"}, Version: 2})
	s.traffic(4, 5*time.Second, func() string { return "a1" })
	s.run(3 * time.Second)
	s.check()
	assert.Equal(t, s.served, s.asked, "refused %v", s.causes)
	newer := 0
	for _, e := range s.engines {
		if slot := e.adapters["a1"]; slot != nil {
			assert.Equal(t, slot.version, book.WeightsVersion(2))
			newer++
		}
	}
	assert.Assert(t, newer > 0)
}

// A third of the engines is lost at the peak: no storm of loads or sends follows, and service goes on in proportion.
func TestLosingAThirdOfTheEngines(t *testing.T) {
	s := newSim(t, 6)
	s.run(time.Second)
	s.traffic(16, 8*time.Second, func() string { return s.zipf(200, 1.2) })
	s.crash("e0")
	s.crash("e1")
	before, asked := s.served, s.asked
	s.traffic(16, 10*time.Second, func() string { return s.zipf(200, 1.2) })
	s.run(6 * time.Second)
	s.check()
	assert.Assert(t, s.served-before >= (s.asked-asked)*7/10, "served %d of %d, refused %v", s.served-before, s.asked-asked, s.causes)
	assert.Equal(t, s.causes[grant.BudgetSpent], 0)
}

// BenchmarkStep measures the decisions at the size of the larger deployment of today: 140 engines, 515 requests a second.
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct{ engines, perSecond, adapters int }{{140, 515, 10_000}, {3000, 800, 50_000}} {
		b.Run(fmt.Sprintf("engines=%d", c.engines), func(b *testing.B) {
			s := newSim(b, c.engines)
			s.run(2 * time.Second)
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

// The time of loads is learned from refusals and from loads that are tried early; refusals for other causes, such as a
// newer version, leave it alone.
func TestLoadTimeIsLearned(t *testing.T) {
	cases := map[string]struct{ load, least, most time.Duration }{
		"faster than expected": {load: 120 * time.Millisecond, least: 90 * time.Millisecond, most: 200 * time.Millisecond},
		"slower than expected": {load: 450 * time.Millisecond, least: 400 * time.Millisecond, most: 520 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 8)
			s.load = c.load
			s.run(time.Second)
			for i := range 600 {
				s.ask(fmt.Sprintf("n%d", i), 0)
				s.ask(fmt.Sprintf("n%d", i), 0)
				if i%50 == 0 {
					s.auth.SetNewest(book.Newest{Of: book.AdapterRef{Model: "base", Adapter: ident.Adapter(fmt.Sprintf("n%d", max(0, i-1)))}, Version: 2})
				}
				s.run(100 * time.Millisecond)
			}
			s.check()
			assert.Assert(t, s.auth.AdapterLoadTime >= c.least && s.auth.AdapterLoadTime <= c.most, "expects %v", s.auth.AdapterLoadTime)
		})
	}
}

// The speed at which engines read prompts is learned from requests that are read alone.
func TestReadingIsLearned(t *testing.T) {
	for name, rate := range map[string]float64{"slow engines": 12, "fast engines": 90} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 4)
			s.readRate = rate
			s.run(time.Second)
			for i := range 200 {
				s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base"}, Prompt: 4000, Parts: []grant.Part{{ID: fmt.Sprint(i), Tokens: 4000}}})
				s.run(time.Second)
			}
			assert.Assert(t, s.auth.PrefillRate > rate*0.8 && s.auth.PrefillRate < rate*1.2, "learned %.1f of %.1f tokens a ms", s.auth.PrefillRate, rate)
		})
	}
}

// Prompts of very different lengths: what each pair of tokens takes is told from what each token takes.
func TestReadingOfLongPromptsIsLearned(t *testing.T) {
	cases := map[string]time.Duration{"no time for pairs": 0, "as known": 1200 * time.Microsecond, "much": 5 * time.Millisecond}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 4)
			s.readRate, s.pairTime = 38, each
			s.run(time.Second)
			for i := range 200 {
				prompt := ident.Tokens(2000 + i%2*16_000)
				s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base"}, Prompt: prompt, Parts: []grant.Part{{ID: fmt.Sprint(i), Tokens: prompt}}})
				s.run(2 * time.Second)
			}
			off := (s.auth.PairTime - each).Abs()
			assert.Assert(t, off < each/5+100*time.Microsecond, "learned %v of %v", s.auth.PairTime, each)
			assert.Assert(t, s.auth.PrefillRate > 30 && s.auth.PrefillRate < 46, "learned %.1f of 38 tokens a ms", s.auth.PrefillRate)
		})
	}
}

// The authority moves to another host again and again at the peak: what runs keeps its adapters, and service goes on.
func TestAuthorityMoves(t *testing.T) {
	s := newSim(t, 4)
	s.run(time.Second)
	for range 6 {
		s.traffic(12, 2500*time.Millisecond, func() string { return s.zipf(200, 1.2) })
		s.failover()
	}
	s.run(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*85/100, "served %d of %d, refused %v", s.served, s.asked, s.causes)
}

// A new authority has an adapter loaded where entry hosts saw it before, as the engine brings it back faster.
func TestAuthorityRemembersEngines(t *testing.T) {
	for _, id := range []ident.EndpointID{"e0", "e2", "e3"} {
		t.Run(string(id), func(t *testing.T) {
			s := newSim(t, 4)
			s.run(time.Second)
			ref := book.AdapterRef{Model: "base", Adapter: "a1"}
			s.auth.Remember(grant.Residency{Ref: ref, Instance: s.engines[id].entry.Instance})
			s.ask("a1", 0)
			s.run(time.Second)
			assert.Assert(t, s.engines[id].adapters["a1"] != nil, "loaded elsewhere")
		})
	}
}

// A new authority serves what heartbeats list before any engine has given its report, and asks few engines at once.
func TestServingBeforeReports(t *testing.T) {
	s := newSim(t, 120)
	s.run(time.Second)
	for n := range 100 {
		s.ask(fmt.Sprintf("a%d", n), 0)
	}
	s.run(4 * time.Second)
	s.mute = true
	s.failover()
	before := s.served
	for n := range 100 {
		s.ask(fmt.Sprintf("a%d", n), 0)
	}
	e := s.auth.Step(s.now)
	assert.Assert(t, len(e.Reports) > 0 && len(e.Reports) <= 50, "%d engines asked at once", len(e.Reports))
	s.carryOut(e)
	s.run(2 * time.Second)
	s.check()
	assert.Assert(t, s.served-before >= 95, "served %d of 100, refused %v", s.served-before, s.causes)
}
