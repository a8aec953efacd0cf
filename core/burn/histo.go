// Package burn measures service levels: how much of its error budget each workspace and objective has spent, how
// fast, and on what. All data merge over hosts.
package burn

import (
	"math"
	"slices"
	"time"
)

// bounds are the upper limits of the buckets of all histograms; one further bucket takes what is longer.
// They are fixed, so that histograms of all hosts and versions merge.
var bounds = []time.Duration{
	1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	40 * time.Millisecond, 57 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond, 180 * time.Millisecond,
	250 * time.Millisecond, 350 * time.Millisecond, 510 * time.Millisecond, 750 * time.Millisecond, 1 * time.Second,
	1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
	40 * time.Second, 80 * time.Second, 160 * time.Second,
}

// Bounds returns the upper limits of the buckets, without the last one, which has none.
func Bounds() []time.Duration { return slices.Clone(bounds) }

// Histogram counts durations in buckets.
type Histogram struct {
	// Counts has one number for each bucket; it is empty before the first Add.
	Counts []uint64 `json:"counts"`
	// Sum is the sum of all durations in nanoseconds.
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

// Merge adds what another histogram counted.
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

// Quantile returns the upper limit of the bucket that holds the share q of all durations; 0 when there are none.
// In the bucket without a limit it returns the largest limit.
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
