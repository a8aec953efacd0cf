package voter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// A control host that is cut off from the leader must record a heartbeat but not confirm it. Otherwise the endpoint would not
// try another control host, and the leader would never receive the heartbeat.
func TestHostWithoutLeaderConfirmsNothing(t *testing.T) {
	cases := map[string]struct {
		leaderless time.Duration // 0 if a leader is known
		confirmed  bool
	}{
		"a leader is known":        {confirmed: true},
		"during an election":       {leaderless: electionTimeout, confirmed: true},
		"cut off for some seconds": {leaderless: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := newVoter(t, t.TempDir())
			if c.leaderless > 0 {
				v.Follow("c2", 0)
				v.Follow("", clock.Boot().Add(-c.leaderless))
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for f := range v.inbox {
					f()
				}
			}()
			id := ident.Instance{ID: "g1", Born: 7}
			err := v.Announce(t.Context(), census.Entry{Instance: id, Seq: 4, Service: "llm", Address: "x", State: census.Ready})
			assert.Equal(t, err == nil, c.confirmed, "%v", err)
			err = v.Leave(t.Context(), id)
			assert.Equal(t, err == nil, c.confirmed, "%v", err)
			close(v.inbox)
			<-ended
			e, known := v.census.Get("g1")
			assert.Assert(t, known)
			assert.Equal(t, e.State, census.Gone)
		})
	}
}
