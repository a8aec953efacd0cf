package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/fakes/stand"
)

// limitedSim is a simulation in which engines have limits; sent holds the times of all sends to each of them, of every kind.
type limitedSim struct {
	*sim
	table *limit.Table
	sent  map[ident.EndpointID][]ident.Time
	kinds map[grant.SendKind]int
}

// newLimitedSim starts a simulation in which the first engines have the given limits.
func newLimitedSim(t *testing.T, engines int, rates ...limit.Rate) *limitedSim {
	t.Helper()
	s := &limitedSim{sim: newSim(t, engines), table: limit.NewTable(), sent: map[ident.EndpointID][]ident.Time{}, kinds: map[grant.SendKind]int{}}
	var c limit.Command
	for n, r := range rates {
		c.Set = append(c.Set, limit.Record{Instance: s.engines[ident.EndpointID(fmt.Sprint("e", n))].entry.Instance, Service: service, Rate: r})
	}
	s.table.Apply(c)
	s.auth.SetLimits(s.table, s.now)
	s.onEffects = s.record
	return s
}

func (s *limitedSim) record(e grant.Effects) {
	for _, x := range e.Sends {
		s.sent[x.Instance.ID] = append(s.sent[x.Instance.ID], s.now)
		s.kinds[x.Kind]++
	}
	for _, c := range e.Limits {
		s.table.Apply(c)
	}
}

// checkWindows checks that no engine got more than its limit in any window of 4 s.
func (s *limitedSim) checkWindows() {
	s.t.Helper()
	const span = 4 * time.Second
	for _, r := range s.table.List() {
		most := stand.MostInWindow(s.sent[r.Instance.ID], span)
		assert.Assert(s.t, float64(most) <= float64(r.Rate)*span.Seconds()+2, "%s got %d sends in 4 s", r.Instance.ID, most)
	}
}

// Engines with and without limits get more requests than they take, for many adapters, while leaders change and orders get lost.
// Every send counts, orders and reports too.
func TestLimitsHoldForEverySend(t *testing.T) {
	cases := map[string]struct {
		rates      []limit.Rate
		engines    int
		perSecond  float64
		adapters   int
		failovers  bool
		loseOrders float64
		used       bool // demand is above all limits together, so they are used
	}{
		"one of many":            {rates: []limit.Rate{1}, engines: 6, perSecond: 20, adapters: 12},
		"all":                    {rates: []limit.Rate{1, 2, 5}, engines: 3, perSecond: 30, adapters: 3, used: true},
		"more adapters":          {rates: []limit.Rate{4, 4}, engines: 3, perSecond: 20, adapters: 60},
		"changes of the leader":  {rates: []limit.Rate{2, 3}, engines: 2, perSecond: 30, adapters: 4, failovers: true},
		"orders without answers": {rates: []limit.Rate{3, 3}, engines: 3, perSecond: 20, adapters: 60, loseOrders: 0.2},
		"a high limit":           {rates: []limit.Rate{20, 30}, engines: 2, perSecond: 150, adapters: 2, used: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newLimitedSim(t, c.engines, c.rates...)
			s.loseOrders = c.loseOrders
			s.advance(time.Second)
			start := s.now
			for range 6 {
				s.traffic(c.perSecond, 5*time.Second, func() string { return s.zipf(c.adapters, 1) })
				if c.failovers {
					s.failover()
					s.auth.SetLimits(limit.Restore(s.table.Snapshot()), s.now)
				}
			}
			s.checkWindows()
			s.check()
			assert.Check(t, s.kinds[grant.FirstSend] > 0, "no request was sent, so nothing tells that a limit has ended")
			t.Log(s.kinds, "served", s.served, "rejected", s.causes)
			for _, r := range s.table.List() {
				got := float64(len(s.sent[r.Instance.ID]))
				if c.used {
					assert.Check(t, got >= 0.9*float64(r.Rate)*s.now.Sub(start).Seconds(), "%s got only %v", r.Instance.ID, got)
				}
			}
			if c.used {
				assert.Assert(t, s.causes[grant.Limited] > 0)
			}
		})
	}
}

// A request that can't be served in time is rejected in the step that finds out, with the time until its turn; less urgent ones go first.
func TestRejectionsUnderLimits(t *testing.T) {
	s := newLimitedSim(t, 1, 1)
	s.auth.ObserveLimit(limit.Seen{Instance: s.engines["e0"].entry.Instance, Rate: 1}, s.now)
	s.advance(3 * time.Second)
	for n := range 40 {
		s.ask("", n%2)
	}
	s.advance(20 * time.Millisecond)
	assert.Assert(t, s.causes[grant.Limited] >= 30, "%v", s.causes)
	s.advance(5 * time.Second)
	urgent := 0
	for id := range s.running {
		if s.asks[id].Priority == 0 {
			urgent++
		}
	}
	assert.Equal(t, urgent, len(s.running), "a less urgent request was served before an urgent one")
}

// A limited engine of many is sent a request now and then, though others are better, and used again once it names no limit.
func TestEndOfLimitIsNoticed(t *testing.T) {
	s := newLimitedSim(t, 4, 0)
	limited := s.engines["e0"]
	limited.entry.Domain = "far"
	s.auth.Observe(limited.entry, s.now)
	s.traffic(10, 30*time.Second, func() string { return "" })
	assert.Assert(t, len(s.sent["e0"]) >= 2, "an engine that takes nothing was probed %d times in 30 s", len(s.sent["e0"]))
	s.checkWindows()
	s.auth.ObserveLimit(limit.Seen{Instance: limited.entry.Instance, Ended: true}, s.now)
	s.advance(time.Second)
	assert.Equal(t, s.table.Len(), 0)
}

// permitReplies collects the replies to requests for permits.
type permitReplies map[grant.ID]grant.Reply

func TestPermits(t *testing.T) {
	now := ident.Time(time.Hour)
	endpoint := ident.Instance{ID: "p1", Born: 1}
	newAuthority := func() *grant.Authority {
		a := newSim(t, 1).auth
		table := limit.NewTable()
		table.Apply(limit.Command{Set: []limit.Record{{Instance: endpoint, Service: "pay", Rate: 2}}})
		a.SetLimits(table, now)
		return a
	}
	step := func(a *grant.Authority, at ident.Time, got permitReplies) {
		for _, r := range a.Step(at).Replies {
			got[r.Reply.ID] = r.Reply
		}
	}
	ask := func(id string, priority int, left time.Duration) grant.Ask {
		return grant.Ask{ID: grant.ID(id), Service: "pay", Priority: priority, Permit: []ident.Instance{endpoint}, Left: left}
	}
	t.Run("the urgent first, the rest at once or in their turn", func(t *testing.T) {
		a, got := newAuthority(), permitReplies{}
		at := now.Add(5 * time.Second)
		step(a, at, got)
		a.Ask(ask("late", 2, 300*time.Millisecond), at)
		a.Ask(ask("bulk", 2, 2*time.Second), at)
		for n := range 2 {
			a.Ask(ask(fmt.Sprint("urgent", n), 0, 600*time.Millisecond), at)
		}
		step(a, at, got)
		assert.Equal(t, len(got), 3, "%v", got)
		assert.Equal(t, got["urgent0"].Place.Instance, endpoint)
		assert.Equal(t, got["urgent1"].Place.Instance, endpoint) // from the credit for a late send
		assert.Equal(t, got["late"].Cause, grant.Limited)
		assert.Assert(t, got["late"].After > 400*time.Millisecond && got["late"].After < 2*time.Second, "%v", got["late"].After)
		step(a, at.Add(time.Second), got)
		assert.Equal(t, got["bulk"].Place.Instance, endpoint)
	})
	t.Run("a request that asks again gets the same permit", func(t *testing.T) {
		a, got := newAuthority(), permitReplies{}
		at := now.Add(5 * time.Second)
		sends := 0
		for range 5 {
			a.Ask(ask("x", 0, 0), at)
			e := a.Step(at)
			sends += len(e.Sends)
			for _, r := range e.Replies {
				got[r.Reply.ID] = r.Reply
			}
		}
		assert.Equal(t, sends, 1)
		assert.Equal(t, got["x"].Place.Instance, endpoint)
	})
	t.Run("an unused permit is given to another request", func(t *testing.T) {
		a, got := newAuthority(), permitReplies{}
		at := now.Add(5 * time.Second)
		for n := range 3 {
			a.Ask(ask(fmt.Sprint(n), 0, 0), at)
		}
		step(a, at, got)
		assert.Equal(t, got["2"].Cause, grant.Limited)
		a.End(grant.End{ID: "0", Outcome: grant.Cancelled}, at)
		a.Ask(ask("next", 0, 0), at)
		step(a, at, got)
		assert.Assert(t, got["next"].Place != nil)
	})
	t.Run("a new authority gives none before those of the earlier one have left", func(t *testing.T) {
		a, got := newAuthority(), permitReplies{}
		a.Ask(ask("x", 0, 400*time.Millisecond), now)
		step(a, now, got)
		assert.Equal(t, got["x"].Cause, grant.Limited)
	})
}

// Many rare adapters on few slots, with some engines limited. Loads must not eat up their limits, and requests must not be rejected for a
// limited engine while others may get room: the limited engines serve more than if they were absent.
func TestLimitedEnginesAreBetterThanNone(t *testing.T) {
	play := func(engines int, rates ...limit.Rate) int {
		s := newLimitedSim(t, engines, rates...)
		s.storeLoadLimit = 8
		s.advance(time.Second)
		s.traffic(43, 40*time.Second, func() string { return s.zipf(3000, 1) })
		s.advance(5 * time.Second)
		s.checkWindows()
		t.Logf("%d engines, limits %v: served %d of %d, rejected %v", engines, rates, s.served, s.asked, s.causes)
		return s.served
	}
	for name, rates := range map[string][]limit.Rate{"two of twelve": {1, 1.5}, "four of twelve": {1, 1.5, 1, 2}, "half": {1, 1.5, 1, 2, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			absent := play(12 - len(rates))
			assert.Assert(t, play(12, rates...) >= absent)
		})
	}
}

// A stream that breaks costs an inquiry at its engine, and a stream that goes on elsewhere is a send there. Both count against the limits:
// the next request to each engine waits for them.
func TestInquiriesAndResumedStreamsCount(t *testing.T) {
	s := newLimitedSim(t, 2, 1, 1)
	s.advance(5 * time.Second)
	start := s.now
	for range 3 {
		s.askWith(grant.Ask{Prompt: 100, Parts: []grant.Part{{ID: "unknown"}, {ID: "own"}}, Ref: book.AdapterRef{Model: "base"}})
		s.advance(10 * time.Millisecond)
		for id, r := range s.running {
			delete(s.running, id)
			s.auth.End(grant.End{ID: id, Outcome: grant.Failed, Broken: true}, s.now)
			s.askWith(grant.Ask{Prompt: 100, Ref: book.AdapterRef{Model: "base"}, Sends: 1, Avoid: []ident.EndpointID{r.Instance.ID}})
		}
		s.advance(10 * time.Millisecond)
	}
	s.traffic(20, 20*time.Second, func() string { return "" })
	t.Log(s.kinds, len(s.sent["e0"]), len(s.sent["e1"]))
	assert.Assert(t, s.kinds[grant.ProbeSend] > 0 && s.kinds[grant.RetrySend] > 0, "%v", s.kinds)
	s.checkWindows()
	for _, id := range []ident.EndpointID{"e0", "e1"} {
		assert.Check(t, float64(len(s.sent[id])) <= s.now.Sub(start).Seconds()+3, "%s got %d sends", id, len(s.sent[id]))
	}
}
