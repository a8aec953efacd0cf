package claim_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
)

// open returns an Open of host e1 without Ends.
func open(key ident.Key, seq uint64, expires int64) claim.Open {
	return claim.Open{Name: claim.Name{Workspace: "w", Key: key}, Request: ident.RequestID{Host: "e1", Seq: seq}, Holder: claim.Holder{Host: "e1"}, Expires: expires}
}

// closeOf returns the Close with state s for the claim o.
func closeOf(o claim.Open, s claim.State) claim.Close {
	return claim.Close{Name: o.Name, Request: o.Request, Holder: o.Holder, State: s}
}

func TestExpireDeletesOnlyExpiredRecords(t *testing.T) {
	cases := map[string]struct {
		change func(reg *claim.Registry)
		now    int64
		want   int
	}{
		"before its expiry": {
			change: func(reg *claim.Registry) { o := open("k", 1, 100); reg.Open(o); reg.Close(closeOf(o, claim.Done)) },
			now:    100, want: 1,
		},
		"after its expiry": {
			change: func(reg *claim.Registry) { o := open("k", 1, 100); reg.Open(o); reg.Close(closeOf(o, claim.Done)) },
			now:    101, want: 0,
		},
		"open claim after its expiry": {
			change: func(reg *claim.Registry) { reg.Open(open("k", 1, 100)) },
			now:    1000, want: 1,
		},
		"claimed again with a later expiry": {
			change: func(reg *claim.Registry) {
				first, second := open("k", 1, 100), open("k", 2, 200)
				reg.Open(first)
				reg.Close(closeOf(first, claim.Released))
				reg.Open(second)
				reg.Close(closeOf(second, claim.Done))
			},
			now: 150, want: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reg := claim.New()
			c.change(reg)
			restored := claim.Restore(reg.List())
			reg.Expire(c.now)
			restored.Expire(c.now)
			assert.Equal(t, reg.Len(), c.want)
			assert.Equal(t, restored.Len(), c.want)
		})
	}
}
