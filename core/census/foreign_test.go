package census_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// What another writer announces under the name or at the address of an endpoint, for a service that the deployment does
// not have, changes nothing, before and after the services are known.
func TestEndpointsOfUnknownServices(t *testing.T) {
	foreign := func(id string, born uint64) census.Entry {
		e := entry(id, born, 1<<40, "x", census.Ready)
		e.Service = "none"
		return e
	}
	leaving := entry("a", 5, 9, "x", census.Draining)
	own := entry("a", 5, 8, "x", census.Ready)
	cases := map[string]struct {
		before, after []census.Entry // the services are known
		news          census.Effect  // of the last one
		state         census.State
	}{
		"same id":                          {before: []census.Entry{own}, after: []census.Entry{foreign("a", 9)}, news: census.UnknownService, state: census.Ready},
		"same id and start":                {before: []census.Entry{own}, after: []census.Entry{foreign("a", 5)}, news: census.UnknownService, state: census.Ready},
		"same address":                     {before: []census.Entry{own}, after: []census.Entry{foreign("b", 9)}, news: census.UnknownService, state: census.Ready},
		"same address, said before":        {before: []census.Entry{own, foreign("b", 9)}, after: []census.Entry{entry("a", 5, 9, "x", census.Ready)}, news: census.Unchanged, state: census.Ready},
		"same address, first, said before": {before: []census.Entry{foreign("b", 9)}, after: []census.Entry{own}, news: census.Changed, state: census.Ready},
		"same id, said before":             {before: []census.Entry{own, foreign("a", 9)}, after: []census.Entry{entry("a", 5, 9, "x", census.Ready)}, news: census.Changed, state: census.Ready},
		"drains after it":                  {before: []census.Entry{own}, after: []census.Entry{foreign("a", 9), leaving}, news: census.Changed, state: census.Draining},
		"a later start at the address":     {before: []census.Entry{own, entry("c", 7, 1, "x", census.Ready)}, after: []census.Entry{entry("a", 5, 9, "x", census.Ready)}, news: census.Stale, state: census.Gone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := census.New(time.Minute)
			table.AwaitServices = true
			for _, e := range c.before {
				table.Observe(e, 1)
			}
			table.SetServices(func(s ident.Service) bool { return s == "s" })
			var news census.Effect
			for _, e := range c.after {
				news = table.Observe(e, 2)
			}
			assert.Equal(t, news, c.news)
			got, _ := table.Get("a")
			assert.Equal(t, got.State, c.state)
			assert.Equal(t, got.Service, ident.Service("s"))
		})
	}
}

// The endpoints that lose their address are told once.
func TestEvicted(t *testing.T) {
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

// An endpoint whose service the operators dropped goes on to tell how it is.
func TestEndpointOfADroppedService(t *testing.T) {
	table := census.New(time.Minute)
	known := true
	table.SetServices(func(ident.Service) bool { return known })
	table.Observe(entry("a", 5, 8, "x", census.Ready), 1)
	known = false
	assert.Equal(t, table.Observe(entry("a", 5, 9, "x", census.Draining), 2), census.Changed)
	got, _ := table.Get("a")
	assert.Equal(t, got.State, census.Draining)
}
