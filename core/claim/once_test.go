package claim_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
)

// openUntil returns an Open whose claim ends at the wall-clock second ends (Unix).
func openUntil(key ident.Key, seq uint64, ends int64) claim.Open {
	o := open(key, seq, ends+1000)
	o.Ends = ends
	return o
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	first, second := openUntil("k", 1, 100), openUntil("k", 2, 200)
	again := first
	again.Try, again.Holder.Host = 1, "e2"
	cases := map[string]struct {
		before func(reg *claim.Registry)
		open   claim.Open
		want   claim.Result
	}{
		"new key": {
			before: func(*claim.Registry) {}, open: first, want: claim.Result{Granted: true},
		},
		"resent Open": {
			before: func(reg *claim.Registry) { reg.Open(first) }, open: first, want: claim.Result{Granted: true},
		},
		"released, then claimed by a later request": {
			before: func(reg *claim.Registry) { reg.Open(first); reg.Close(closeOf(first, claim.Released)) },
			open:   second, want: claim.Result{Granted: true},
		},
		"delayed resend of the released Open": {
			before: func(reg *claim.Registry) { reg.Open(first); reg.Close(closeOf(first, claim.Released)) },
			open:   first, want: claim.Result{Record: &claim.Record{Open: first, State: claim.Released}},
		},
		"released, then claimed by a later try": {
			before: func(reg *claim.Registry) { reg.Open(first); reg.Close(closeOf(first, claim.Released)) },
			open:   again, want: claim.Result{Granted: true},
		},
		"another holder while the claim is open": {
			before: func(reg *claim.Registry) { reg.Open(first) },
			open:   again, want: claim.Result{Record: &claim.Record{Open: first, State: claim.Claimed}},
		},
		"first claimed after its end": {
			before: func(reg *claim.Registry) { reg.Expire(100) }, open: first, want: claim.Result{Late: true},
		},
		"record expired and the next leader's clock is behind": {
			before: func(reg *claim.Registry) {
				reg.Open(first)
				reg.Close(closeOf(first, claim.Done))
				reg.Expire(5000)
				reg.Expire(50)
			},
			open: first, want: claim.Result{Late: true},
		},
		"in doubt, then claimed by a later request": {
			before: func(reg *claim.Registry) { reg.Open(first); reg.Abandon(claim.Abandon{Host: "e1"}) },
			open:   second, want: claim.Result{Record: &claim.Record{Open: first, State: claim.InDoubt}},
		},
		"in doubt, then released by its holder": {
			before: func(reg *claim.Registry) {
				reg.Open(first)
				reg.Abandon(claim.Abandon{Host: "e1"})
				reg.Close(closeOf(first, claim.Released))
			},
			open: second, want: claim.Result{Granted: true},
		},
		"open claim past its end": {
			before: func(reg *claim.Registry) { reg.Open(first); reg.Expire(101) },
			open:   second, want: claim.Result{Record: &claim.Record{Open: first, State: claim.InDoubt}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reg := claim.New()
			c.before(reg)
			restored := claim.Restore(reg.List())
			restored.Expire(reg.Clock())
			assert.DeepEqual(t, reg.Open(c.open), c.want)
			assert.DeepEqual(t, restored.Open(c.open), c.want)
		})
	}
}
