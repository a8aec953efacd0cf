package conf

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"shallotgap/core/burn"
)

// shareKey returns the key of an objective's target share, such as first-token-share.
func shareKey(o burn.Objective) string { return string(o) + "-share" }

// objectiveKeys returns the valid keys of section [objectives].
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

// objectives returns t with the values that section [objectives] sets.
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

// windows reads comma-separated durations in rising order, or returns def if the key is not set.
func (r *reader) windows(def []time.Duration) []time.Duration {
	s := r.file.Section("objectives")
	if !s.HasKey("windows") {
		return def
	}
	var list []time.Duration
	for _, text := range strings.Split(s.Key("windows").String(), ",") {
		d, err := time.ParseDuration(strings.TrimSpace(text))
		if err != nil || d < time.Second {
			r.fail("objectives", "windows", fmt.Sprintf("%q is not a duration of 1s or more with its unit, such as 5m", strings.TrimSpace(text)))
			return def
		}
		list = append(list, d)
	}
	if !slices.IsSorted(list) {
		r.fail("objectives", "windows", "want the shortest window first")
	}
	return list
}
