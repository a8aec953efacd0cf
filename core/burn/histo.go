// Package burn measures service levels: how much of its error budget each workspace and objective has spent, how fast, and
// through which causes. The data of several hosts can be merged.
package burn

import (
	"math"
	"slices"
	"time"
)

// bounds are the upper bounds of the buckets of all histograms; one more bucket counts longer durations. The bounds must not
// change, because histograms of hosts with different versions are merged.
var bounds = []time.Duration{
	1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	40 * time.Millisecond, 57 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond, 180 * time.Millisecond,
	250 * time.Millisecond, 350 * time.Millisecond, 510 * time.Millisecond, 750 * time.Millisecond, 1 * time.Second,
	1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
	40 * time.Second, 80 * time.Second, 160 * time.Second,
}

// Bounds returns the upper bounds of the buckets, except the last bucket, which has none.
func Bounds() []time.Duration { return slices.Clone(bounds) }

// Histogram counts durations in buckets.
type Histogram struct {
	// Counts has one entry per bucket; it is nil before the first Add.
	Counts []uint64 `json:"counts"`
	// Sum is the sum of all durations, in nanoseconds.
	Sum time.Duration `json:"sum"`
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) {
	if h.Counts == nil {
		h.Counts = make([]uint64, len(bounds)+1)
	}
	i, _ := slices.BinarySearch(bounds, d)
	h.Counts[i]++
	h.Sum += d
}

// Merge adds the counts of another histogram. A histogram with a different number of buckets is ignored.
func (h *Histogram) Merge(other Histogram) {
	if len(other.Counts) != len(bounds)+1 {
		return
	}
	if h.Counts == nil {
		h.Counts = make([]uint64, len(bounds)+1)
	}
	for i, n := range other.Counts {
		h.Counts[i] += n
	}
	h.Sum += other.Sum
}

// Total returns the number of counted durations.
func (h *Histogram) Total() uint64 {
	var n uint64
	for _, c := range h.Counts {
		n += c
	}
	return n
}

// Quantile returns the upper bound of the bucket that contains quantile q, or 0 for an empty histogram. For the last bucket it
// returns the highest bound.
func (h *Histogram) Quantile(q float64) time.Duration {
	total := h.Total()
	if total == 0 {
		return 0
	}
	rank := max(1, uint64(math.Ceil(q*float64(total))))
	var seen uint64
	for i, c := range h.Counts {
		seen += c
		if seen >= rank {
			return bounds[min(i, len(bounds)-1)]
		}
	}
	return bounds[len(bounds)-1]
}
