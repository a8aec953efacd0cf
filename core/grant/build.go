package grant

import (
	"slices"
	"time"

	"shallotgap/core/ident"
)

// reservation is how long an engine is kept for streams of its build without being reserved again: some reviews of a waiting request.
const reservation = 150 * time.Millisecond

// anyOfBuild reports whether a usable engine runs the build that began a stream.
func (t *Authority) anyOfBuild(a Ask, now ident.Time) bool {
	for _, e := range t.engines {
		if e.entry.Service == a.Service && e.entry.Build == a.Build && e.usable(now, t.Params) {
			return true
		}
	}
	return false
}

// mayWrite reports whether an engine may write to the stream of a request, by its build and reservations.
func (t *Authority) mayWrite(e *engine, a Ask, now ident.Time) bool {
	if t.builds != nil && !t.builds.Has(e.entry.Service, e.entry.Build) {
		return false // not replicated yet
	}
	if a.Bound {
		return e.entry.Build == a.Build
	}
	return now >= e.reservedUntil
}

// isNarrow reports whether a stream may go on at a part of the engines only.
func (t *Authority) isNarrow(a Ask) bool {
	return a.Bound && t.builds != nil && t.builds.Mixed(a.Service)
}

// reserveEngine keeps new streams off one engine of the build that a stream waits for, so that a place becomes free there. Streams that
// wait for the same build share the engine.
func (t *Authority) reserveEngine(w *waiter, now ident.Time) {
	var best *engine
	for _, e := range t.enginesByID() {
		if e.entry.Service != w.ask.Service || e.entry.Build != w.ask.Build || !e.usable(now, t.Params) || slices.Contains(w.ask.Avoid, e.entry.Instance.ID) {
			continue
		}
		if e.reservedUntil > now {
			best = e
			break
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	if best != nil {
		best.reservedUntil = now.Add(reservation)
	}
}
