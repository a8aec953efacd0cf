package voter

import (
	"context"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// saveInterval is the interval of checks for a change of the endpoints to save: a fraction of a heartbeat interval.
const saveInterval = 500 * time.Millisecond

// restoreEndpoints adds the endpoints saved before the restart to the census. Without them, a leader would know no endpoint
// after all control hosts restarted at once; with them, it can request reports of their adapters. A restored endpoint expires
// unless its next heartbeat arrives in time.
func (v *Voter) restoreEndpoints() {
	var list []census.Entry
	if _, err := v.store.Cache().Read(&list); err != nil {
		v.Log.WithField("step", "recall").WithError(err).Warn("endpoints-not-read")
		return
	}
	lastHeartbeat := v.startedAt.Add(min(-1, v.GrantParams.HeartbeatLag-v.GrantParams.HeartbeatTimeout))
	for _, e := range list {
		v.census.Observe(e, lastHeartbeat)
	}
	v.Log.WithField("step", "recall").WithField("endpoints", len(list)).Info("recalled")
}

// onlyRestored reports whether an endpoint was restored from disk and has sent no heartbeat since this host started.
func (v *Voter) onlyRestored(e census.Entry) bool {
	return e.LastHeartbeat != 0 && e.LastHeartbeat < v.startedAt
}

// heardEndpoints returns the endpoints that sent a heartbeat since this host started. Only these are sent to other hosts.
func (v *Voter) heardEndpoints() []census.Entry {
	return slices.DeleteFunc(v.census.List(), v.onlyRestored)
}

// saveEndpoints writes the ready endpoints to disk when they change. A failed write is only logged, since the log's own
// writes detect a failed disk. The writes block neither the loop nor the log.
func (v *Voter) saveEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	var saved []ident.Instance
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var list []census.Entry
		if v.runInLoop(ctx, func() { list = v.census.Ready() }) != nil {
			return nil // the host is stopping
		}
		instances := make([]ident.Instance, len(list))
		for i, e := range list {
			instances[i] = e.Instance
		}
		if slices.Equal(instances, saved) {
			continue
		}
		start := clock.Boot()
		err := v.store.Cache().Write(list)
		if err != nil && !failing {
			v.Log.WithField("step", "keep").WithField("endpoints", len(list)).WithError(err).Warn("endpoints-not-kept")
		}
		if failing = err != nil; failing {
			continue
		}
		saved = instances
		v.Log.WithField("step", "keep").WithField("endpoints", len(list)).WithField("took", clock.Boot().Sub(start).String()).Debug("endpoints-kept")
	}
}
