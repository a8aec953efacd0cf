package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

// A draining host admits long requests for a short time only, and short ones as long as they can finish before it closes.
func TestDrainAdmission(t *testing.T) {
	drain := &DrainDeadlines{AdmitLongUntil: ident.Time(2500 * time.Millisecond), CloseAt: ident.Time(7600 * time.Millisecond)}
	cases := map[string]struct {
		drain  *DrainDeadlines
		now    time.Duration
		maxRun time.Duration
		want   bool
	}{
		"not draining": {now: time.Hour, maxRun: time.Hour, want: true},
		"long request just after the stop signal":        {drain: drain, now: 100 * time.Millisecond, maxRun: 15 * time.Second, want: true},
		"long request some seconds later":                {drain: drain, now: 3077 * time.Millisecond, maxRun: 15 * time.Second},
		"short request some seconds later":               {drain: drain, now: 3077 * time.Millisecond, maxRun: time.Second, want: true},
		"short request that would exceed the close time": {drain: drain, now: 7 * time.Second, maxRun: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.drain.admits(ident.Time(c.now), c.maxRun), c.want)
		})
	}
}
