package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

// After many more edits than the log holds between two snapshots, all rows still exist and a resent edit is not applied
// again.
func TestStateSurvivesCompaction(t *testing.T) {
	const edits = 5000
	s := sizes.Size{Hosts: 2}
	d, err := sizes.NewLeader(s, sizes.State(s))
	assert.NilError(t, err)
	for n := range edits {
		e := sizes.Edit(n, 0)
		d.Handle(world.Event{Propose: &world.Proposal{Ticket: world.Ticket(n + 1), Command: state.Command{Edit: &e}}})
		d.Tick(time.Microsecond)
	}
	assert.Equal(t, d.World.State().Rows.Len(), edits)
	assert.Assert(t, d.LastSnapshot > 0, "no snapshot was taken")
	first := sizes.Edit(0, 0)
	d.Handle(world.Event{Propose: &world.Proposal{Ticket: edits + 1, Command: state.Command{Edit: &first}}})
	assert.Equal(t, d.World.State().Rows.Len(), edits)
}
