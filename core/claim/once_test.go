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
		before func(b *claim.Registry)
		open   claim.Open
		want   claim.Result
	}{
		"new key": {
			before: func(*claim.Registry) {}, open: first, want: claim.Result{Granted: true},
		},
		"resent Open": {
			before: func(b *claim.Registry) { b.Open(first) }, open: first, want: claim.Result{Granted: true},
		},
		"released, then claimed by a later request": {
			before: func(b *claim.Registry) { b.Open(first); b.Close(closeOf(first, claim.Released)) },
			open:   second, want: claim.Result{Granted: true},
		},
		"delayed resend of the released Open": {
			before: func(b *claim.Registry) { b.Open(first); b.Close(closeOf(first, claim.Released)) },
			open:   first, want: claim.Result{Record: &claim.Record{Open: first, State: claim.Released}},
		},
		"released, then claimed by a later try": {
			before: func(b *claim.Registry) { b.Open(first); b.Close(closeOf(first, claim.Released)) },
			open:   again, want: claim.Result{Granted: true},
		},
		"another holder while the claim is open": {
			before: func(b *claim.Registry) { b.Open(first) },
			open:   again, want: claim.Result{Record: &claim.Record{Open: first, State: claim.Claimed}},
		},
		"first claimed after its end": {
			before: func(b *claim.Registry) { b.Expire(100) }, open: first, want: claim.Result{Late: true},
		},
		"record expired and the next leader's clock is behind": {
			before: func(b *claim.Registry) {
				b.Open(first)
				b.Close(closeOf(first, claim.Done))
				b.Expire(5000)
				b.Expire(50)
			},
			open: first, want: claim.Result{Late: true},
		},
		"in doubt, then claimed by a later request": {
			before: func(b *claim.Registry) { b.Open(first); b.Abandon(claim.Abandon{Host: "e1"}) },
			open:   second, want: claim.Result{Record: &claim.Record{Open: first, State: claim.InDoubt}},
		},
		"in doubt, then released by its holder": {
			before: func(b *claim.Registry) {
				b.Open(first)
				b.Abandon(claim.Abandon{Host: "e1"})
				b.Close(closeOf(first, claim.Released))
			},
			open: second, want: claim.Result{Granted: true},
		},
		"open claim past its end": {
			before: func(b *claim.Registry) { b.Open(first); b.Expire(101) },
			open:   second, want: claim.Result{Record: &claim.Record{Open: first, State: claim.InDoubt}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := claim.New()
			c.before(b)
			restored := claim.Restore(b.List())
			restored.Expire(b.Clock())
			assert.DeepEqual(t, b.Open(c.open), c.want)
			assert.DeepEqual(t, restored.Open(c.open), c.want)
		})
	}
}
