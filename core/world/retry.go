package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Bounds of retries.
const (
	// avoidFor is how long an entry host does not send an adapter's requests to an engine that failed to load it.
	avoidFor = time.Second
	// maxTries is the number of engines that are tried for a request whose adapter fails to load.
	maxTries = 3
)

// avoidKey names an adapter at an engine that failed to load it.
type avoidKey struct {
	endpoint ident.EndpointID
	model    ident.Model
}

// avoid notes the engine at which a returned request's adapter failed to load.
func (w *World) avoid(r work.Request, why work.Refusal) {
	if why.Reason == work.LoadFailed {
		w.avoided[avoidKey{endpoint: ident.EndpointID(why.Peer), model: r.Model}] = w.now.Add(avoidFor)
	}
}

// forgetAvoided drops what need not be avoided any longer.
func (w *World) forgetAvoided() {
	for k, until := range w.avoided {
		if w.now >= until {
			delete(w.avoided, k)
		}
	}
}

// mayRetry reports whether a returned request may be sent again now. A retry after a failed load takes from the
// budget and waits while that is empty. A move to another owner is free, since a planned stop must not depend on a
// budget; a second one waits for a heartbeat, in which the news of the owner arrives.
func (w *World) mayRetry(r returned) bool {
	if r.refusal.Reason == work.LoadFailed {
		return w.retries.Take()
	}
	return r.request.Reroutes == 0 || w.now >= r.at.Add(w.Params.Heartbeat)
}
