package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

// A new owner requests no load before it has inspected the engine: otherwise its first load order would not rest on the
// actual residency and could evict the wrong adapter.
func TestNoLoadBeforeFirstInspection(t *testing.T) {
	cases := map[string]struct {
		inspected bool
		want      int // number of wanted loads sent to the leader
	}{
		"before inspection": {inspected: false, want: 0},
		"after inspection":  {inspected: true, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := sizes.Size{Hosts: 2, Endpoints: 1, Adapters: 1}
			d, err := sizes.NewEntry(s, sizes.State(s))
			assert.NilError(t, err)
			e, _ := d.World.State().Owners.Get(sizes.Endpoint(0).ID)
			if c.inspected {
				d.Handle(world.Event{Inspected: &world.Inspected{Endpoint: e.ID, Fence: e.Fence, Instance: e.Instance}})
			}
			var wants []place.LoadRequest
			d.OnEffect = func(x world.Effect) {
				if x.Send != nil && x.Send.Message.Wants != nil {
					wants = x.Send.Message.Wants.List
				}
			}
			r := work.Request{
				ID: ident.RequestID{Host: "e0", Seq: 1}, Workspace: sizes.Workspace(0), Model: sizes.Model(0),
				TimeLeft: time.Minute, Urgency: work.Normal,
			}
			d.Handle(world.Event{Arrive: &world.Arrive{Request: r, From: "e0"}})
			d.RunSecond(s, 20*time.Millisecond)
			assert.Equal(t, len(wants), c.want)
		})
	}
}
