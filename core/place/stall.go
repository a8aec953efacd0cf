package place

import (
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// Missing reports whether a model is not resident, so that a request for it waits for a load.
func (s *Site) Missing(m ident.Model) bool {
	slot := s.Slots[m]
	return slot == nil || slot.Loading
}

// Waited returns for how long a request has waited at this site until now, and for what.
func (s *Site) Waited(it *Item, now ident.Time) work.Waited {
	w := work.Waited{Queue: now.Sub(it.Arrived)}
	if s.Kind != lease.Engine {
		return w
	}
	granted, resident := now, now
	if slot := s.Slots[it.Model]; slot != nil {
		granted = min(now, slot.GrantedAt)
		if !slot.Loading {
			resident = min(now, slot.ResidentAt)
		}
	}
	w.Stall = max(0, resident.Sub(it.Arrived))
	if w.Stall == 0 {
		return w
	}
	w.Cause = work.WaitedForLoad
	if granted.Sub(it.Arrived) > resident.Sub(granted) {
		w.Cause = work.WaitedForGrant
	}
	return w
}
