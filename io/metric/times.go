package metric

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms of times.
const (
	timeUnit    = time.Microsecond
	longestTime = time.Minute // longer ones count as this long; the longest deadlines are a fraction of it
	timeDigits  = 2           // significant digits that are kept
)

// timeBuckets are the upper bounds that are shown, as is usual for web services, down to what a disk needs.
var timeBuckets = []time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// times is a histogram of durations.
type times struct {
	counts *hdrhistogram.Histogram
	sum    time.Duration
}

func newTimes() *times {
	return &times{counts: hdrhistogram.New(1, int64(longestTime/timeUnit), timeDigits)}
}

func (t *times) add(d time.Duration) {
	d = min(max(d, 0), longestTime)
	t.sum += d
	if err := t.counts.RecordValue(int64(d / timeUnit)); err != nil {
		panic(err) // the value is within the bounds of the histogram
	}
}

// upTo returns how many durations were not longer than each of the buckets' bounds.
func (t *times) upTo() []int64 {
	list := make([]int64, len(timeBuckets))
	for _, bar := range t.counts.Distribution() {
		for i, bound := range timeBuckets {
			if bar.From <= int64(bound/timeUnit) {
				list[i] += bar.Count
			}
		}
	}
	return list
}

// writeTimes writes the histograms of times.
func (m *Meter) writeTimes(w *writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.times)) {
		t := m.times[name]
		w.declare(name, "histogram")
		for i, n := range t.upTo() {
			w.printf("%s %d\n", key(name+"_bucket", []string{"le", fmt.Sprintf("%g", timeBuckets[i].Seconds())}), n)
		}
		w.printf("%s %d\n", key(name+"_bucket", []string{"le", "+Inf"}), t.counts.TotalCount())
		w.printf("%s_sum %g\n%s_count %d\n", name, t.sum.Seconds(), name, t.counts.TotalCount())
	}
}
