package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

func TestEntriesRankHosts(t *testing.T) {
	m := sizes.Model(1)
	cases := map[string]struct {
		silent  int    // index of the host that stops renewing its lease; 0 for none
		stopped string // host that is being stopped; "" for none
		query   world.EntryQuery
		want    []ident.HostID
	}{
		"own failure domain first":      {query: world.EntryQuery{Domain: "d01"}, want: []ident.HostID{"e1", "e0", "e2"}},
		"spread over equal hosts":       {query: world.EntryQuery{Domain: "d09", Spread: 1}, want: []ident.HostID{"e1", "e2", "e0"}},
		"host without a lease left out": {silent: 2, query: world.EntryQuery{Domain: "d02"}, want: []ident.HostID{"e0", "e1"}},
		"stopping host left out":        {stopped: "e1", query: world.EntryQuery{Domain: "d01"}, want: []ident.HostID{"e0", "e2"}},
		"owner of the endpoint first": {
			query: world.EntryQuery{Domain: "d00", Request: &work.Request{Model: m}},
			want:  []ident.HostID{"e2", "e0", "e1"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := sizes.Size{Hosts: 3}
			st := sizes.State(s)
			e := sizes.Endpoint(1)
			st.Apply(1, state.Command{Announce: &e})
			st.Apply(2, state.Command{Assign: &lease.Assign{Endpoint: e.ID, Owner: "e2"}})
			d, err := sizes.NewLeader(s, st)
			assert.NilError(t, err)
			if c.stopped != "" {
				m := drain.Mark{ID: "m", Target: drain.Host, Name: c.stopped}
				d.Handle(world.Event{Propose: &world.Proposal{Ticket: 1, Command: state.Command{Mark: &m}}})
			}
			for range 40 {
				for n := 1; n < s.Hosts; n++ {
					if n != c.silent {
						d.ReceiveRenewal(n, d.World.State().Applied)
					}
				}
				d.Tick(100 * time.Millisecond)
			}
			assert.DeepEqual(t, d.World.Entries(c.query), c.want)
		})
	}
}
