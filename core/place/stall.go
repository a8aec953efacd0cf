package place

import (
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// Missing reports whether a model is not resident, so that a request for it has to wait for a load.
func (s *Site) Missing(m ident.Model) bool {
	slot := s.Slots[m]
	return slot == nil || slot.Loading
}

// Waited returns how long a request has waited at this endpoint up to the time now, and what caused most of its load stall.
func (s *Site) Waited(item *Item, now ident.Time) work.Waited {
	w := work.Waited{Queue: now.Sub(item.Arrived)}
	if s.Kind != lease.Engine {
		return w
	}
	granted, resident := now, now
	if slot := s.Slots[item.Model]; slot != nil {
		granted = min(now, slot.GrantedAt)
		if !slot.Loading {
			resident = min(now, slot.ResidentAt)
		}
	}
	w.Stall = max(0, resident.Sub(item.Arrived))
	if w.Stall == 0 {
		return w
	}
	w.Cause = work.WaitedForLoad
	if granted.Sub(item.Arrived) > resident.Sub(granted) {
		w.Cause = work.WaitedForGrant
	}
	return w
}
