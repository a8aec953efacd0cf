package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

// newLeader returns a host that leads a system of two hosts, both with a lease, and without endpoints.
func newLeader(t *testing.T) *sizes.Driver {
	t.Helper()
	s := sizes.Size{Hosts: 2}
	d, err := sizes.NewLeader(s, sizes.State(s))
	assert.NilError(t, err)
	return d
}

func ownerOf(d *sizes.Driver, id ident.EndpointID) ident.HostID {
	e, _ := d.World.State().Owners.Get(id)
	return e.Owner
}

func TestAnnouncedEndpointGetsOwner(t *testing.T) {
	e := sizes.Endpoint(1)
	returned := e
	returned.Instance++
	depart := state.Command{Depart: &state.Depart{Endpoint: e.ID, Instance: e.Instance}}
	cases := map[string][]world.Event{
		"first announcement":          {{Announced: &e}},
		"removed and announced again": {{Announced: &e}, {Propose: &world.Proposal{Ticket: 1, Command: depart}}, {Announced: &returned}},
		"restarted without removal":   {{Announced: &e}, {Announced: &returned}},
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			d := newLeader(t)
			for _, event := range events {
				d.Handle(event)
				for range 20 {
					d.Tick(20 * time.Millisecond)
					d.ReceiveRenewal(1, d.World.State().Applied)
				}
			}
			assert.Assert(t, ownerOf(d, e.ID) != "")
		})
	}
}
