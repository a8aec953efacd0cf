package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"shallotgap/core/work"
	"shallotgap/core/world"
)

// Profiles returns the deployments by name.
func Profiles() map[string]Profile {
	return map[string]Profile{"zahlwerk": Zahlwerk(), "mungitura": Mungitura()}
}

// Baseline replays the trace through least-loaded routing, LRU eviction and loads in order of arrival.
func Baseline(p Profile, seed uint64, trace []Arrival) Result {
	l := newHarness(p, seed)
	r := l.run(&baseline{harness: l}, trace)
	r.Policy = "baseline"
	return r
}

// System replays the trace through the decision cores of all hosts.
func System(p Profile, params world.Params, seed uint64, trace []Arrival) Result {
	l := newHarness(p, seed)
	r := l.run(newSystem(l, params, seed), trace)
	r.Policy = "system"
	return r
}

// reason counts refusals by their cause.
func (s *score) reason(r work.Reason) {
	if s.res.Reasons == nil {
		s.res.Reasons = map[work.Reason]int{}
	}
	s.res.Reasons[r]++
}

// Print writes results as a table, one line for each.
func Print(out io.Writer, p Profile, b Bound, list []Result) {
	_, _ = fmt.Fprintf(out, "%s, faults %v: %d requests; bound: p95 stall >= %s, batch <= %.3f\n", p.Name, p.Faults, list[0].Requests, short(b.P95), b.Batch)
	_, _ = fmt.Fprintf(out, "%-10s %8s %8s %8s %8s %6s %6s %6s %6s %6s %6s %6s %6s %6s\n",
		"policy", "p50", "p95", "p99", "bulk95", "batch", "busy", "missed", "refus", "broken", "left", "fair", "loads", "failed")
	for _, r := range list {
		_, _ = fmt.Fprintf(out, "%-10s %8s %8s %8s %8s %6.3f %6.3f %6d %6d %6d %6d %6.3f %6d %6d\n",
			r.Policy, short(r.P50), short(r.P95), short(r.P99), short(r.BulkP95), r.Batch, r.BusyBatch,
			r.Misses, r.Refused, r.Broken, r.Unended, r.Fairness, r.Loads, r.Failed)
		if r.EvictedInUse+r.SentWithoutAdapter > 0 {
			_, _ = fmt.Fprintf(out, "  evicted under a request: %d, sent without adapter: %d\n", r.EvictedInUse, r.SentWithoutAdapter)
		}
		for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
			_, _ = fmt.Fprintf(out, "  refused %s: %d\n", reason, r.Reasons[reason])
		}
	}
}

func short(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
