package conf

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"shallotgap/core/burn"
)

// shareKey returns the key of the share that belongs to an objective's limit.
func shareKey(o burn.Objective) string { return string(o) + "-share" }

// objectiveKeys are the keys of section [objectives].
func objectiveKeys() []string {
	keys := []string{"windows"}
	for _, o := range burn.Objectives() {
		if o != burn.Answered {
			keys = append(keys, string(o))
		}
		keys = append(keys, shareKey(o))
	}
	return keys
}

// objectives reads section [objectives] over the defaults t.
func (r *reader) objectives(t burn.Targets) burn.Targets {
	t.Targets = maps.Clone(t.Targets)
	for _, o := range burn.Objectives() {
		target := t.Targets[o]
		if o != burn.Answered {
			target.Limit = r.duration("objectives", string(o), target.Limit)
		}
		target.Share = r.float("objectives", shareKey(o), target.Share)
		if target.Share >= 1 {
			r.fail("objectives", shareKey(o), "want a share above 0 and below 1, such as 0.95")
		}
		t.Targets[o] = target
	}
	t.Windows = r.windows(t.Windows)
	return t
}

// windows reads rising durations with commas between them.
func (r *reader) windows(otherwise []time.Duration) []time.Duration {
	s := r.file.Section("objectives")
	if !s.HasKey("windows") {
		return otherwise
	}
	var list []time.Duration
	for _, text := range strings.Split(s.Key("windows").String(), ",") {
		d, err := time.ParseDuration(strings.TrimSpace(text))
		if err != nil || d < time.Second {
			r.fail("objectives", "windows", fmt.Sprintf("%q is not a duration of 1s or more with its unit, such as 5m", strings.TrimSpace(text)))
			return otherwise
		}
		list = append(list, d)
	}
	if !slices.IsSorted(list) {
		r.fail("objectives", "windows", "want the shortest window first")
	}
	return list
}
