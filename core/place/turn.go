package place

import (
	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// UpdateClosedSlots closes slots for adapters that wait for one in vain: a closed slot starts no further requests, so that its
// adapter can be evicted once the running ones have ended. A slot is closed only for a request that goes before all
// that wait for the slot's own adapter.
func (s *Site) UpdateClosedSlots(now ident.Time) {
	taken, needed := 0, 0
	for _, it := range s.heads(now) {
		if !s.mayTurn(it, now) {
			continue
		}
		if taken < s.rooms(it.Urgency, now) {
			taken++
			continue
		}
		if needed < s.closed() || s.closeFor(it, now) {
			needed++
		}
	}
	s.reopen(needed, now)
}

// rooms counts the loads for requests of the urgency that could start now without a closed slot.
func (s *Site) rooms(u work.Urgency, now ident.Time) int {
	n := 0
	if !s.crowded(u) {
		n = s.Owned.Slots - len(s.Slots)
	}
	for _, slot := range s.Slots {
		if !slot.Closed && s.evictable(slot, u, now) {
			n++
		}
	}
	return n
}

// mayTurn reports whether a waiting request may take another adapter's slot: bulk only after a while, as each
// turn costs a load.
func (s *Site) mayTurn(it *Item, now ident.Time) bool {
	return it.Urgency > work.Bulk || now.Sub(it.Arrived) >= s.Turn
}

func (s *Site) closed() int {
	n := 0
	for _, slot := range s.Slots {
		if slot.Closed {
			n++
		}
	}
	return n
}

// closeFor closes the slot with the fewest running requests among those that may be taken for it.
func (s *Site) closeFor(it *Item, now ident.Time) bool {
	var best *Slot
	for _, slot := range s.Slots {
		if slot.Loading || slot.Closed || !s.yields(slot, it) {
			continue
		}
		if best == nil || slot.Pins < best.Pins || (slot.Pins == best.Pins && s.goesBefore(slot, best, now)) {
			best = slot
		}
	}
	if best != nil {
		best.Closed = true
	}
	return best != nil
}

func (s *Site) yields(slot *Slot, it *Item) bool {
	group := s.groups[slot.Model]
	return len(group) == 0 || it.before(group[0])
}

// reopen opens the closed slots beyond the number needed.
func (s *Site) reopen(needed int, now ident.Time) {
	for extra := s.closed() - needed; extra > 0; extra-- {
		var last *Slot
		for _, slot := range s.Slots {
			if slot.Closed && (last == nil || slot.Pins > last.Pins || (slot.Pins == last.Pins && s.goesBefore(last, slot, now))) {
				last = slot
			}
		}
		last.Closed = false
	}
}
