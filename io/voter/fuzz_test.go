package voter

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/core/quorum"
	"shallotgap/core/resume"
	"shallotgap/core/wire"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// An entry of the log or of a snapshot that ends a host ends it again after each start, and ends each follower. Whatever decodes as a
// command must leave a host that applies it, leads, sends its state, and restores it from a snapshot.
func FuzzCommand(f *testing.F) {
	for _, c := range []book.Command{
		{},
		{Layout: &layout.Layout{Version: 1, Routes: []layout.Route{{Name: "r", Host: "h", Prefix: "/"}}}},
		{Layout: &layout.Layout{Version: 1<<64 - 1, Services: []layout.Service{{Name: "s", Engine: &layout.Engine{Slots: -1 << 63, Memory: -5}}}, Routes: []layout.Route{{Shares: []layout.Share{{Service: "s", Weight: 1e308}, {Service: "s", Weight: 1e308}}, Timeout: -1, Attempts: -1}}}},
		{Newest: &book.Newest{Version: 1<<64 - 1}},
		{Poison: &poison.Command{Crash: &poison.Crash{}, Clear: []poison.Part{""}, Key: []byte{}}},
		{Poison: &poison.Command{Repeated: &poison.Repeated{}}},
		{Limits: &limit.Command{Set: []limit.Record{{Rate: -1}}, Drop: []ident.Instance{{}}}},
		{Builds: &resume.Command{Service: "s", Add: []ident.Build{"a", "a"}, Drop: []ident.Build{"b"}, Life: -1, Routes: []resume.RouteChange{{}}}},
	} {
		data, err := wire.Marshal(c)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		v := newVoter(t, t.TempDir())
		v.apply(quorum.Entry{Index: 1, Term: 1, Data: data})
		v.beginLeading(1, clock.Boot())
		if v.book.Layout != nil {
			v.sendLayout("f1", 0)
		}
		_ = v.status()
		_ = v.leadership.authority.Step(clock.Boot())
		snapshot, err := v.book.Snapshot()
		assert.NilError(t, err)
		_, err = book.Restore(snapshot)
		assert.NilError(t, err)
		v.restore(quorum.Snapshot{Index: 2, Data: snapshot})
	})
}

// A snapshot file or a message of any content must not end a host.
func FuzzSnapshot(f *testing.F) {
	data, err := book.New().Snapshot()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		v := newVoter(t, t.TempDir())
		v.restore(quorum.Snapshot{Index: 2, Data: data})
		v.beginLeading(1, clock.Boot())
		_ = v.status()
	})
}

// A message between hosts that decodes must not end the host that gets it. Messages of the log are checked by core/quorum.
func FuzzMessage(f *testing.F) {
	entry := census.Entry{Instance: ident.Instance{ID: "i1", Born: 1<<64 - 1}, Seq: 1<<64 - 1, Service: "s", Address: "x:0", Slots: 1<<63 - 1, State: census.Ready}
	for _, m := range []link.Message{
		{Status: &link.Status{Leads: true, Control: []ident.HostID{"", "c9"}}},
		{Presence: &link.Presence{}},
		{Census: []census.Entry{entry, {}}},
		{ShortHeartbeats: []census.ShortHeartbeat{{}}},
		{Fetch: &link.Fetch{Endpoints: true}},
		{Call: &link.Call{Command: book.Command{Layout: &layout.Layout{}}}},
		{EndpointCall: &link.EndpointCall{Heartbeat: &entry}},
		{EndpointCall: &link.EndpointCall{}},
		{Begun: []resume.Record{{}}},
		{Crashed: &link.CrashReport{}},
	} {
		e, err := link.Encode(m)
		assert.NilError(f, err)
		f.Add(e.For(link.Hello{}))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := link.Decode(data)
		if err != nil || m.Quorum != nil {
			return
		}
		v := newVoter(t, t.TempDir())
		v.beginLeading(1, clock.Boot())
		for _, from := range []link.Hello{{Host: "c2", Control: true}, {Host: "f1", Address: "f1:1"}} {
			v.receive(from, m)
			_ = v.leadership.authority.Step(clock.Boot())
			v.flushCensus()
			_ = v.status()
		}
	})
}
