package sizes

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/wire"
	"shallotgap/core/work"
	"shallotgap/core/world"
)

// sizes are today's size, two between, and the size of the aim.
var sizes = []Size{
	{Hosts: 7, Endpoints: 13, Adapters: 3_000},
	{Hosts: 50, Endpoints: 600, Adapters: 10_000},
	{Hosts: 150, Endpoints: 1_800, Adapters: 30_000},
	{Hosts: 410, Endpoints: 4_800, Adapters: 76_000},
}

const tickEvery = 20 * time.Millisecond

func forSizes(b *testing.B, run func(b *testing.B, s Size, st *state.State)) {
	for _, s := range sizes {
		st := State(s)
		b.Run(s.String(), func(b *testing.B) { run(b, s, st) })
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the heap that an entry host's decision core needs and the bytes of a snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				st := State(s)
				before := heap()
				d, err := NewEntry(s, st)
				assert.NilError(b, err)
				b.ReportMetric(float64(heap()-before), "heap-B")
				runtime.KeepAlive(st)
				data, err := wire.Marshal(d.World.State().Snapshot(false))
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data)), "snapshot-B")
				runtime.KeepAlive(d)
			}
		})
	}
}

// BenchmarkEntrySecond is the cost of an idle second of an entry host that owns its share of the endpoints.
func BenchmarkEntrySecond(b *testing.B) {
	forSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewEntry(s, st)
		assert.NilError(b, err)
		d.Messages, d.Bytes = 0, 0
		start := d.Now
		for b.Loop() {
			d.RunSecond(s, tickEvery)
		}
		d.report(b, start)
	})
}

// BenchmarkLeaderTick is the cost of an idle tick of the leader.
func BenchmarkLeaderTick(b *testing.B) {
	forSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewLeader(s, st)
		assert.NilError(b, err)
		for b.Loop() {
			d.Tick(time.Microsecond)
		}
	})
}

// report gives messages and bytes for a second of virtual time.
func (d *Driver) report(b *testing.B, start ident.Time) {
	seconds := d.Now.Sub(start).Seconds()
	if seconds == 0 {
		return
	}
	b.ReportMetric(float64(d.Messages)/seconds, "messages/s")
	b.ReportMetric(float64(d.Bytes)/seconds, "sent-B/s")
}

// BenchmarkRenewal is the leader's cost of one host's lease renewal.
func BenchmarkRenewal(b *testing.B) {
	forSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewLeader(s, st)
		assert.NilError(b, err)
		applied := d.World.State().Applied
		d.Messages, d.Bytes = 0, 0
		n := 0
		for b.Loop() {
			n++
			d.ReceiveRenewal(1+n%(s.Hosts-1), applied)
		}
		b.ReportMetric(float64(d.Bytes)/float64(n), "reply-B")
	})
}

// BenchmarkEdit is the leader's cost of one edit, from proposal to the pushes to all hosts.
func BenchmarkEdit(b *testing.B) {
	forSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewLeader(s, st)
		assert.NilError(b, err)
		versions := make([]ident.RowVersion, s.Adapters)
		for n := range versions {
			row, _ := d.World.State().Rows.Get(rows.KeyOf(Workspace(n), Model(n).Adapter))
			versions[n] = row.RowVersion
		}
		d.Messages, d.Bytes = 0, 0
		n := 0
		for b.Loop() {
			e := Edit(n%s.Adapters, versions[n%s.Adapters])
			n++
			d.Handle(world.Event{Propose: &world.Proposal{Ticket: world.Ticket(n), Command: state.Command{Edit: &e}}})
			versions[(n-1)%s.Adapters] = ident.RowVersion(d.World.State().Applied)
			d.Tick(time.Microsecond)
		}
		b.ReportMetric(float64(d.Bytes)/float64(n), "sent-B")
		b.ReportMetric(float64(d.Messages)/float64(n), "messages")
	})
}

// BenchmarkArrive is an entry host's cost of routing one request, spread over all adapters.
func BenchmarkArrive(b *testing.B) {
	forSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewEntry(s, st)
		assert.NilError(b, err)
		n := 0
		for b.Loop() {
			n++
			if n%1000 == 0 {
				d.Renew()
			}
			id := ident.RequestID{Host: HostName(0), Incarnation: 1, Seq: uint64(n)}
			r := work.Request{ID: id, Workspace: Workspace(n % s.Adapters), Model: Model(n % s.Adapters), TimeLeft: time.Minute, Urgency: work.Normal}
			d.Handle(world.Event{Arrive: &world.Arrive{Request: r, From: HostName(0)}})
			d.Handle(world.Event{Cancel: &world.Cancel{ID: id}})
		}
	})
}
