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
	_, ok := s.Room(work.Normal, 4)
	assert.Assert(t, !ok, "the adapter of a running request could be evicted")
}
