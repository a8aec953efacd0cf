package replay

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Bound is what no policy can beat on a trace, even one that knows the future.
type Bound struct {
	// P95 is a lower bound of the 95th percentile of load stalls, Batch an upper bound of the mean running batch.
	P95   time.Duration
	Batch float64
}

// need is a request's relation to the earlier ones for its adapter.
type need struct {
	gap    time.Duration // since the former request for the adapter; negative for the first
	stalls bool          // counts for the load stalls
}

// BoundOf relaxes the problem until it can be solved exactly: all engines are one with all slots, batches are
// without limit, slots and loads count only as sums over the whole trace, and adapters may be loaded before their
// request comes. Then each request either finds its adapter kept since the former request (which takes slot time) or
// takes a load, and the cheapest choice keeps the shortest gaps.
func BoundOf(p Profile, trace []Arrival) Bound {
	list := needsOf(trace)
	return Bound{P95: p.stallBound(list), Batch: p.batchBound(trace)}
}

func needsOf(trace []Arrival) []need {
	last := map[ident.Model]time.Duration{}
	var list []need
	for _, a := range trace {
		n := need{gap: -1, stalls: a.Urgency != work.Bulk}
		if at, seen := last[a.Model]; seen {
			n.gap = a.At - at
		}
		last[a.Model] = a.At
		list = append(list, n)
	}
	return list
}

// resources are the loads and the slot time of the whole trace.
func (p Profile) resources() (loads float64, slotTime time.Duration) {
	loads = p.Rate*(p.Length+warmUp).Seconds() + max(1, p.Rate)
	return loads, time.Duration(p.Engines*p.Slots) * p.Length
}

// stallBound returns the smallest stall x such that all but 5 in 100 requests could start within x. A request that
// may wait for x needs its adapter kept for x less.
func (p Profile) stallBound(list []need) time.Duration {
	all := 0
	for _, n := range list {
		if n.stalls {
			all++
		}
	}
	const step = 10 * time.Millisecond
	low, high := 0, int(10*time.Minute/step)
	for low < high {
		x := (low + high) / 2
		if p.unserved(list, time.Duration(x)*step) <= 0.05*float64(all) {
			high = x
		} else {
			low = x + 1
		}
	}
	return time.Duration(low) * step
}

// unserved returns how many requests can neither find their adapter kept nor take a load.
func (p Profile) unserved(list []need, x time.Duration) float64 {
	loads, slotTime := p.resources()
	var gaps []time.Duration
	missing := 0.0
	for _, n := range list {
		if !n.stalls {
			continue
		}
		missing++
		if n.gap >= 0 {
			gaps = append(gaps, max(0, n.gap-x))
		}
	}
	slices.Sort(gaps)
	for _, g := range gaps {
		if slotTime -= g; slotTime < 0 {
			break
		}
		missing--
	}
	return missing - loads
}

// batchBound divides the longest time that all requests could run for by that of all places in all batches.
func (p Profile) batchBound(trace []Arrival) float64 {
	full := p.StepTime + time.Duration(p.Batch)*p.StepPer
	run := 0.0
	for _, a := range trace {
		run += min(float64(a.Tokens)*full.Seconds(), (p.Length - a.At).Seconds())
	}
	possible := p.Length.Seconds() * float64(p.Engines*p.Batch)
	return min(1, run/possible, p.loadBound(trace, full)/possible)
}

// loadBound is the running time that the loads allow: each load serves at most one adapter, those with most work first.
func (p Profile) loadBound(trace []Arrival, full time.Duration) float64 {
	perModel := map[ident.Model]float64{}
	for _, a := range trace {
		perModel[a.Model] += float64(a.Tokens) * full.Seconds()
	}
	var list []float64
	for _, x := range perModel {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y float64) int { return cmp.Compare(y, x) })
	loads, _ := p.resources()
	sum := 0.0
	for n, x := range list {
		if float64(n) >= loads {
			break
		}
		sum += x
	}
	return sum
}
