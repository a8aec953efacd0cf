package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/pick"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// Without a leader, requests that looked for a place at a brittle endpoint at the same time all got the same one, and the endpoint fell over.
func TestPlaceOfShareIsGivenOnce(t *testing.T) {
	f, _ := newFront(t)
	f.entryHosts = 4
	now := clock.Boot()
	e := census.Entry{Instance: ident.Instance{ID: "p1", Born: 7}, Service: "pay", State: census.Ready, Slots: 8, Seq: 1, LastHeartbeat: now}
	f.census.Observe(e, now)
	f.heed.Note(e.Instance, 3, true, now)
	a := grant.Ask{Service: "pay", Permit: []ident.Instance{e.Instance}, Left: time.Second}
	for n := range 2 { // the host's share of eight places
		assert.Assert(t, f.permitFromShare(a).Place != nil, "place %d", n+1)
	}
	r := f.permitFromShare(a)
	assert.Assert(t, r.Place == nil)
	assert.Equal(t, r.Cause, grant.Limited)
	f.picker.End(e, pick.Good, nil, clock.Boot())
	assert.Assert(t, f.permitFromShare(a).Place != nil, "a place has become free")
}

// A leader that is slow has given the places of a brittle endpoint, or the sends of one with a limit, to others. Hosts that had no reply in time took their
// share on top, so that brittle endpoints fell over. They take it only from a leader that is silent.
func TestShareIsNotTakenBesideLeader(t *testing.T) {
	for name, c := range map[string]struct {
		silentFor time.Duration
		follower  bool // the latest status is that of another control host
		brittle   bool
		placed    bool
	}{
		"a leader heard just now, brittle":       {brittle: true},
		"a leader heard just now, a limit":       {},
		"a status is late":                       {silentFor: leaderSilence - time.Millisecond, brittle: true},
		"silent":                                 {silentFor: leaderSilence, brittle: true, placed: true},
		"silent, a limit":                        {silentFor: leaderSilence, placed: true},
		"silent, another control host was heard": {silentFor: leaderSilence, follower: true, brittle: true, placed: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			defer clock.Replace(func() ident.Time { return now })()
			f, _ := newFront(t)
			f.handleStatus("c1", link.Status{Leads: true, Term: 1, EntryHosts: 4})
			e := census.Entry{Instance: ident.Instance{ID: "p1", Born: 7}, Service: "pay", State: census.Ready, Slots: 8, Seq: 1, LastHeartbeat: now}
			f.census.Observe(e, now)
			if c.brittle {
				f.heed.Note(e.Instance, 3, true, now)
			}
			now = now.Add(c.silentFor)
			if c.follower {
				f.handleStatus("c2", link.Status{EntryHosts: 4})
			}
			r, begun := f.awaitPermit(t.Context(), grant.Ask{Service: "pay", Permit: []ident.Instance{e.Instance}})
			assert.Equal(t, r.Place != nil, c.placed)
			assert.Equal(t, begun, c.placed)
			if !c.placed {
				assert.Equal(t, r.Cause, grant.Limited)
				assert.Assert(t, r.After > 0)
			}
		})
	}
}
