package census_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// A foreign sender uses the id or address of an endpoint in heartbeats for a service that is not configured. Such heartbeats must
// have no effect, whether they arrive before or after the services are known.
func TestEndpointsOfUnknownServices(t *testing.T) {
	foreign := func(id string, born uint64) census.Entry {
		e := entry(id, born, 1<<40, "x", census.Ready)
		e.Service = "none"
		return e
	}
	leaving := entry("a", 5, 9, "x", census.Draining)
	own := entry("a", 5, 8, "x", census.Ready)
	cases := map[string]struct {
		before, after []census.Entry // heartbeats before and after the services are known
		effect        census.Effect  // effect of the last heartbeat
		state         census.State
	}{
		"same id": {
			before: []census.Entry{own},
			after:  []census.Entry{foreign("a", 9)},
			effect: census.UnknownService,
			state:  census.Ready,
		},
		"same id and incarnation": {
			before: []census.Entry{own},
			after:  []census.Entry{foreign("a", 5)},
			effect: census.UnknownService,
			state:  census.Ready,
		},
		"same address": {
			before: []census.Entry{own},
			after:  []census.Entry{foreign("b", 9)},
			effect: census.UnknownService,
			state:  census.Ready,
		},
		"same address, before the services are known": {
			before: []census.Entry{own, foreign("b", 9)},
			after:  []census.Entry{entry("a", 5, 9, "x", census.Ready)},
			effect: census.Unchanged,
			state:  census.Ready,
		},
		"same address, before the endpoint itself": {
			before: []census.Entry{foreign("b", 9)},
			after:  []census.Entry{own},
			effect: census.Changed,
			state:  census.Ready,
		},
		"same id, before the services are known": {
			before: []census.Entry{own, foreign("a", 9)},
			after:  []census.Entry{entry("a", 5, 9, "x", census.Ready)},
			effect: census.Changed,
			state:  census.Ready,
		},
		"a draining heartbeat follows": {
			before: []census.Entry{own},
			after:  []census.Entry{foreign("a", 9), leaving},
			effect: census.Changed,
			state:  census.Draining,
		},
		"a later incarnation at the address": {
			before: []census.Entry{own, entry("c", 7, 1, "x", census.Ready)},
			after:  []census.Entry{entry("a", 5, 9, "x", census.Ready)},
			effect: census.Stale,
			state:  census.Gone,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := census.New(time.Minute)
			table.AwaitServices = true
			for _, e := range c.before {
				table.Observe(e, 1)
			}
			table.SetServices(func(s ident.Service) bool { return s == "s" })
			var effect census.Effect
			for _, e := range c.after {
				effect = table.Observe(e, 2)
			}
			assert.Equal(t, effect, c.effect)
			got, _ := table.Get("a")
			assert.Equal(t, got.State, c.state)
			assert.Equal(t, got.Service, ident.Service("s"))
		})
	}
}

// Displaced reports each endpoint that lost its address only once.
func TestDisplacedIsReportedOnce(t *testing.T) {
	table := census.New(time.Minute)
	table.Observe(entry("a", 5, 8, "x", census.Ready), 1)
	assert.Equal(t, len(table.Displaced()), 0)
	table.Observe(entry("b", 6, 1, "x", census.Ready), 2)
	table.Observe(entry("b", 6, 2, "x", census.Ready), 3)
	gone := table.Displaced()
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, gone[0].Instance.ID, ident.EndpointID("a"))
	assert.Equal(t, gone[0].State, census.Gone)
	assert.Equal(t, len(table.Displaced()), 0)
}

// Heartbeats of a known endpoint are still recorded after its service was removed from the configuration.
func TestEndpointOfRemovedServiceIsObserved(t *testing.T) {
	table := census.New(time.Minute)
	known := true
	table.SetServices(func(ident.Service) bool { return known })
	table.Observe(entry("a", 5, 8, "x", census.Ready), 1)
	known = false
	assert.Equal(t, table.Observe(entry("a", 5, 9, "x", census.Draining), 2), census.Changed)
	got, _ := table.Get("a")
	assert.Equal(t, got.State, census.Draining)
}
