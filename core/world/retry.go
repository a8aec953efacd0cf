package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Limits of retries.
const (
	// loadFailureAvoidance is how long an entry host routes no requests for an adapter to an engine that failed to load it.
	loadFailureAvoidance = time.Second
	// maxLoadAttempts is the number of engines tried for a request whose adapter fails to load.
	maxLoadAttempts = 3
)

// avoidKey identifies an adapter at an engine that failed to load it.
type avoidKey struct {
	endpoint ident.EndpointID
	model    ident.Model
}

// avoid records the engine that failed to load the adapter of a returned request.
func (w *World) avoid(r work.Request, refusal work.Refusal) {
	if refusal.Reason == work.LoadFailed {
		w.avoided[avoidKey{endpoint: ident.EndpointID(refusal.Peer), model: r.Model}] = w.now.Add(loadFailureAvoidance)
	}
}

// forgetAvoided removes the expired entries of avoided.
func (w *World) forgetAvoided() {
	for k, until := range w.avoided {
		if w.now >= until {
			delete(w.avoided, k)
		}
	}
}

// mayRetry reports whether a returned request may be routed again now. A retry after a failed load consumes retry budget and
// waits while the budget is empty. A retry after a change of owner is free, as a planned stop must not depend on the
// budget; from the second return on, the retry is delayed by a heartbeat interval, in which the new
// owner becomes known.
func (w *World) mayRetry(r returned) bool {
	if r.refusal.Reason == work.LoadFailed {
		return w.retryBudget.Take()
	}
	return r.request.Reroutes == 0 || w.now >= r.returnedAt.Add(w.Params.Heartbeat)
}
