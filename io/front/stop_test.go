package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

// A host that stops takes long requests for a while only, and short ones as long as they can end.
func TestStoppingHostTakes(t *testing.T) {
	stop := &DrainDeadlines{AdmitLongUntil: ident.Time(2500 * time.Millisecond), CloseAt: ident.Time(7600 * time.Millisecond)}
	cases := map[string]struct {
		stop *DrainDeadlines
		at   time.Duration
		need time.Duration
		want bool
	}{
		"no stop":                     {at: time.Hour, need: time.Hour, want: true},
		"long, just after the signal": {stop: stop, at: 100 * time.Millisecond, need: 15 * time.Second, want: true},
		"long, some seconds later":    {stop: stop, at: 3077 * time.Millisecond, need: 15 * time.Second},
		"short, some seconds later":   {stop: stop, at: 3077 * time.Millisecond, need: time.Second, want: true},
		"short, just before the end":  {stop: stop, at: 7 * time.Second, need: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.stop.takes(ident.Time(c.at), c.need), c.want)
		})
	}
}
