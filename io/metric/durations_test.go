package metric_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/io/metric"
)

func TestDurationHistogram(t *testing.T) {
	cases := map[string]struct {
		times []time.Duration
		want  []string
	}{
		"duration at a bucket bound": {
			times: []time.Duration{time.Second},
			want:  []string{`x_seconds_bucket{le="0.5"} 0`, `x_seconds_bucket{le="1"} 1`, `x_seconds_bucket{le="+Inf"} 1`, "x_seconds_sum 1", "x_seconds_count 1"},
		},
		"durations in several buckets": {
			times: []time.Duration{300 * time.Microsecond, 30 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second},
			want:  []string{`x_seconds_bucket{le="0.001"} 1`, `x_seconds_bucket{le="0.05"} 2`, `x_seconds_bucket{le="0.5"} 3`, `x_seconds_bucket{le="5"} 4`, "x_seconds_count 4"},
		},
		"duration above the range and negative duration after a clock step": {
			times: []time.Duration{time.Hour, -time.Second},
			want:  []string{`x_seconds_bucket{le="0.001"} 1`, `x_seconds_bucket{le="30"} 1`, `x_seconds_bucket{le="+Inf"} 2`, "x_seconds_sum 60"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := metric.New(burn.Targets{})
			for _, d := range c.times {
				m.ObserveDuration("x_seconds", d)
			}
			var text strings.Builder
			assert.NilError(t, m.WriteText(&text))
			lines := strings.Split(text.String(), "\n")
			assert.Equal(t, lines[0], "# TYPE x_seconds histogram")
			for _, want := range c.want {
				found := false
				for _, line := range lines {
					found = found || line == want
				}
				assert.Assert(t, found, "no line %q in\n%s", want, text.String())
			}
		})
	}
}

// BenchmarkObserveDuration measures the cost of recording one duration.
func BenchmarkObserveDuration(b *testing.B) {
	m := metric.New(burn.Targets{})
	for b.Loop() {
		m.ObserveDuration("x_seconds", 30*time.Millisecond)
	}
}
