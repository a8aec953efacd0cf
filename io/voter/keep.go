package voter

import (
	"context"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// keepEvery is how often a change of the endpoints is written down at most: a fraction of a heartbeat's interval.
const keepEvery = 500 * time.Millisecond

// recall takes the endpoints that this host knew before it started. A control host that leads after all of them lost their
// memory finds the endpoints there, and asks them what they hold; each counts until its next heartbeat is due.
func (v *Voter) recall() {
	var list []census.Entry
	if _, err := v.store.Cache().Read(&list); err != nil {
		v.Log.WithField("step", "recall").WithError(err).Warn("endpoints-not-read")
		return
	}
	heard := v.began.Add(min(-1, v.GrantParams.HeartbeatLag-v.GrantParams.HeartbeatTimeout))
	for _, e := range list {
		v.census.Observe(e, heard)
	}
	v.Log.WithField("step", "recall").WithField("endpoints", len(list)).Info("recalled")
}

// recalled reports whether an endpoint was not heard of since this host started.
func (v *Voter) recalled(e census.Entry) bool {
	return e.LastHeartbeat != 0 && e.LastHeartbeat < v.began
}

// heard returns the endpoints that others may be told of.
func (v *Voter) heard() []census.Entry { return slices.DeleteFunc(v.census.List(), v.recalled) }

// keepEndpoints writes the endpoints down when they change. It never holds up the loop or the log; a disk that fails is
// the log's to notice.
func (v *Voter) keepEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(keepEvery)
	defer ticker.Stop()
	var kept []ident.Instance
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var list []census.Entry
		if v.view(ctx, func() { list = v.census.Ready() }) != nil {
			return nil // the host stops
		}
		instances := make([]ident.Instance, len(list))
		for i, e := range list {
			instances[i] = e.Instance
		}
		if slices.Equal(instances, kept) {
			continue
		}
		begun := clock.Boot()
		err := v.store.Cache().Write(list)
		if err != nil && !failing {
			v.Log.WithField("step", "keep").WithField("endpoints", len(list)).WithError(err).Warn("endpoints-not-kept")
		}
		if failing = err != nil; failing {
			continue
		}
		kept = instances
		v.Log.WithField("step", "keep").WithField("endpoints", len(list)).WithField("took", clock.Boot().Sub(begun).String()).Debug("endpoints-kept")
	}
}
