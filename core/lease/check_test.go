package lease_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/limit"
)

func TestCheckAnnouncement(t *testing.T) {
	cases := map[string]struct {
		change func(*lease.Endpoint)
		want   string // part of the error; "" for none
	}{
		"sound":             {change: func(*lease.Endpoint) {}},
		"a URL with a path": {change: func(e *lease.Endpoint) { e.URL = "https://g1.example/v1" }},
		"no instance":       {change: func(e *lease.Endpoint) { e.Instance = 0 }, want: "instance"},
		"unknown kind":      {change: func(e *lease.Endpoint) { e.Kind = "x" }, want: "kind"},
		"too many slots":    {change: func(e *lease.Endpoint) { e.Slots = math.MaxInt }, want: "slots"},
		"negative batch":    {change: func(e *lease.Endpoint) { e.MaxRunning = -1 }, want: "max-running"},
		"limit is no number": {
			change: func(e *lease.Endpoint) { e.Limit = limit.Rate(math.NaN()) }, want: "limit",
		},
		"port out of range": {change: func(e *lease.Endpoint) { e.URL = "http://10.0.0.1:70000" }, want: "port"},
		"port 0":            {change: func(e *lease.Endpoint) { e.URL = "http://10.0.0.1:0" }, want: "port"},
		"no host":           {change: func(e *lease.Endpoint) { e.URL = "http://" }, want: "url"},
		"a long URL":        {change: func(e *lease.Endpoint) { e.URL = "http://" + strings.Repeat("x", 5000) }, want: "url"},
		"a long id":         {change: func(e *lease.Endpoint) { e.ID = ident.EndpointID(strings.Repeat("x", 300)) }, want: "id"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := lease.Endpoint{ID: "g1", Kind: lease.Engine, URL: "http://10.0.0.1:8000", Instance: 7, Slots: 8, MaxRunning: 16}
			c.change(&e)
			err := e.Check()
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, lease.ErrOdd)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
