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
