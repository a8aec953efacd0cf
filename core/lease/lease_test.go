package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
)

func atMillis(ms int) ident.Time { return ident.Time(time.Duration(ms) * time.Millisecond) }

// A host whose renewal was refused for a low applied index renews immediately after applying more, and not before.
func TestRefusedHolderRenewsOnceCaughtUp(t *testing.T) {
	cases := map[string]struct {
		refused bool
		applied ident.Index
		due     bool
	}{
		"refused and caught up":    {true, 8, true},
		"refused and still behind": {true, 7, false},
		"not refused":              {false, 8, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := lease.Holder{Terms: lease.Terms{Length: 2 * time.Second, Renew: 400 * time.Millisecond}, Incarnation: 3}
			r := h.Due(atMillis(0), 7)
			assert.Assert(t, r != nil)
			h.Extend(lease.RenewReply{Sent: r.Sent, Incarnation: 3, Refused: c.refused})
			assert.Equal(t, h.Due(atMillis(40), c.applied) != nil, c.due)
			assert.Assert(t, h.Due(atMillis(60), c.applied) == nil, "the renewal was due twice")
		})
	}
}

// Unanswered reports a renewal without a reply at the time when the next renewal is due.
func TestUnansweredRenewals(t *testing.T) {
	h := lease.Holder{Terms: lease.Terms{Length: 2 * time.Second, Renew: 400 * time.Millisecond}}
	h.Extend(lease.RenewReply{Sent: atMillis(0)})
	assert.Assert(t, !h.Unanswered(atMillis(400)), "the renewal at 0 ms was answered")
	assert.Assert(t, h.Unanswered(atMillis(800)), "the renewal at 400 ms got no answer")
}
