package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

// After failed inspections an engine is inspected again once per second, not at the rate of its errors.
func TestFailedInspectionsAreRateLimited(t *testing.T) {
	s := sizes.Size{Hosts: 2, Endpoints: 1}
	d, err := sizes.NewEntry(s, sizes.State(s))
	assert.NilError(t, err)
	e, _ := d.World.State().Owners.Get(sizes.Endpoint(0).ID)
	inspections := 0
	d.OnEffect = func(x world.Effect) {
		if x.Inspect != nil {
			inspections++
		}
	}
	const seconds = 3
	for range seconds {
		for range 50 {
			d.Handle(world.Event{Inspected: &world.Inspected{Endpoint: e.ID, Fence: e.Fence, Err: "connection refused"}})
		}
		d.RunSecond(s, 20*time.Millisecond)
	}
	assert.Assert(t, inspections >= seconds-1 && inspections <= seconds+1, "%d inspections in %d s", inspections, seconds)
}
