package grace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/grace"
	"shallotgap/core/ident"
)

func ExampleStop_Admits() {
	now := ident.Time(time.Hour)
	stop := &grace.Stop{CloseAt: now.Add(8 * time.Second)}
	fmt.Println(stop.Admits(now, time.Second), stop.Admits(now, 15*time.Second))
	// Output: true false
}

// A stopping host takes a request only if the request's own time is over before the host ends what runs.
func TestAdmission(t *testing.T) {
	start := ident.Time(time.Hour)
	stop := &grace.Stop{CloseAt: start.Add(7600 * time.Millisecond)}
	cases := map[string]struct {
		stop  *grace.Stop
		after time.Duration // since the stop signal
		left  time.Duration
		want  bool
	}{
		"not stopping":                         {after: time.Hour, left: time.Hour, want: true},
		"a long limit just after the signal":   {stop: stop, after: 100 * time.Millisecond, left: 15 * time.Second},
		"a long limit, late":                   {stop: stop, after: 6 * time.Second, left: 15 * time.Second},
		"just fits":                            {stop: stop, after: 100 * time.Millisecond, left: 7500 * time.Millisecond, want: true},
		"just too long":                        {stop: stop, after: 100 * time.Millisecond, left: 7501 * time.Millisecond},
		"a short limit some seconds later":     {stop: stop, after: 3077 * time.Millisecond, left: time.Second, want: true},
		"a short limit that goes past the end": {stop: stop, after: 7 * time.Second, left: time.Second},
		"after the end":                        {stop: stop, after: 7700 * time.Millisecond, left: time.Millisecond},
		"after the end, nothing left":          {stop: stop, after: 7700 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.stop.Admits(start.Add(c.after), c.left), c.want)
		})
	}
}
