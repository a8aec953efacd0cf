package grant

import (
	"time"

	"shallotgap/core/ident"
)

// expire ends requests whose end was never reported, removes engines without a sign of life for forgetAfter, and trims the
// estimated prompt caches.
func (t *Authority) expire(now ident.Time) {
	for id, e := range t.engines {
		for rid, r := range e.running {
			if now > r.endBy.Add(endGracePeriod) {
				e.endRun(rid)
				delete(t.placements, rid)
			}
		}
		if now.Sub(e.entry.LastHeartbeat) > forgetAfter {
			e.removeFromIndex()
			delete(t.engines, id)
			t.sortedByID = nil
		}
		if service, ok := t.layout.Service(e.entry.Service); ok && service.Engine != nil {
			e.promptCache.trim(service.Engine.Memory * 7 / 10) // running requests need the remaining 30%
		}
	}
}

// Intervals and limits of housekeeping.
const (
	endGracePeriod    = 2 * time.Second // an entry host reports the end of a request within a second after its deadline
	forgetAfter       = time.Minute     // time without a sign of life after which an engine is removed; the census keeps it as long
	expireEvery       = 100 * time.Millisecond
	storeRankingEvery = 20 * time.Millisecond // short compared to the duration of a load
	scanEvery         = 5 * time.Millisecond  // interval of scans over all engines; steps are far more frequent
	// scanPerEngine is added per engine, so that scans use a few hundredths of a CPU at any number of engines.
	scanPerEngine = 10 * time.Microsecond
)
