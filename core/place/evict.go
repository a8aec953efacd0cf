package place

import (
	"cmp"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// LoadRequests returns a load request for each adapter that queued requests wait for and that is neither resident nor loading,
// provided that a slot is free or can be freed. The list is in the dispatch order of the first request for each adapter.
func (s *Site) LoadRequests(now ident.Time) []LoadRequest {
	if s.Kind != lease.Engine || !s.ResidencyKnown {
		return nil
	}
	var list []LoadRequest
	for _, item := range s.heads(now) {
		if _, ok := s.FindSlot(item.Urgency, now); ok {
			list = append(list, s.loadRequest(item, now))
		}
	}
	return list
}

// heads returns the first waiting request for each adapter that is neither resident nor loading, in dispatch order. Adapters in
// backoff after a failed load are left out.
func (s *Site) heads(now ident.Time) []*Item {
	var heads []*Item
	for m, group := range s.waiting {
		if s.Slots[m] == nil && !s.failed.backingOff(m, now) {
			heads = append(heads, group[0])
		}
	}
	slices.SortFunc(heads, compareItems)
	return heads
}

// loadRequest returns the load request for the adapter of head, which is the first request that waits for it.
func (s *Site) loadRequest(head *Item, now ident.Time) LoadRequest {
	group := s.waiting[head.Model]
	r := LoadRequest{Endpoint: s.ID, Model: head.Model, Waiting: len(group), Urgency: head.Urgency, Slack: head.Deadline.Sub(now)}
	for _, item := range group {
		r.Weight += item.effectiveWeight()
		if item.Urgency == head.Urgency {
			r.Slack = min(r.Slack, item.Deadline.Sub(now))
		}
	}
	return r
}

// NeedsLoad reports whether requests wait for an adapter that is neither resident nor loading.
func (s *Site) NeedsLoad(m ident.Model) bool { return s.Slots[m] == nil && len(s.waiting[m]) > 0 }

// FindSlot reports whether a load for requests of the given urgency can start now, and returns the adapter to evict first;
// evict is nil when a slot is free.
func (s *Site) FindSlot(u work.Urgency, now ident.Time) (evict *ident.Model, ok bool) {
	if len(s.Slots) < s.Owned.Slots && !s.bulkAtLimit(u) {
		return nil, true
	}
	var victim *Slot
	for _, slot := range s.Slots {
		if !s.evictable(slot, u, now) {
			continue
		}
		if victim == nil || s.evictsBefore(slot, victim, now) {
			victim = slot
		}
	}
	if victim == nil {
		return nil, false
	}
	return &victim.Model, true
}

// bulkAtLimit reports whether bulk requests have used up the slots that they may take. It is false for other urgencies.
func (s *Site) bulkAtLimit(u work.Urgency) bool {
	return u == work.Bulk && s.bulkSlots() >= max(1, s.Owned.Slots-s.UrgentSlots)
}

// evictable reports whether a slot's adapter may be evicted for requests of the given urgency.
func (s *Site) evictable(slot *Slot, u work.Urgency, now ident.Time) bool {
	if now < s.FrozenUntil || slot.Pins > 0 || slot.Loading || s.hasWaiting(slot) {
		return false
	}
	return slot.Bulk || !s.bulkAtLimit(u)
}

// hasWaiting reports whether requests wait for the slot's adapter and may still start on the slot.
func (s *Site) hasWaiting(slot *Slot) bool { return !slot.Closed && len(s.waiting[slot.Model]) > 0 }

// bulkSlots returns the number of slots that only bulk requests have used.
func (s *Site) bulkSlots() int {
	n := 0
	for _, slot := range s.Slots {
		if slot.Bulk {
			n++
		}
	}
	return n
}

// evictsBefore reports whether x is evicted before y: the lower expected use first, then the least recently used.
func (s *Site) evictsBefore(x, y *Slot, now ident.Time) bool {
	return cmp.Or(
		cmp.Compare(s.uses[x.Model].value(now, s.HalfLife), s.uses[y.Model].value(now, s.HalfLife)),
		cmp.Compare(x.LastUse, y.LastUse),
		compareModels(x.Model, y.Model),
	) < 0
}
