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
		at     time.Duration
		maxRun time.Duration
		want   bool
	}{
		"not draining":                {at: time.Hour, maxRun: time.Hour, want: true},
		"long, just after the signal": {drain: drain, at: 100 * time.Millisecond, maxRun: 15 * time.Second, want: true},
		"long, some seconds later":    {drain: drain, at: 3077 * time.Millisecond, maxRun: 15 * time.Second},
		"short, some seconds later":   {drain: drain, at: 3077 * time.Millisecond, maxRun: time.Second, want: true},
		"short, just before the end":  {drain: drain, at: 7 * time.Second, maxRun: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.drain.admits(ident.Time(c.at), c.maxRun), c.want)
		})
	}
}
