package metric

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the duration histograms.
const (
	durationUnit      = time.Microsecond
	maxDuration       = time.Minute // longer durations are recorded as maxDuration; even the longest deadlines of requests are far shorter
	significantDigits = 2
)

// durationBuckets are the upper bounds of the exposed buckets: the usual bounds for web services, and shorter bounds for disk writes.
var durationBuckets = []time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// durationHistogram counts durations and keeps their sum. It is not safe for concurrent use.
type durationHistogram struct {
	counts *hdrhistogram.Histogram
	sum    time.Duration
}

func newDurationHistogram() *durationHistogram {
	return &durationHistogram{counts: hdrhistogram.New(1, int64(maxDuration/durationUnit), significantDigits)}
}

func (h *durationHistogram) add(d time.Duration) {
	d = min(max(d, 0), maxDuration)
	h.sum += d
	if err := h.counts.RecordValue(int64(d / durationUnit)); err != nil {
		panic(err) // cannot happen: the value is within the histogram's range
	}
}

// cumulativeCounts returns, for each bucket, the number of durations up to its upper bound.
func (h *durationHistogram) cumulativeCounts() []int64 {
	list := make([]int64, len(durationBuckets))
	for _, bar := range h.counts.Distribution() {
		for i, bound := range durationBuckets {
			if bar.From <= int64(bound/durationUnit) {
				list[i] += bar.Count
			}
		}
	}
	return list
}

// writeDurations writes all duration histograms.
func (m *Meter) writeDurations(w *writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.durations)) {
		h := m.durations[name]
		w.declare(name, "histogram")
		for i, n := range h.cumulativeCounts() {
			w.printf("%s %d\n", key(name+"_bucket", []string{"le", fmt.Sprintf("%g", durationBuckets[i].Seconds())}), n)
		}
		w.printf("%s %d\n", key(name+"_bucket", []string{"le", "+Inf"}), h.counts.TotalCount())
		w.printf("%s_sum %g\n%s_count %d\n", name, h.sum.Seconds(), name, h.counts.TotalCount())
	}
}
