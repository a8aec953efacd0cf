package route_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/route"
)

func TestRankKeepsHomeOrder(t *testing.T) {
	all := []ident.EndpointID{"g1", "g2", "g3", "g4"}
	acceptAll := func(ident.EndpointID) bool { return true }
	order := route.NewHomes(all).Rank("a", len(all), acceptAll)
	cases := map[string]struct {
		n       int
		accepts func(ident.EndpointID) bool
		want    []ident.EndpointID
	}{
		"no endpoints requested":        {n: 0, accepts: acceptAll, want: nil},
		"first two endpoints":           {n: 2, accepts: acceptAll, want: order[:2]},
		"more than there are endpoints": {n: 9, accepts: acceptAll, want: order},
		"the first is not accepted": {
			n: 2, accepts: func(e ident.EndpointID) bool { return e != order[0] }, want: order[1:3],
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, slices.Equal(route.NewHomes(all).Rank("a", c.n, c.accepts), c.want))
		})
	}
}
