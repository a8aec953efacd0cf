package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/io/link"
)

// A message between hosts that decodes must not end the entry host that gets it.
func FuzzMessage(f *testing.F) {
	for _, m := range []link.Message{
		{Status: &link.Status{Leads: true, Layout: 9, Control: []ident.HostID{""}}},
		{Change: &layout.Change{To: 3, Routes: []layout.Route{{Name: "r", Shares: []layout.Share{{Weight: -1}}}}}},
		{Change: &layout.Change{From: 2, To: 3, Removed: []string{"x"}}},
		{Census: []census.Entry{{Instance: ident.Instance{ID: "i", Born: 1<<64 - 1}, Slots: -1}}},
		{Endpoints: &link.Endpoints{Settled: true, List: []census.Entry{{}}}},
		{Limits: &link.Limits{Rank: -1, Hosts: -1}},
		{Relays: &link.Relays{}},
		{Answer: &link.Answer{ID: 1}},
	} {
		e, err := link.Encode(m)
		assert.NilError(f, err)
		f.Add(e.For(link.Hello{}))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := link.Decode(data)
		if err != nil {
			return
		}
		h, _ := newFront(t)
		h.LinkUp(link.Hello{Host: "c1", Control: true})
		for _, from := range []link.Hello{{Host: "c1", Control: true}, {Host: "f2"}} {
			h.Receive(from, m)
			h.tick()
			if route, ok := h.router.Load().Match("h", "/"); ok {
				_ = route.Service("key")
			}
		}
	})
}
