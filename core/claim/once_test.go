package claim_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
)

// until returns an Open whose request may not start from second ends on.
func until(key ident.Key, seq uint64, ends int64) claim.Open {
	o := open(key, seq, ends+1000)
	o.Ends = ends
	return o
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	first, second := until("k", 1, 100), until("k", 2, 200)
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
		"the same Open again": {
			before: func(b *claim.Registry) { b.Open(first) }, open: first, want: claim.Result{Granted: true},
		},
		"released, then claimed by a later request": {
			before: func(b *claim.Registry) { b.Open(first); b.Close(end(first, claim.Released)) },
			open:   second, want: claim.Result{Granted: true},
		},
		"a late Open of the request that released it": {
			before: func(b *claim.Registry) { b.Open(first); b.Close(end(first, claim.Released)) },
			open:   first, want: claim.Result{Record: &claim.Record{Open: first, State: claim.Released}},
		},
		"released, then claimed by a later try": {
			before: func(b *claim.Registry) { b.Open(first); b.Close(end(first, claim.Released)) },
			open:   again, want: claim.Result{Granted: true},
		},
		"another holder while the first one may send": {
			before: func(b *claim.Registry) { b.Open(first) },
			open:   again, want: claim.Result{Record: &claim.Record{Open: first, State: claim.Claimed}},
		},
		"its time is over": {
			before: func(b *claim.Registry) { b.Expire(100) }, open: first, want: claim.Result{Late: true},
		},
		"forgotten, and the next leader's clock is behind": {
			before: func(b *claim.Registry) {
				b.Open(first)
				b.Close(end(first, claim.Done))
				b.Expire(5000)
				b.Expire(50)
			},
			open: first, want: claim.Result{Late: true},
		},
		"in doubt": {
			before: func(b *claim.Registry) { b.Open(first); b.Abandon(claim.Abandon{Host: "e1"}) },
			open:   second, want: claim.Result{Record: &claim.Record{Open: first, State: claim.InDoubt}},
		},
		"in doubt, and its holder knows that nothing was sent": {
			before: func(b *claim.Registry) {
				b.Open(first)
				b.Abandon(claim.Abandon{Host: "e1"})
				b.Close(end(first, claim.Released))
			},
			open: second, want: claim.Result{Granted: true},
		},
		"its outcome was never recorded": {
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
