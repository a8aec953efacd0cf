package place

import (
	"time"

	"shallotgap/core/ident"
)

// Missing reports whether a model is neither resident nor needed by a plain service: a request for it waits for a load.
func (s *Site) Missing(m ident.Model) bool {
	slot := s.Slots[m]
	return slot == nil || slot.Loading
}

// Stall returns for how long a request that arrived at arrived has waited for its adapter until now.
func (s *Site) Stall(it *Item, now ident.Time) time.Duration {
	slot := s.Slots[it.Model]
	if slot == nil || slot.Loading {
		return now.Sub(it.Arrived)
	}
	return max(0, min(now, slot.ResidentAt).Sub(it.Arrived))
}
