package host

import (
	"context"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/world"
)

// countLoad counts the result of a load order and the eviction that came with it, and logs a failed load.
func (h *Host) countLoad(l world.Loaded) {
	result := "done"
	if l.Err != "" {
		result = "failed"
		h.Log.WithField("step", "load").WithField("peer", l.Endpoint).WithField("model", l.Model).WithField("cause", l.Err).Warn("load-failed")
	}
	h.Meter.Count("shallotgap_loads_total", "result", result)
	if l.Evicted != nil {
		h.Meter.Count("shallotgap_evictions_total")
	}
}

// loggedState is the state as of the latest log line about each of its fields; logChanges compares with it.
type loggedState struct {
	serving bool
	leader  ident.HostID
	stops   map[drain.StopID]drain.Phase
}

// logChanges logs changes of this host's lease, of the leader and of the phases of planned stops.
func (h *Host) logChanges() {
	if serving := h.world.Serving(); serving != h.logged.serving {
		h.logged.serving = serving
		if serving {
			h.Log.Info("lease-held")
		} else {
			h.Log.WithField("step", "renew").WithField("peer", h.world.Leader()).Warn("lease-lost")
		}
	}
	if leader := h.world.Leader(); leader != h.logged.leader {
		h.logged.leader = leader
		h.Log.WithField("leader", leader).Info("leader-changed")
	}
	h.logStops()
}

// logStops logs each planned stop that has entered a new phase or has been withdrawn.
func (h *Host) logStops() {
	phases := map[drain.StopID]drain.Phase{}
	for id, phase := range h.world.State().Stops.Phases() {
		phases[id] = phase
		if h.logged.stops[id] != phase {
			h.Log.WithField("stop", id).WithField("phase", phase).Info("stop-changed")
		}
	}
	for id := range h.logged.stops {
		if _, ok := phases[id]; !ok {
			h.Log.WithField("stop", id).Info("stop-withdrawn")
		}
	}
	h.logged.stops = phases
}

// UpdateGauges sets the gauges from the state of the decision core and the lengths of the queues.
func (h *Host) UpdateGauges(ctx context.Context) error {
	var o world.Overview
	if err := h.View(ctx, func(w *world.World) { o = w.Overview() }); err != nil {
		return err
	}
	h.Meter.Gauge("shallotgap_serving", boolGauge(o.Serving))
	h.Meter.Gauge("shallotgap_leading", boolGauge(o.Role == world.RoleLeader))
	h.Meter.Gauge("shallotgap_lease_left_milliseconds", o.LeaseLeftMS)
	h.Meter.Gauge("shallotgap_applied_index", int64(o.Applied))
	h.Meter.Gauge("shallotgap_log_entries", int64(o.LogLength))
	h.Meter.Gauge("shallotgap_requests_queued", int64(o.Queued))
	h.Meter.Gauge("shallotgap_requests_running", int64(o.Running))
	h.Meter.Gauge("shallotgap_loads_waiting", int64(len(o.Wants)))
	h.Meter.Gauge("shallotgap_inbox_events", int64(len(h.inbox)))
	h.Meter.Gauge("shallotgap_disk_writes_waiting", int64(h.writes.Len()))
	return nil
}

// boolGauge returns the value of a gauge that is 1 for true and 0 for false.
func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
