package voter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// A control host that is cut off from the leader takes an endpoint's word but does not confirm it, so that the endpoint tells
// a host that the leader hears.
func TestHostWithoutLeaderConfirmsNothing(t *testing.T) {
	cases := map[string]struct {
		without   time.Duration // 0 for a leader that is known
		confirmed bool
	}{
		"a leader is known":        {confirmed: true},
		"during an election":       {without: election, confirmed: true},
		"cut off for some seconds": {without: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := newVoter(t, t.TempDir())
			if c.without > 0 {
				v.leaderless = clock.Boot().Add(-c.without)
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

// The time without a leader begins when the last one is lost.
func TestTimeWithoutLeader(t *testing.T) {
	v := newVoter(t, t.TempDir())
	v.noteLeader(5)
	v.noteLeader(9)
	assert.Equal(t, v.leaderless, ident.Time(5))
	assert.Assert(t, !v.alone(9))
	assert.Assert(t, v.alone(ident.Time(5).Add(aloneAfter+1)))
}
