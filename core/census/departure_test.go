package census_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

func ExampleDepartures_Apply() {
	d := census.NewDepartures(nil)
	i := ident.Instance{ID: "p1", Born: 7}
	fmt.Println(d.Apply(census.Departure{Instance: i, State: census.Draining}))
	fmt.Println(d.Apply(census.Departure{Instance: i, State: census.Gone}))
	fmt.Println(d.Apply(census.Departure{Instance: i, State: census.Draining}))
	fmt.Println(d.State(i) == census.Gone, d.State(ident.Instance{ID: "p1", Born: 8}))
	// Output:
	// true
	// true
	// false
	// true 0
}

// The list of departures has a bound, and the oldest are dropped first.
func TestDeparturesAreBounded(t *testing.T) {
	d := census.NewDepartures(nil)
	instance := func(n int) ident.Instance { return ident.Instance{ID: ident.EndpointID(fmt.Sprint(n)), Born: 1} }
	for n := range 10_000 {
		d.Apply(census.Departure{Instance: instance(n), State: census.Gone})
	}
	list := d.List()
	assert.Equal(t, len(list), 1<<12)
	assert.Equal(t, d.State(instance(0)), census.State(0))
	assert.Equal(t, d.State(instance(9999)), census.Gone)
	assert.DeepEqual(t, census.NewDepartures(list).List(), list)
}

// A heartbeat that was sent before the endpoint left made the endpoint ready again at a host that had forgotten it.
func TestDepartedEndpointDoesNotReturn(t *testing.T) {
	cases := map[string]struct {
		born     ident.Incarnation
		departed census.State
		uptime   time.Duration // for how long the host has heard heartbeats
		want     census.State
	}{
		"not departed":                        {born: 7, want: census.Ready},
		"draining":                            {born: 7, departed: census.Draining, want: census.Draining},
		"gone":                                {born: 7, departed: census.Gone, want: census.Gone},
		"gone, long ago":                      {born: 7, departed: census.Gone, uptime: time.Hour, want: census.Gone},
		"gone, without incarnation":           {departed: census.Gone, want: census.Gone},
		"gone, without incarnation, long ago": {departed: census.Gone, uptime: time.Hour, want: census.Ready},
		"another incarnation of one that has left": {born: 8, departed: census.Gone, want: census.Ready},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			left := census.NewDepartures(nil)
			born := c.born
			if born == 8 {
				born = 7
			}
			left.Apply(census.Departure{Instance: ident.Instance{ID: "p1", Born: born}, State: c.departed})
			table := census.New(time.Minute)
			table.Departed = left.State
			now := ident.Time(time.Hour)
			for seq := uint64(1); time.Duration(seq)*time.Second <= c.uptime; seq++ {
				now = now.Add(time.Second)
				table.Observe(census.Entry{Instance: ident.Instance{ID: "other", Born: 1}, Seq: seq, Service: "pay", Address: "o", State: census.Ready}, now)
			}
			table.Observe(census.Entry{Instance: ident.Instance{ID: "p1", Born: c.born}, Seq: 3, Service: "pay", Address: "x", State: census.Ready}, now)
			e, _ := table.Get("p1")
			assert.Equal(t, e.State, c.want)
		})
	}
}

// A heartbeat that an endpoint sent after its departure was reported as a change, and the leader listed the endpoint as ready again.
func TestHeartbeatAfterDepartureIsStale(t *testing.T) {
	cases := map[string]struct {
		departed census.State
		reported census.State
		want     census.Effect
	}{
		"ready, has left":      {census.Gone, census.Ready, census.Stale},
		"ready, drains":        {census.Draining, census.Ready, census.Stale},
		"draining, has left":   {census.Gone, census.Draining, census.Stale},
		"draining, drains":     {census.Draining, census.Draining, census.Unchanged},
		"ready, never left":    {0, census.Ready, census.Unchanged},
		"draining, never left": {0, census.Draining, census.Changed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			left := census.NewDepartures(nil)
			table := census.New(time.Minute)
			table.Departed = left.State
			e := census.Entry{Instance: ident.Instance{ID: "p1", Born: 7}, Seq: 1, Service: "pay", Address: "x", State: census.Ready}
			table.Observe(e, 1)
			left.Apply(census.Departure{Instance: e.Instance, State: c.departed})
			table.ApplyDepartures(2)
			e.Seq, e.State = 2, c.reported
			assert.Equal(t, table.Observe(e, 3), c.want)
			stored, _ := table.Get("p1")
			assert.Equal(t, stored.State, max(c.departed, c.reported))
		})
	}
}
