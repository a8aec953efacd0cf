package census_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// An endpoint whose heartbeats stop expires, unless it gives other signs of life.
func TestConfirmedEndpointDoesNotExpire(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed ident.Instance
		want      bool
	}{
		"no sign of life":        {want: false},
		"confirmed":              {confirmed: ident.Instance{ID: "a", Born: 1}, want: true},
		"an earlier incarnation": {confirmed: ident.Instance{ID: "a", Born: 0}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			table := census.New(time.Minute)
			table.Observe(entry("a", 1, 1, "x", census.Ready), 1)
			for n := range 100 {
				now := ident.Time(n+1) * ident.Time(time.Second)
				table.Observe(entry("b", 1, uint64(n+1), "y", census.Ready), now)
				if c.confirmed.ID != "" {
					assert.Equal(t, table.Confirm(c.confirmed, now), c.want)
				}
				table.Expire(now)
			}
			_, known := table.Get("a")
			assert.Equal(t, known, c.want)
		})
	}
}

// A sign of life does not bring an endpoint back that has left.
func TestConfirmAfterLeaving(t *testing.T) {
	table := census.New(time.Minute)
	table.Observe(entry("a", 1, 1, "x", census.Gone), 1)
	assert.Assert(t, !table.Confirm(ident.Instance{ID: "a", Born: 1}, 2))
}
