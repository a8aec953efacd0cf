package claim_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
)

func open(key ident.Key, seq uint64, expires int64) claim.Open {
	return claim.Open{Name: claim.Name{Workspace: "w", Key: key}, Request: ident.RequestID{Host: "e1", Seq: seq}, Holder: claim.Holder{Host: "e1"}, Expires: expires}
}

func end(o claim.Open, s claim.State) claim.Close {
	return claim.Close{Name: o.Name, Request: o.Request, Holder: o.Holder, State: s}
}

func TestExpireForgetsOnlyWhatEnded(t *testing.T) {
	cases := map[string]struct {
		change func(b *claim.Registry)
		now    int64
		want   int
	}{
		"before its end": {
			change: func(b *claim.Registry) { o := open("k", 1, 100); b.Open(o); b.Close(end(o, claim.Done)) },
			now:    100, want: 1,
		},
		"after its end": {
			change: func(b *claim.Registry) { o := open("k", 1, 100); b.Open(o); b.Close(end(o, claim.Done)) },
			now:    101, want: 0,
		},
		"still open": {
			change: func(b *claim.Registry) { b.Open(open("k", 1, 100)) },
			now:    1000, want: 1,
		},
		"claimed again with a later end": {
			change: func(b *claim.Registry) {
				first, second := open("k", 1, 100), open("k", 2, 200)
				b.Open(first)
				b.Close(end(first, claim.Released))
				b.Open(second)
				b.Close(end(second, claim.Done))
			},
			now: 150, want: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := claim.New()
			c.change(b)
			restored := claim.Restore(b.List())
			b.Expire(c.now)
			restored.Expire(c.now)
			assert.Equal(t, b.Len(), c.want)
			assert.Equal(t, restored.Len(), c.want)
		})
	}
}
