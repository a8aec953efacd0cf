package metric

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"shallotgap/core/burn"
)

// WriteText writes all metrics in the text exposition format (version 0.0.4).
func (m *Meter) WriteText(w io.Writer) error {
	all := map[string]any{}
	m.registry.Each(func(name string, v any) { all[name] = v })
	out := &writer{out: w, typed: map[string]bool{}}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		switch v := all[name].(type) {
		case metrics.Counter:
			out.line(name, "counter", float64(v.Count()))
		case metrics.Gauge:
			out.line(name, "gauge", float64(v.Value()))
		}
	}
	m.writeDurations(out)
	for _, s := range m.EventSeries() {
		out.series(s)
	}
	return out.err
}

// writer writes lines until the first error, which it keeps in err.
type writer struct {
	out   io.Writer
	typed map[string]bool
	err   error
}

func (w *writer) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format, args...)
	}
}

// declare writes the TYPE line of a metric unless it was written before.
func (w *writer) declare(name, kind string) {
	if !w.typed[name] {
		w.typed[name] = true
		w.printf("# TYPE %s %s\n", name, kind)
	}
}

func (w *writer) line(name, kind string, value float64) {
	base, _, _ := strings.Cut(name, "{")
	w.declare(base, kind)
	w.printf("%s %g\n", name, value)
}

// series writes the numbers of good and bad events of one workspace and objective, and the histogram of their durations.
func (w *writer) series(s burn.Series) {
	labels := []string{"workspace", string(s.Workspace), "objective", string(s.Objective)}
	var good, bad uint64
	for _, slot := range s.Slots {
		good, bad = good+slot.Good, bad+slot.Bad
	}
	w.line(key("shallotgap_events_in_period", append(labels, "verdict", "good")), "gauge", float64(good))
	w.line(key("shallotgap_events_in_period", append(labels, "verdict", "bad")), "gauge", float64(bad))
	if s.Histogram.Total() == 0 {
		return
	}
	const name = "shallotgap_objective_seconds"
	w.declare(name, "histogram")
	var cumulative uint64
	for i, n := range s.Histogram.Counts {
		cumulative += n
		limit := "+Inf"
		if i < len(burn.Bounds()) {
			limit = fmt.Sprintf("%g", burn.Bounds()[i].Seconds())
		}
		w.printf("%s %d\n", key(name+"_bucket", append(labels, "le", limit)), cumulative)
	}
	w.printf("%s %g\n", key(name+"_sum", labels), s.Histogram.Sum.Seconds())
	w.printf("%s %d\n", key(name+"_count", labels), cumulative)
}
