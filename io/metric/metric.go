// Package metric keeps a host's counters and service-level events, and writes them for scraping.
package metric

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"shallotgap/core/burn"
)

// Meter collects what one host measures. Its methods may be called by several goroutines.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	book     *burn.Recorder
	times    map[string]*times
}

// New returns an empty meter.
func New(t burn.Targets) *Meter {
	return &Meter{registry: metrics.NewRegistry(), book: burn.New(t), times: map[string]*times{}}
}

// Count adds 1 to a counter. labels are pairs of name and value.
func (m *Meter) Count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(key(name, labels), m.registry).Inc(1)
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(key(name, labels), m.registry).Update(value)
}

// ObserveDuration adds a duration to the histogram of the given name, which names its unit, seconds.
func (m *Meter) ObserveDuration(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.times[name]
	if t == nil {
		t = newTimes()
		m.times[name] = t
	}
	t.add(d)
}

// CountEvent counts an event of a service level.
func (m *Meter) CountEvent(e burn.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Add(time.Now().Unix(), e)
}

// EventSeries returns a copy of the service-level events.
func (m *Meter) EventSeries() []burn.Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Snapshot()
}

// key joins a name and its labels in the text exposition form.
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
