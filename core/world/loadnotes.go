package world

import (
	"fmt"

	"shallotgap/core/ident"
	"shallotgap/core/place"
)

// noteLoad records a step of a load for every request that waits for the load, for operators who ask why a request waited.
func (w *World) noteLoad(site *place.Site, m ident.Model, cause string) {
	for _, item := range site.Queue {
		if item.Model == m {
			w.note(item.ID, "load", cause, string(site.ID))
		}
	}
}

// loadGrantCause describes a granted load, with the adapter that is evicted for it, if any.
func loadGrantCause(evict *ident.Model) string {
	if evict == nil {
		return "granted by the leader; a slot was free"
	}
	return fmt.Sprintf("granted by the leader; %s is evicted for it", evict)
}
