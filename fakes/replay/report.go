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

// Profiles returns the known profiles by name.
func Profiles() map[string]Profile {
	return map[string]Profile{"zahlwerk": Zahlwerk(), "mungitura": Mungitura()}
}

// Baseline replays a trace with the baseline policy.
func Baseline(p Profile, seed uint64, trace []Arrival) Result {
	h := newHarness(p, seed)
	r := h.run(&baseline{harness: h}, trace)
	r.Policy = "baseline"
	return r
}

// System replays a trace with the decision cores of all hosts, configured by params.
func System(p Profile, params world.Params, seed uint64, trace []Arrival) Result {
	h := newHarness(p, seed)
	r := h.run(newSystem(h, params, seed), trace)
	r.Policy = "system"
	return r
}

// countReason counts a rejection by its reason.
func (s *score) countReason(r work.Reason) {
	if s.totals.Reasons == nil {
		s.totals.Reasons = map[work.Reason]int{}
	}
	s.totals.Reasons[r]++
}

// Print writes the bound and a table with one line per result, followed by the invariant violations and the rejections of that run.
func Print(out io.Writer, p Profile, b Bound, list []Result) {
	_, _ = fmt.Fprintf(out, "%s, faults %v: %d requests; bound: p95 stall >= %s, batch <= %.3f\n",
		p.Name, p.Faults, list[0].Requests, formatSeconds(b.P95), b.Batch)
	_, _ = fmt.Fprintf(out, "%-10s %8s %8s %8s %8s %6s %6s %6s %6s %6s %6s %6s %6s %6s\n",
		"policy", "p50", "p95", "p99", "bulk95", "batch", "busy", "missed", "refus", "broken", "left", "fair", "loads", "failed")
	for _, r := range list {
		_, _ = fmt.Fprintf(out, "%-10s %8s %8s %8s %8s %6.3f %6.3f %6d %6d %6d %6d %6.3f %6d %6d\n",
			r.Policy, formatSeconds(r.P50), formatSeconds(r.P95), formatSeconds(r.P99), formatSeconds(r.BulkP95), r.Batch, r.BusyBatch,
			r.Misses, r.Refused, r.Broken, r.Unended, r.Fairness, r.Loads, r.Failed)
		if r.EvictedInUse+r.SentWithoutAdapter > 0 {
			_, _ = fmt.Fprintf(out, "  evicted under a request: %d, sent without adapter: %d\n",
				r.EvictedInUse, r.SentWithoutAdapter)
		}
		for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
			_, _ = fmt.Fprintf(out, "  refused %s: %d\n", reason, r.Reasons[reason])
		}
	}
}

// formatSeconds formats a duration in seconds with two decimals.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
