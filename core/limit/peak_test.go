package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

// A count rises at once; it falls after PeakTTL, to the largest that has come since.
func TestPeak(t *testing.T) {
	type step struct {
		after   time.Duration
		n, want int
	}
	for name, steps := range map[string][]step{
		"first":                          {{0, 1, 1}},
		"rises at once":                  {{0, 1, 1}, {0, 4, 4}},
		"control hosts have started":     {{0, 4, 4}, {time.Minute, 1, 4}, {400 * time.Millisecond, 3, 4}, {400 * time.Millisecond, 4, 4}, {time.Minute, 1, 4}},
		"a host has left":                {{0, 4, 4}, {0, 3, 4}, {PeakTTL - 1, 3, 4}, {1, 3, 3}},
		"two have left, one after other": {{0, 4, 4}, {0, 3, 4}, {PeakTTL / 2, 2, 4}, {PeakTTL / 2, 2, 3}, {0, 2, 3}, {PeakTTL, 2, 2}},
		"higher meanwhile":               {{0, 4, 4}, {0, 1, 4}, {PeakTTL / 2, 5, 5}, {PeakTTL, 1, 5}, {PeakTTL, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			var p Peak
			now := ident.Time(time.Hour)
			for n, s := range steps {
				now = now.Add(s.after)
				assert.Equal(t, p.Add(s.n, now), s.want, "step %d", n)
			}
		})
	}
}
