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

// maxControlBytesPerSecond is the required limit of the control traffic that a host sends.
const maxControlBytesPerSecond = 9_000

// reporter is an entry host that owns engines; sentTo counts the report messages sent to each host.
type reporter struct {
	*sizes.Driver
	size   sizes.Size
	sentTo map[ident.HostID]int
	seq    uint64
}

func newReporter(t *testing.T, s sizes.Size) *reporter {
	t.Helper()
	d, err := sizes.NewEntry(s, sizes.State(s))
	assert.NilError(t, err)
	r := &reporter{Driver: d, size: s, sentTo: map[ident.HostID]int{}}
	for n := 0; n < s.Endpoints; n += s.Hosts {
		e, _ := d.World.State().Owners.Get(sizes.Endpoint(n).ID)
		d.Handle(world.Event{Inspected: &world.Inspected{
			Endpoint: e.ID, Fence: e.Fence, Instance: e.Instance, Models: []ident.Model{sizes.Model(n)},
		}})
	}
	d.OnEffect = func(e world.Effect) {
		if e.Send != nil && len(e.Send.Message.Reports) > 0 {
			r.sentTo[e.Send.To]++
		}
	}
	r.runSecond()
	r.sentTo = map[ident.HostID]int{}
	return r
}

func (r *reporter) runSecond() { r.RunSecond(r.size, 20*time.Millisecond) }

// forwardRequest lets a host forward a request for the adapter that is resident on the first engine.
func (r *reporter) forwardRequest(from ident.HostID) ident.RequestID {
	r.seq++
	id := ident.RequestID{Host: from, Seq: r.seq}
	req := work.Request{ID: id, Workspace: sizes.Workspace(0), Model: sizes.Model(0), TimeLeft: time.Minute}
	r.Handle(world.Event{Arrive: &world.Arrive{Request: req, From: from, Endpoint: sizes.Endpoint(0).ID}})
	return id
}

func TestReportRecipients(t *testing.T) {
	small := sizes.Size{Hosts: 4, Endpoints: 4, Adapters: 4}
	cases := map[string]struct {
		event func(r *reporter)
		least map[ident.HostID]int // minimum number of report messages per host
		none  []ident.HostID       // hosts that get only the periodic report message
	}{
		"load is reported to hosts that forward requests": {
			event: func(r *reporter) { r.forwardRequest("e2") },
			least: map[ident.HostID]int{"e2": 2},
			none:  []ident.HostID{"e1", "e3"},
		},
		"awaited adapter is reported to all hosts": {
			event: func(r *reporter) {
				req := work.Request{ID: ident.RequestID{Host: "e2", Seq: 9}, Workspace: sizes.Workspace(3), Model: sizes.Model(3), TimeLeft: time.Minute}
				r.Handle(world.Event{Arrive: &world.Arrive{Request: req, From: "e2", Endpoint: sizes.Endpoint(0).ID}})
			},
			least: map[ident.HostID]int{"e1": 2, "e2": 2, "e3": 2},
		},
		"reconnected host gets all reports": {
			event: func(r *reporter) { r.Handle(world.Event{LinkUp: &world.LinkUp{Host: "e3"}}) },
			least: map[ident.HostID]int{"e3": 2},
			none:  []ident.HostID{"e1", "e2"},
		},
		"reports are repeated periodically": {
			event: func(*reporter) {},
			least: map[ident.HostID]int{"e1": 1, "e2": 1, "e3": 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReporter(t, small)
			c.event(r)
			r.runSecond()
			for h, n := range c.least {
				assert.Assert(t, r.sentTo[h] >= n, "host %s got only %d report messages", h, r.sentTo[h])
			}
			for _, h := range c.none {
				assert.Assert(t, r.sentTo[h] <= 1, "host %s got %d report messages, want at most 1", h, r.sentTo[h])
			}
		})
	}
}

// At the target size of the system, a host with an average share of the requests stays within its limit of control traffic.
func TestReportByteRate(t *testing.T) {
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
			running = append(running, r.forwardRequest(sizes.HostName(1+(32*n+k)%409)))
		}
		r.runSecond()
	}
	rate := (r.Bytes - start) / seconds
	assert.Assert(t, rate <= maxControlBytesPerSecond, "the host sent %d bytes per second", rate)
	t.Logf("the host sent %d bytes per second", rate)
}
