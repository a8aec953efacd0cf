package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
)

func instance(id string, born int) ident.Instance {
	return ident.Instance{ID: ident.EndpointID(id), Born: ident.Incarnation(born)}
}

func holds(i ident.Instance, adapters ...ident.Adapter) grant.Residence {
	r := grant.Residence{Instance: i}
	if len(adapters) > 0 {
		r.Held = map[string][]ident.Adapter{"base": adapters}
	}
	return r
}

// Load: no authority answers. An entry host sends to an engine that holds the adapter, within its part of the engine.
func TestHoldersChoose(t *testing.T) {
	g1, g2, again := instance("g1", 1), instance("g2", 1), instance("g1", 2)
	cases := map[string]struct {
		told [][]grant.Residence
		room map[ident.Instance]int
		want ident.Instance
	}{
		"held by one":           {told: [][]grant.Residence{{holds(g1, "a"), holds(g2, "b")}}, room: map[ident.Instance]int{g1: 1, g2: 3}, want: g1},
		"most room":             {told: [][]grant.Residence{{holds(g1, "a"), holds(g2, "a")}}, room: map[ident.Instance]int{g1: 1, g2: 3}, want: g2},
		"equal room":            {told: [][]grant.Residence{{holds(g2, "a"), holds(g1, "a")}}, room: map[ident.Instance]int{g1: 2, g2: 2}, want: g1},
		"no room":               {told: [][]grant.Residence{{holds(g1, "a")}}},
		"dropped since":         {told: [][]grant.Residence{{holds(g1, "a", "b")}, {holds(g1, "b")}}, room: map[ident.Instance]int{g1: 1}},
		"gone":                  {told: [][]grant.Residence{{holds(g1, "a")}, {holds(g1)}}, room: map[ident.Instance]int{g1: 1}},
		"told twice":            {told: [][]grant.Residence{{holds(g1, "a")}, {holds(g1, "a")}, {holds(g1)}}, room: map[ident.Instance]int{g1: 1}},
		"restarted":             {told: [][]grant.Residence{{holds(g1, "a")}, {holds(again, "a")}}, room: map[ident.Instance]int{g1: 4, again: 1}, want: again},
		"never told of adapter": {told: [][]grant.Residence{{holds(g1, "b")}}, room: map[ident.Instance]int{g1: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := grant.NewHolders()
			for _, list := range c.told {
				h.Take(list)
			}
			got, ok := h.Choose(book.AdapterRef{Model: "base", Adapter: "a"}, func(i ident.Instance) int { return c.room[i] })
			assert.Equal(t, ok, c.want != ident.Instance{})
			assert.Equal(t, got, c.want)
		})
	}
}

// What the authority tells follows the engines: whoever listens for a while knows where each adapter is, and quiet engines
// are told seldom.
func TestResidencesFollowTheEngines(t *testing.T) {
	s := newSim(t, 12)
	s.run(time.Second)
	s.traffic(40, 3*time.Second, func() string { return s.zipf(60, 1.2) })
	s.run(4 * time.Second)
	first, late := grant.NewHolders(), grant.NewHolders()
	told := 0
	for turn := range 25 {
		list := s.auth.Residences(s.now)
		first.Take(list)
		if turn >= 10 {
			late.Take(list)
			told += len(list)
		}
		s.run(time.Second / 10)
	}
	any := func(ident.Instance) int { return 1 }
	found := 0
	for id, e := range s.engines {
		for a := range e.adapters {
			ref := book.AdapterRef{Model: "base", Adapter: a}
			only := func(i ident.Instance) int {
				if i.ID == id {
					return 1
				}
				return 0
			}
			for name, h := range map[string]*grant.Holders{"from the start": first, "later": late} {
				_, ok := h.Choose(ref, only)
				assert.Assert(t, ok, "one who listens %s does not know that %s holds %s", name, id, a)
			}
			found++
		}
	}
	assert.Assert(t, found > 12, "%d adapters held", found)
	_, ok := first.Choose(book.AdapterRef{Model: "base", Adapter: "never"}, any)
	assert.Assert(t, !ok)
	// Each engine is told in one turn of ten.
	assert.Assert(t, told <= 15*2, "%d engines told in 15 turns without a change", told)
}
