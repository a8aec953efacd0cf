package book_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

func TestApply(t *testing.T) {
	ref := book.AdapterRef{Model: "m", Adapter: "a1"}
	left := ident.Instance{ID: "p1", Born: 7}
	cases := map[string]struct {
		commands []book.Command
		changed  bool // whether the last command changed the state
		version  layout.Version
		newest   book.WeightsVersion
		departed census.State
	}{
		"a layout with a higher version": {
			commands: []book.Command{{Layout: &layout.Layout{Version: 2}}, {Layout: &layout.Layout{Version: 5}}},
			changed:  true,
			version:  5,
		},
		"a layout with a lower version": {
			commands: []book.Command{{Layout: &layout.Layout{Version: 5}}, {Layout: &layout.Layout{Version: 2}}},
			version:  5,
		},
		"a layout with the same version": {
			commands: []book.Command{{Layout: &layout.Layout{Version: 5}}, {Layout: &layout.Layout{Version: 5}}},
			version:  5,
		},
		"a newer version of an adapter": {
			commands: []book.Command{{Newest: &book.Newest{Of: ref, Version: 2}}, {Newest: &book.Newest{Of: ref, Version: 3}}},
			changed:  true,
			newest:   3,
		},
		"an older version of an adapter": {
			commands: []book.Command{{Newest: &book.Newest{Of: ref, Version: 3}}, {Newest: &book.Newest{Of: ref, Version: 2}}},
			newest:   3,
		},
		"a departure": {
			commands: []book.Command{{Departed: &census.Departure{Instance: left, State: census.Draining}}, {Departed: &census.Departure{Instance: left, State: census.Gone}}},
			changed:  true,
			departed: census.Gone,
		},
		"a departure that came late": {
			commands: []book.Command{{Departed: &census.Departure{Instance: left, State: census.Gone}}, {Departed: &census.Departure{Instance: left, State: census.Draining}}},
			departed: census.Gone,
		},
		"a command without effect": {commands: []book.Command{{}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := book.New()
			changed := false
			for _, x := range c.commands {
				changed = b.Apply(x)
			}
			data, err := b.Snapshot()
			assert.NilError(t, err)
			restored, err := book.Restore(data)
			assert.NilError(t, err)
			for _, b := range []*book.Book{b, restored} {
				assert.Equal(t, changed, c.changed)
				assert.Equal(t, b.Newest[ref], c.newest)
				assert.Equal(t, b.Departures.State(left), c.departed)
				if c.version > 0 {
					assert.Equal(t, b.Layout.Version, c.version)
				}
			}
			assert.Equal(t, restored.Changes, b.Changes)
		})
	}
}
