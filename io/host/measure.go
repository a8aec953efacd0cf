package host

import (
	"context"

	"shallotgap/core/world"
)

// countLoad counts how a load order ended.
func (h *Host) countLoad(l world.Loaded) {
	result := "done"
	if l.Err != "" {
		result = "failed"
	}
	h.Meter.Count("shallotgap_loads_total", "result", result)
	if l.Evicted != nil {
		h.Meter.Count("shallotgap_evictions_total")
	}
}

// Measure sets the gauges that show the state of the decision core.
func (h *Host) Measure(ctx context.Context) error {
	var o world.Overview
	if err := h.View(ctx, func(w *world.World) { o = w.Overview() }); err != nil {
		return err
	}
	h.Meter.Gauge("shallotgap_serving", flag(o.Serving))
	h.Meter.Gauge("shallotgap_leading", flag(o.Role == world.RoleLeader))
	h.Meter.Gauge("shallotgap_lease_left_milliseconds", o.LeaseLeftMS)
	h.Meter.Gauge("shallotgap_applied_index", int64(o.Applied))
	h.Meter.Gauge("shallotgap_log_entries", int64(o.LogLength))
	h.Meter.Gauge("shallotgap_requests_queued", int64(o.Queued))
	h.Meter.Gauge("shallotgap_requests_running", int64(o.Running))
	h.Meter.Gauge("shallotgap_loads_waiting", int64(len(o.Wants)))
	h.Meter.Gauge("shallotgap_inbox_events", int64(len(h.inbox)))
	h.Meter.Gauge("shallotgap_disk_writes_waiting", int64(len(h.writes)))
	return nil
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
