package claim_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
)

// A delayed or resent release of a claim must not release the claim that was granted next under the same key, to another
// host or with a higher Try.
func TestDelayedReleaseDoesNotReleaseNextClaim(t *testing.T) {
	openBy := func(h ident.HostID, try uint32) claim.Open {
		o := open("k", 1, 100)
		o.Holder.Host, o.Try = h, try
		return o
	}
	release := func(o claim.Open) claim.Close {
		return claim.Close{Name: o.Name, Request: o.Request, Holder: o.Holder, Try: o.Try, State: claim.Released}
	}
	cases := map[string]struct{ first, next claim.Open }{
		"another host":            {openBy("e1", 0), openBy("e2", 1)},
		"the same host, next try": {openBy("e1", 0), openBy("e1", 1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reg := claim.New()
			assert.Assert(t, reg.Open(c.first).Granted)
			assert.Assert(t, reg.Close(release(c.first)))
			assert.Assert(t, reg.Open(c.next).Granted)
			assert.Assert(t, !reg.Close(release(c.first)), "the resent release of the first claim took effect")
			assert.Assert(t, !reg.Open(c.first).Granted, "a resent first claim was granted")
			r, _ := reg.Get(c.next.Name)
			assert.Equal(t, r.State, claim.Claimed)
		})
	}
}
