package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
)

// nodeBytes is the users' bound on what a host may send for control, in bytes a second.
const nodeBytes = 9_000

// reporter is an entry host that owns engines, with the hosts that it sent reports to.
type reporter struct {
	*sizes.Driver
	size sizes.Size
	told map[ident.HostID]int
	seq  uint64
}

func newReporter(t *testing.T, s sizes.Size) *reporter {
	t.Helper()
	d, err := sizes.NewEntry(s, sizes.State(s))
	assert.NilError(t, err)
	r := &reporter{Driver: d, size: s, told: map[ident.HostID]int{}}
	for n := 0; n < s.Endpoints; n += s.Hosts {
		e, _ := d.World.State().Owners.Get(sizes.Endpoint(n).ID)
		d.Handle(world.Event{Inspected: &world.Inspected{Endpoint: e.ID, Fence: e.Fence, Instance: e.Instance, Models: []ident.Model{sizes.Model(n)}}})
	}
	d.Seen = func(e world.Effect) {
		if e.Send != nil && len(e.Send.Message.Reports) > 0 {
			r.told[e.Send.To]++
		}
	}
	r.second()
	r.told = map[ident.HostID]int{}
	return r
}

func (r *reporter) second() { r.Second(r.size, 20*time.Millisecond) }

// ask lets a host forward a request for the adapter that the first engine holds.
func (r *reporter) ask(from ident.HostID) ident.RequestID {
	r.seq++
	id := ident.RequestID{Host: from, Seq: r.seq}
	req := work.Request{ID: id, Workspace: sizes.Workspace(0), Model: sizes.Model(0), TimeLeft: time.Minute}
	r.Handle(world.Event{Arrive: &world.Arrive{Request: req, From: from, Endpoint: sizes.Endpoint(0).ID}})
	return id
}

func TestReportsReachWhoNeedsThem(t *testing.T) {
	small := sizes.Size{Hosts: 4, Endpoints: 4, Adapters: 4}
	cases := map[string]struct {
		happens func(r *reporter)
		least   map[ident.HostID]int // reports that a host gets at least
		none    []ident.HostID       // hosts that get no more than the repeats
	}{
		"load goes to those who ask": {
			happens: func(r *reporter) { r.ask("e2") },
			least:   map[ident.HostID]int{"e2": 2},
			none:    []ident.HostID{"e1", "e3"},
		},
		"an adapter waited for is told to all": {
			happens: func(r *reporter) {
				req := work.Request{ID: ident.RequestID{Host: "e2", Seq: 9}, Workspace: sizes.Workspace(3), Model: sizes.Model(3), TimeLeft: time.Minute}
				r.Handle(world.Event{Arrive: &world.Arrive{Request: req, From: "e2", Endpoint: sizes.Endpoint(0).ID}})
			},
			least: map[ident.HostID]int{"e1": 2, "e2": 2, "e3": 2},
		},
		"a host that can be reached again gets all": {
			happens: func(r *reporter) { r.Handle(world.Event{LinkUp: &world.LinkUp{Host: "e3"}}) },
			least:   map[ident.HostID]int{"e3": 2},
			none:    []ident.HostID{"e1", "e2"},
		},
		"a lost report is repeated": {
			happens: func(*reporter) {},
			least:   map[ident.HostID]int{"e1": 1, "e2": 1, "e3": 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReporter(t, small)
			c.happens(r)
			r.second()
			for h, n := range c.least {
				assert.Assert(t, r.told[h] >= n, "%s got %d", h, r.told[h])
			}
			for _, h := range c.none {
				assert.Assert(t, r.told[h] <= 1, "%s got %d", h, r.told[h])
			}
		})
	}
}

// At the size of the aim a host that gets its share of the requests keeps to its bytes for control.
func TestReportsKeepToTheirBytes(t *testing.T) {
	const seconds = 60
	r := newReporter(t, sizes.Size{Hosts: 410, Endpoints: 4_800, Adapters: 4_800})
	start := r.Bytes
	var running []ident.RequestID
	for n := range seconds {
		for _, id := range running {
			r.Handle(world.Event{Ended: &world.Ended{ID: id, State: work.Answered}})
		}
		running = nil
		for k := range 32 - n%7 {
			running = append(running, r.ask(sizes.HostName(1+(32*n+k)%409)))
		}
		r.second()
	}
	rate := (r.Bytes - start) / seconds
	assert.Assert(t, rate <= nodeBytes, "%d bytes a second", rate)
	t.Logf("%d bytes a second", rate)
}
