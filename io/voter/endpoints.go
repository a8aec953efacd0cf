package voter

import (
	"context"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/disk"
)

// saveInterval is the interval of checks for a change of the endpoints to save: a fraction of a heartbeat interval.
const saveInterval = 500 * time.Millisecond

// restoreEndpoints adds the endpoints saved before the restart to the census. Without them, a leader would know no endpoint
// after all control hosts restarted at once; with them, it can request reports of their adapters. A restored endpoint expires
// unless its next heartbeat arrives in time.
func (v *Voter) restoreEndpoints() {
	var list []census.Entry
	if _, err := v.store.Endpoints().Read(&list); err != nil {
		v.Log.WithField("step", "recall").WithError(err).Warn("endpoints-not-read")
		return
	}
	lastHeartbeat := v.startedAt.Add(min(-1, v.GrantParams.HeartbeatLag-v.GrantParams.HeartbeatTimeout))
	for _, e := range list {
		if err := e.Check(time.Now()); err != nil {
			v.rejectOdd(e, err)
			continue
		}
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

// saveEndpoints writes the ready endpoints to disk when they change.
func (v *Voter) saveEndpoints(ctx context.Context) error {
	return saveChanges(ctx, v, savedList[census.Entry, ident.Instance]{
		what: "endpoints", cache: v.store.Endpoints(),
		list: func() []census.Entry { return v.census.Ready() },
		key:  func(e census.Entry) ident.Instance { return e.Instance },
	})
}

// savedList is a list that a control host keeps on disk.
type savedList[T any, K comparable] struct {
	what  string // for the log
	cache disk.Cache
	list  func() []T // called in the loop
	key   func(T) K  // identifies an item; the list is written when the keys change
}

// saveChanges writes a list to disk when it changes. A failed write is only logged, since the log's own writes detect a failed disk.
// The writes block neither the loop nor the log.
func saveChanges[T any, K comparable](ctx context.Context, v *Voter, s savedList[T, K]) error {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	var saved []K
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var list []T
		if v.runInLoop(ctx, func() { list = s.list() }) != nil {
			return nil // the host is stopping
		}
		keys := make([]K, len(list))
		for i, item := range list {
			keys[i] = s.key(item)
		}
		if slices.Equal(keys, saved) {
			continue
		}
		start := clock.Boot()
		err := s.cache.Write(list)
		if err != nil && !failing {
			v.Log.WithField("step", "keep").WithField(s.what, len(list)).WithError(err).Warn(s.what + "-not-kept")
		}
		if failing = err != nil; failing {
			continue
		}
		saved = keys
		v.Log.WithField("step", "keep").WithField(s.what, len(list)).WithField("took", clock.Boot().Sub(start).String()).Debug(s.what + "-kept")
	}
}
