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

// sizes range from the present deployment to the target size, with two sizes in between.
var sizes = []Size{
	{Hosts: 7, Endpoints: 13, Adapters: 3_000},
	{Hosts: 50, Endpoints: 600, Adapters: 10_000},
	{Hosts: 150, Endpoints: 1_800, Adapters: 30_000},
	{Hosts: 410, Endpoints: 4_800, Adapters: 76_000},
}

const tickInterval = 20 * time.Millisecond

func benchmarkSizes(b *testing.B, run func(b *testing.B, s Size, st *state.State)) {
	for _, s := range sizes {
		st := State(s)
		b.Run(s.String(), func(b *testing.B) { run(b, s, st) })
	}
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the heap bytes of an entry host's decision core and the bytes of its snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				st := State(s)
				before := heapBytes()
				d, err := NewEntry(s, st)
				assert.NilError(b, err)
				b.ReportMetric(float64(heapBytes()-before), "heap-B")
				runtime.KeepAlive(st)
				data, err := wire.Marshal(d.World.State().Snapshot(false))
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data)), "snapshot-B")
				runtime.KeepAlive(d)
			}
		})
	}
}

// BenchmarkEntrySecond measures the processor time, messages and sent bytes of an idle entry host, which owns its share of
// the endpoints, for one second of virtual time.
func BenchmarkEntrySecond(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewEntry(s, st)
		assert.NilError(b, err)
		d.Messages, d.Bytes = 0, 0
		start := d.Now
		for b.Loop() {
			d.RunSecond(s, tickInterval)
		}
		d.report(b, start)
	})
}

// BenchmarkLeaderTick measures the time of a clock tick of an idle leader.
func BenchmarkLeaderTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s Size, st *state.State) {
		d, err := NewLeader(s, st)
		assert.NilError(b, err)
		for b.Loop() {
			d.Tick(time.Microsecond)
		}
	})
}

// report reports the messages and bytes sent per second of virtual time.
func (d *Driver) report(b *testing.B, start ident.Time) {
	seconds := d.Now.Sub(start).Seconds()
	if seconds == 0 {
		return
	}
	b.ReportMetric(float64(d.Messages)/seconds, "messages/s")
	b.ReportMetric(float64(d.Bytes)/seconds, "sent-B/s")
}

// BenchmarkRenewal measures the leader's time for one host's lease renewal and the bytes of the reply.
func BenchmarkRenewal(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s Size, st *state.State) {
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

// BenchmarkEdit measures the leader's time, messages and sent bytes for one edit, from the proposal to the updates sent to
// all hosts.
func BenchmarkEdit(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s Size, st *state.State) {
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

// BenchmarkArrive measures the time in which an entry host routes one request. The requests are spread evenly over all adapters.
func BenchmarkArrive(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s Size, st *state.State) {
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
