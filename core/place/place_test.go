package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// newSite returns an engine's site with slots for n adapters.
func newSite(n int) *Site {
	e := lease.Endpoint{ID: "e1", Kind: lease.Engine, Slots: n, MaxRunning: 4}
	return NewSite(lease.Owned{Endpoint: e, Owner: "h1", Fence: 1}, Policy{}, 0, 0)
}

func model(name string) ident.Model { return ident.Model{Adapter: ident.Adapter(name), Version: "v1"} }

func item(seq uint64, name string, u work.Urgency) *Item {
	r := work.Request{ID: ident.RequestID{Host: "h1", Seq: seq}, Workspace: "w", Model: model(name), Urgency: u}
	return &Item{Request: r, Endpoint: "e1", Deadline: ident.Time(time.Minute)}
}

// A request cut by a restart ends late; the slot that holds its adapter since then keeps its own pins.
func TestEndUnpinsOnlyTheSlotOfItsStart(t *testing.T) {
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
	assert.Assert(t, !ok, "the adapter of a running request could be evicted")
}

func want(host, adapter string, waiting int) LoadRequest {
	return LoadRequest{Endpoint: ident.EndpointID("engine-of-" + host), Model: model(adapter), Waiting: waiting, Weight: float64(waiting), Urgency: work.Normal, Slack: time.Second}
}

// Whatever becomes of a grant, the next wish gets its turn: after the time to tells, well before GrantLife.
func TestGrantsThatAreLostGoBack(t *testing.T) {
	first := Grant{Endpoint: "engine-of-h1", Model: model("a")}
	cases := map[string]struct {
		act func(*Budget)
		at  time.Duration
	}{
		"unused":       {act: func(b *Budget) { b.Done(GrantEnd{Grant: first, Unused: true}, 0) }},
		"loaded":       {act: func(b *Budget) { b.Done(GrantEnd{Grant: first}, 0) }, at: time.Second},
		"failed":       {act: func(b *Budget) { b.Done(GrantEnd{Grant: first, Failed: true}, 0) }, at: time.Second},
		"grantee died": {act: func(b *Budget) { b.Forget("h1") }, at: time.Second},
		"never ended":  {act: func(*Budget) {}, at: GrantTTL + 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := &Budget{Rate: 1, InFlight: 1, tokens: 1}
			b.SetLoadRequests("h1", []LoadRequest{want("h1", "a", 5)})
			b.SetLoadRequests("h2", []LoadRequest{want("h2", "b", 1)})
			assert.Equal(t, b.GrantLoads(0)[0].Grant, first)
			assert.Equal(t, len(b.GrantLoads(0)), 0)
			c.act(b)
			got := b.GrantLoads(ident.Time(c.at))
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Host, ident.HostID("h2"))
		})
	}
}

// An adapter that fails to load everywhere takes a part of the budget that shrinks, and others go on.
func TestAFailingLoadDoesNotBlockOthers(t *testing.T) {
	b := &Budget{Rate: 10, InFlight: 1, tokens: 1}
	broken, sound := 0, 0
	for at := ident.Time(0); at < ident.Time(time.Minute); at = at.Add(100 * time.Millisecond) {
		b.SetLoadRequests("h1", []LoadRequest{want("h1", "broken", 50)})
		b.SetLoadRequests("h2", []LoadRequest{want("h2", "sound", 1)})
		for _, g := range b.GrantLoads(at) {
			failed := g.Model == model("broken")
			if failed {
				broken++
			} else {
				sound++
			}
			b.Done(GrantEnd{Grant: g.Grant, Failed: failed}, at)
		}
	}
	assert.Assert(t, broken <= 12, "%d of the loads went to the broken adapter", broken)
	assert.Assert(t, sound >= 500, "only %d loads for the sound adapter", sound)
}

// Under a stream of requests for the adapters that hold all slots, another workspace still gets its turn.
func TestNoAdapterStarvesForASlot(t *testing.T) {
	cases := map[string]struct {
		urgency work.Urgency
		within  time.Duration
	}{
		"urgent among bulk": {urgency: work.Urgent, within: 5 * time.Second},
		"bulk among bulk":   {urgency: work.Bulk, within: 40 * time.Second},
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
			t.Fatal("the adapter got no slot")
		})
	}
}
