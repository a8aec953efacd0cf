package replay

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Bound limits the results that any policy can reach on a trace, even one that knows all later requests.
type Bound struct {
	// P95 is a lower bound of Result.P95.
	P95 time.Duration
	// Batch is an upper bound of Result.Batch.
	Batch float64
}

// adapterUse describes one request for the calculation of the bound on load stalls.
type adapterUse struct {
	gap         time.Duration // time since the previous request for the adapter; negative for its first request
	countsStall bool          // the load stall counts: the request is not bulk
}

// BoundOf returns the bound for a trace. It solves a relaxed problem exactly: a single engine has all slots and an
// unlimited batch, the slot time and the loads are limited only in total over the trace, and adapters can be loaded before
// the request arrives. Then each request needs either a load or an adapter that stayed resident since the previous request,
// which uses slot time for the gap between the two. The best choice keeps adapters over the shortest gaps.
func BoundOf(p Profile, trace []Arrival) Bound {
	uses := adapterUses(trace)
	return Bound{P95: p.stallBound(uses), Batch: p.batchBound(trace)}
}

// adapterUses returns the uses of adapters by the requests of a trace, in order.
func adapterUses(trace []Arrival) []adapterUse {
	last := map[ident.Model]time.Duration{}
	var uses []adapterUse
	for _, a := range trace {
		use := adapterUse{gap: -1, countsStall: a.Urgency != work.Bulk}
		if previous, seen := last[a.Model]; seen {
			use.gap = a.At - previous
		}
		last[a.Model] = a.At
		uses = append(uses, use)
	}
	return uses
}

// resources returns the totals over the whole trace of the loads that the weight store allows and of the time of all slots.
func (p Profile) resources() (loads float64, slotTime time.Duration) {
	loads = p.Rate*(p.Length+warmUp).Seconds() + max(1, p.Rate)
	return loads, time.Duration(p.Engines*p.Slots) * p.Length
}

// stallBound returns the smallest stall x such that 95 percent of the requests could start within x. If a request
// may wait for x, keeping its adapter resident over the gap before it takes x less slot time.
func (p Profile) stallBound(uses []adapterUse) time.Duration {
	counted := 0
	for _, use := range uses {
		if use.countsStall {
			counted++
		}
	}
	const step = 10 * time.Millisecond
	low, high := 0, int(10*time.Minute/step)
	for low < high {
		x := (low + high) / 2
		if p.unservedWithin(uses, time.Duration(x)*step) <= 0.05*float64(counted) {
			high = x
		} else {
			low = x + 1
		}
	}
	return time.Duration(low) * step
}

// unservedWithin returns how many requests cannot start within the stall x, since there is neither slot time to keep their
// adapter resident nor a load left.
func (p Profile) unservedWithin(uses []adapterUse, x time.Duration) float64 {
	loads, slotTime := p.resources()
	var gaps []time.Duration
	unserved := 0.0
	for _, use := range uses {
		if !use.countsStall {
			continue
		}
		unserved++
		if use.gap >= 0 {
			gaps = append(gaps, max(0, use.gap-x))
		}
	}
	slices.Sort(gaps)
	for _, g := range gaps {
		if slotTime -= g; slotTime < 0 {
			break
		}
		unserved--
	}
	return unserved - loads
}

// batchBound returns the longest possible running time of all requests divided by the capacity of all batches, both in
// request-seconds.
func (p Profile) batchBound(trace []Arrival) float64 {
	stepTime := p.StepTime + time.Duration(p.Batch)*p.StepPer
	running := 0.0
	for _, a := range trace {
		running += min(float64(a.Tokens)*stepTime.Seconds(), (p.Length - a.At).Seconds())
	}
	capacity := p.Length.Seconds() * float64(p.Engines*p.Batch)
	return min(1, running/capacity, p.loadBound(trace, stepTime)/capacity)
}

// loadBound returns the running time in seconds of the requests for as many adapters as can be loaded, those with the most
// tokens first. stepTime is the time of one step with a full batch.
func (p Profile) loadBound(trace []Arrival, stepTime time.Duration) float64 {
	perModel := map[ident.Model]float64{}
	for _, a := range trace {
		perModel[a.Model] += float64(a.Tokens) * stepTime.Seconds()
	}
	var times []float64
	for _, x := range perModel {
		times = append(times, x)
	}
	slices.SortFunc(times, func(x, y float64) int { return cmp.Compare(y, x) })
	loads, _ := p.resources()
	sum := 0.0
	for n, x := range times {
		if float64(n) >= loads {
			break
		}
		sum += x
	}
	return sum
}
