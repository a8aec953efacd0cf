package voter

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
)

// After an upgrade a host loaded adapters without regard to their size, until the next configuration: hosts of the version before store layouts
// without it.
func TestSizesOfStoredLayoutsAreReadAgain(t *testing.T) {
	stored := func(source string, adapterMB float64) *layout.Layout {
		return &layout.Layout{Version: 3, Source: []byte(source), Services: []layout.Service{{Name: "llm", Engine: &layout.Engine{RoomMB: 100, Models: []layout.Model{{Name: "base", Adapters: 9, WeightsMB: 90, AdapterMB: adapterMB}}}}}}
	}
	cases := map[string]struct {
		layout *layout.Layout
		want   float64
	}{
		"an earlier version's":              {layout: stored("text", 0), want: 3},
		"this version's":                    {layout: stored("text", 5), want: 5},
		"text that can't be read any more":  {layout: stored("bad", 0)},
		"without the text of the operators": {layout: stored("", 0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := newVoter(t, t.TempDir())
			v.DecodeLayout = func(source []byte) (*layout.Layout, error) {
				if string(source) == "bad" {
					return nil, errors.New("bad text")
				}
				return stored("text", 3), nil
			}
			sizeOf := func() float64 { return v.book.Layout.Services[0].Engine.Models[0].AdapterMB }
			data, err := wire.Marshal(book.Command{Layout: c.layout})
			assert.NilError(t, err)
			v.apply(quorum.Entry{Index: 1, Term: 1, Kind: quorum.Normal, Data: data})
			assert.Equal(t, sizeOf(), c.want)
			b := book.New()
			b.Layout = c.layout
			snapshot, err := b.Snapshot()
			assert.NilError(t, err)
			v.restore(quorum.Snapshot{Index: 2, Term: 1, Data: snapshot})
			assert.Equal(t, sizeOf(), c.want)
		})
	}
}
