package place

import (
	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// UpdateClosedSlots closes slots for adapters that requests wait for and that could not be loaded otherwise, and reopens slots
// that no longer need to be closed. No further requests start on a closed slot, so its adapter can be evicted once the running
// ones have ended. A slot is closed only for a request that comes before all requests that wait for the slot's own adapter.
func (s *Site) UpdateClosedSlots(now ident.Time) {
	placed, needed := 0, 0
	for _, item := range s.heads(now) {
		if !s.mayCloseSlot(item, now) {
			continue
		}
		if placed < s.loadableSlots(item.Urgency, now) {
			placed++
			continue
		}
		if needed < s.closedSlots() || s.closeSlotFor(item, now) {
			needed++
		}
	}
	s.reopen(needed, now)
}

// loadableSlots returns the number of loads for requests of the urgency that could start now without evicting from a closed slot.
func (s *Site) loadableSlots(u work.Urgency, now ident.Time) int {
	n := 0
	if !s.bulkAtLimit(u) {
		n = s.Owned.Slots - len(s.Slots)
	}
	for _, slot := range s.Slots {
		if !slot.Closed && s.evictable(slot, u, now) {
			n++
		}
	}
	return n
}

// mayCloseSlot reports whether a waiting request may close the slot of another adapter. A bulk request must have waited for
// Turn, because each change of adapter costs a load.
func (s *Site) mayCloseSlot(item *Item, now ident.Time) bool {
	return item.Urgency > work.Bulk || now.Sub(item.Arrived) >= s.Turn
}

func (s *Site) closedSlots() int {
	n := 0
	for _, slot := range s.Slots {
		if slot.Closed {
			n++
		}
	}
	return n
}

// closeSlotFor closes a slot for the request and reports whether it found one. It prefers the slot with the fewest running
// requests.
func (s *Site) closeSlotFor(item *Item, now ident.Time) bool {
	var best *Slot
	for _, slot := range s.Slots {
		if slot.Loading || slot.Closed || !s.yieldsTo(slot, item) {
			continue
		}
		if best == nil || slot.Pins < best.Pins || (slot.Pins == best.Pins && s.evictsBefore(slot, best, now)) {
			best = slot
		}
	}
	if best != nil {
		best.Closed = true
	}
	return best != nil
}

// yieldsTo reports whether the request comes before all requests that wait for the slot's adapter.
func (s *Site) yieldsTo(slot *Slot, item *Item) bool {
	group := s.waiting[slot.Model]
	return len(group) == 0 || item.before(group[0])
}

// reopen opens the closed slots beyond the needed number, those with the most running requests first.
func (s *Site) reopen(needed int, now ident.Time) {
	for extra := s.closedSlots() - needed; extra > 0; extra-- {
		var last *Slot
		for _, slot := range s.Slots {
			if slot.Closed && (last == nil || slot.Pins > last.Pins || (slot.Pins == last.Pins && s.evictsBefore(last, slot, now))) {
				last = slot
			}
		}
		last.Closed = false
	}
}
