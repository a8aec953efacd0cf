package texts

import (
	"strconv"
	"time"
)

// FormatDuration writes a duration the way people do: 250 ms, 5 s, 5 min, 24 h.
func FormatDuration(d time.Duration) string {
	units := []struct {
		unit time.Duration
		name string
	}{{time.Hour, " h"}, {time.Minute, " min"}, {time.Second, " s"}, {time.Millisecond, " ms"}}
	for _, u := range units {
		if d >= u.unit {
			return strconv.FormatFloat(float64(d)/float64(u.unit), 'g', 4, 64) + u.name
		}
	}
	return strconv.FormatInt(d.Microseconds(), 10) + " µs"
}
