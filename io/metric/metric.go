// Package metric collects a host's counters, gauges, histograms and service-level events, and exposes them for scraping.
package metric

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"shallotgap/core/burn"
)

// Meter collects the metrics of one host. It is safe for concurrent use.
type Meter struct {
	registry  metrics.Registry
	mu        sync.Mutex
	events    *burn.Recorder
	durations map[string]*durationHistogram
}

// New returns an empty meter with the latency targets of the service-level objectives.
func New(t burn.Targets) *Meter {
	return &Meter{registry: metrics.NewRegistry(), events: burn.New(t), durations: map[string]*durationHistogram{}}
}

// Count adds 1 to a counter. labels holds names and values in turn.
func (m *Meter) Count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(key(name, labels), m.registry).Inc(1)
}

// Gauge sets a gauge. labels holds names and values in turn.
func (m *Meter) Gauge(name string, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(key(name, labels), m.registry).Update(value)
}

// ObserveDuration adds a duration to the histogram of the given name, which must end with its unit, _seconds.
func (m *Meter) ObserveDuration(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.durations[name]
	if h == nil {
		h = newDurationHistogram()
		m.durations[name] = h
	}
	h.add(d)
}

// CountEvent counts a good or bad event of a service-level objective.
func (m *Meter) CountEvent(e burn.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events.Add(time.Now().Unix(), e)
}

// EventSeries returns a copy of the service-level events, from which burn rates are computed.
func (m *Meter) EventSeries() []burn.Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.events.Snapshot()
}

// key joins a metric name and its labels in the text exposition format.
func key(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	text := ""
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
	}
	return name + "{" + text + "}"
}
