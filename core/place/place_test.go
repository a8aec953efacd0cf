package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// newSite returns the state of an engine with n adapter slots.
func newSite(n int) *Site {
	e := lease.Endpoint{ID: "e1", Kind: lease.Engine, Slots: n, MaxRunning: 4}
	return NewSite(lease.Owned{Endpoint: e, Owner: "h1", Fence: 1}, Policy{}, 0, 0)
}

func model(name string) ident.Model { return ident.Model{Adapter: ident.Adapter(name), Version: "v1"} }

func item(seq uint64, name string, u work.Urgency) *Item {
	r := work.Request{ID: ident.RequestID{Host: "h1", Seq: seq}, Workspace: "w", Model: model(name), Urgency: u}
	return &Item{Request: r, Endpoint: "e1", Deadline: ident.Time(time.Minute)}
}

// A request that an engine restart cut off may end after the adapter was loaded into a new slot. Its end must not remove the pin
// of a request on the new slot.
func TestEndUnpinsOnlyItsOwnSlot(t *testing.T) {
	s := newSite(1)
	s.Slots[model("a")] = &Slot{Model: model("a")}
	cut, next := item(1, "a", work.Normal), item(2, "a", work.Normal)
	s.Add(cut)
	s.Start(cut, 1)
	s.Slots = map[ident.Model]*Slot{model("a"): {Model: model("a")}}
	s.Add(next)
	s.Start(next, 2)
	s.End(cut, 3)
	assert.Equal(t, s.Slots[model("a")].Pins, 1)
	_, ok := s.FindSlot(work.Normal, 4)
	assert.Assert(t, !ok, "FindSlot offers the adapter of a running request for eviction")
}

func loadRequest(host, adapter string, waiting int) LoadRequest {
	return LoadRequest{
		Endpoint: ident.EndpointID("engine-of-" + host),
		Model:    model(adapter),
		Waiting:  waiting,
		Weight:   float64(waiting),
		Urgency:  work.Normal,
		Slack:    time.Second,
	}
}

// However a load grant ends, the next load request is granted by the time given in each case.
func TestLoadBudgetIsFreedAfterGrantEnds(t *testing.T) {
	first := Grant{Endpoint: "engine-of-h1", Model: model("a")}
	cases := map[string]struct {
		end func(*Budget)
		now time.Duration
	}{
		"grant unused":        {end: func(b *Budget) { b.Done(GrantEnd{Grant: first, Unused: true}, 0) }},
		"load completed":      {end: func(b *Budget) { b.Done(GrantEnd{Grant: first}, 0) }, now: time.Second},
		"load failed":         {end: func(b *Budget) { b.Done(GrantEnd{Grant: first, Failed: true}, 0) }, now: time.Second},
		"host lost its lease": {end: func(b *Budget) { b.Forget("h1") }, now: time.Second},
		"end never reported":  {end: func(*Budget) {}, now: GrantTTL + 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Budget{Rate: 1, InFlight: 1, tokens: 1}
			b.SetLoadRequests("h1", []LoadRequest{loadRequest("h1", "a", 5)})
			b.SetLoadRequests("h2", []LoadRequest{loadRequest("h2", "b", 1)})
			assert.Equal(t, b.GrantLoads(0)[0].Grant, first)
			assert.Equal(t, len(b.GrantLoads(0)), 0)
			c.end(b)
			got := b.GrantLoads(ident.Time(c.now))
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Host, ident.HostID("h2"))
		})
	}
}

// Backoff limits the grants for an adapter whose loads always fail, so that other adapters are still loaded.
func TestFailingLoadDoesNotBlockOtherAdapters(t *testing.T) {
	b := &Budget{Rate: 10, InFlight: 1, tokens: 1}
	broken, healthy := 0, 0
	for now := ident.Time(0); now < ident.Time(time.Minute); now = now.Add(100 * time.Millisecond) {
		b.SetLoadRequests("h1", []LoadRequest{loadRequest("h1", "broken", 50)})
		b.SetLoadRequests("h2", []LoadRequest{loadRequest("h2", "healthy", 1)})
		for _, g := range b.GrantLoads(now) {
			failed := g.Model == model("broken")
			if failed {
				broken++
			} else {
				healthy++
			}
			b.Done(GrantEnd{Grant: g.Grant, Failed: failed}, now)
		}
	}
	assert.Assert(t, broken <= 12, "%d loads were granted to the broken adapter, more than 12", broken)
	assert.Assert(t, healthy >= 500, "only %d loads were granted to the healthy adapter, fewer than 500", healthy)
}

// A steady stream of requests for the only resident adapter must not keep a request for another adapter waiting forever.
func TestWaitingAdapterGetsSlot(t *testing.T) {
	cases := map[string]struct {
		urgency work.Urgency
		within  time.Duration
	}{
		"urgent request among bulk requests": {urgency: work.Urgent, within: 5 * time.Second},
		"bulk request among bulk requests":   {urgency: work.Bulk, within: 40 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(1)
			s.Policy = Policy{Turn: 30 * time.Second, HalfLife: time.Minute}
			s.Slots[model("hot")] = &Slot{Model: model("hot"), Bulk: true}
			var running *Item
			seq := uint64(1)
			cold := item(seq, "cold", c.urgency)
			cold.Workspace = "other"
			for now := ident.Time(0); now < ident.Time(c.within); now = now.Add(time.Second) {
				if running != nil {
					s.End(running, now)
				}
				seq++
				s.Add(item(seq, "hot", work.Bulk))
				if now == ident.Time(time.Second) {
					s.Add(cold)
				}
				s.UpdateClosedSlots(now)
				if evict, ok := s.FindSlot(c.urgency, now); ok && s.NeedsLoad(cold.Model) && evict != nil {
					return
				}
				if running = s.Next(func(*Item) bool { return true }); running != nil {
					s.Start(running, now)
				}
			}
			t.Fatal("the waiting adapter got no slot in time")
		})
	}
}
