package world_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

func TestAdapterRunsOnItsBaseModel(t *testing.T) {
	cases := map[string]struct {
		base ident.Service
		want []ident.EndpointID // endpoints that requests may go to
	}{
		"no base model named":           {base: "", want: []ident.EndpointID{"g0000", "g0001", "g0002", "g0003"}},
		"one of two base models":        {base: "large", want: []ident.EndpointID{"g0002", "g0003"}},
		"no engine with the base model": {base: "other"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			st := state.New()
			for n := range 4 {
				e := sizes.Endpoint(n)
				if n >= 2 {
					e.Service = "large"
				}
				st.Apply(st.Applied+1, state.Command{Announce: &e})
				st.Apply(st.Applied+1, state.Command{Assign: &lease.Assign{Endpoint: e.ID, Owner: "e1"}})
			}
			for n := range 40 {
				e := sizes.Edit(n, 0)
				e.Row.Base = c.base
				st.Apply(st.Applied+1, state.Command{Edit: &e})
			}
			d, err := sizes.NewEntry(sizes.Size{Hosts: 2}, st)
			assert.NilError(t, err)
			var chosen []ident.EndpointID
			d.OnEffect = func(e world.Effect) {
				if e.Forward != nil {
					chosen = append(chosen, e.Forward.Endpoint)
				}
			}
			for n := range 40 {
				r := work.Request{
					ID: ident.RequestID{Host: "e0", Seq: uint64(n)}, Workspace: sizes.Workspace(n), Model: sizes.Model(n), TimeLeft: time.Minute,
				}
				d.Handle(world.Event{Arrive: &world.Arrive{Request: r, From: "e0"}})
			}
			assert.Equal(t, len(chosen) > 0, len(c.want) > 0)
			for _, id := range chosen {
				assert.Assert(t, slices.Contains(c.want, id), "a request was forwarded to %s", id)
			}
		})
	}
}
