package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/resume"
	"shallotgap/io/clock"
)

// The control hosts are told which build wrote the first event, unless the leader knows it from its own grant. A record that it would
// draw from a grant that was not used names another build.
func TestFirstEventIsAnnounced(t *testing.T) {
	cases := map[string]struct {
		granted   []ident.Build
		grantedBy ident.HostID
		announced bool
	}{
		"one grant of the leader":        {[]ident.Build{"v1"}, "c1", false},
		"two grants of one build":        {[]ident.Build{"v1", "v1"}, "c1", false},
		"grants of two builds":           {[]ident.Build{"v2", "v1"}, "c1", true},
		"a late grant of another leader": {[]ident.Build{"v1"}, "c2", true},
		"chosen without a leader":        {[]ident.Build{"v1"}, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, sent := newFront(t)
			f.leader = "c1"
			ex := &exchange{Front: f, call: Call{ID: "a"}}
			for _, b := range c.granted {
				ex.noteBuild(b)
			}
			ex.bindTo("v1", c.grantedBy, true)
			ex.bindTo("v2", c.grantedBy, true) // a later engine of the answer binds nothing
			assert.Equal(t, ex.build, ident.Build("v1"))
			assert.Equal(t, len(sent.sent) == 1, c.announced)
			r, found := f.streams.Get("a", clock.Boot())
			assert.Assert(t, found && r.Wrote)
			assert.Equal(t, r.Build, ident.Build("v1"))
		})
	}
}

// A new leader gets the builds that wrote to the streams of this host.
func TestNewLeaderGetsBegunStreams(t *testing.T) {
	f, sent := newFront(t)
	ex := &exchange{Front: f, call: Call{ID: "a"}}
	ex.bindTo("v1", "c1", true)
	sent.sent = nil
	f.syncAuthority("c2", 3)
	var begun []resume.Record
	for _, m := range sent.sent {
		if m.Live != nil {
			begun = m.Live.Begun
		}
	}
	assert.Equal(t, len(begun), 1)
	assert.Equal(t, begun[0].Build, ident.Build("v1"))
}

// Without a leader the engine that served last may go on with a stream of its build only, and is verified. Where a new stream begins is
// not sure after a while.
func TestFallbackKeepsToTheBuild(t *testing.T) {
	cases := map[string]struct {
		bound  bool
		build  ident.Build
		placed bool
	}{
		"a new stream":               {false, "", true},
		"a stream of the same build": {true, "v1", true},
		"a stream of another build":  {true, "v2", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, _ := newFront(t)
			a := grant.Ask{Service: "llm", Left: 5 * time.Second, Resumable: true, Bound: c.bound, Build: c.build}
			f.lastServed[servedKeyOf(a)] = servedPlace{place: grant.Place{Instance: ident.Instance{ID: "g1", Born: 7}, Build: "v1"}, servedAt: clock.Boot()}
			f.Follow("c1", clock.Boot())
			f.Follow("", clock.Boot().Add(-time.Minute))
			req := f.openGrantRequest(a)
			req.openedAt = clock.Boot().Add(-fallbackAfter)
			r, placed := f.fallbackGrant(req)
			assert.Equal(t, placed, c.placed)
			if placed {
				assert.Equal(t, r.Place.Verify, c.bound)
				assert.Equal(t, req.uncertain, !c.bound)
			}
		})
	}
}
