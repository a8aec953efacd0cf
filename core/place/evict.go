package place

import (
	"cmp"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// LoadRequests returns the wishes for the adapters that queued requests wait for and that are neither resident nor loading,
// in the order in which their first requests go.
func (s *Site) LoadRequests(now ident.Time) []LoadRequest {
	if s.Kind != lease.Engine || !s.ResidencyKnown {
		return nil
	}
	var list []LoadRequest
	for _, it := range s.heads(now) {
		if _, ok := s.FindSlot(it.Urgency, now); ok {
			list = append(list, s.want(it, now))
		}
	}
	return list
}

// heads returns the first waiting request of each adapter that is neither resident nor loading, in order; those whose
// load failed a short time ago are left out.
func (s *Site) heads(now ident.Time) []*Item {
	var heads []*Item
	for m, group := range s.groups {
		if s.Slots[m] == nil && !s.failed.waits(m, now) {
			heads = append(heads, group[0])
		}
	}
	slices.SortFunc(heads, compareItems)
	return heads
}

// want describes the requests that wait for the adapter of head, the first of them.
func (s *Site) want(head *Item, now ident.Time) LoadRequest {
	group := s.groups[head.Model]
	w := LoadRequest{Endpoint: s.ID, Model: head.Model, Waiting: len(group), Urgency: head.Urgency, Slack: head.Deadline.Sub(now)}
	for _, it := range group {
		w.Weight += it.weight()
		if it.Urgency == head.Urgency {
			w.Slack = min(w.Slack, it.Deadline.Sub(now))
		}
	}
	return w
}

// NeedsLoad reports whether requests wait for an adapter that is neither resident nor loading.
func (s *Site) NeedsLoad(m ident.Model) bool { return s.Slots[m] == nil && len(s.groups[m]) > 0 }

// FindSlot returns whether a load for requests of the urgency can start, and the adapter to evict for it, if any.
func (s *Site) FindSlot(u work.Urgency, now ident.Time) (evict *ident.Model, ok bool) {
	if len(s.Slots) < s.Owned.Slots && !s.crowded(u) {
		return nil, true
	}
	var victim *Slot
	for _, slot := range s.Slots {
		if !s.evictable(slot, u, now) {
			continue
		}
		if victim == nil || s.goesBefore(slot, victim, now) {
			victim = slot
		}
	}
	if victim == nil {
		return nil, false
	}
	return &victim.Model, true
}

// crowded reports whether requests of the urgency have as many slots as they may.
func (s *Site) crowded(u work.Urgency) bool {
	return u == work.Bulk && s.bulkSlots() >= max(1, s.Owned.Slots-s.UrgentSlots)
}

// evictable reports whether a slot may be given up for requests of the urgency.
func (s *Site) evictable(slot *Slot, u work.Urgency, now ident.Time) bool {
	if now < s.FrozenUntil || slot.Pins > 0 || slot.Loading || s.awaited(slot) {
		return false
	}
	return slot.Bulk || !s.crowded(u)
}

// awaited reports whether requests wait for the slot's adapter that the slot still takes.
func (s *Site) awaited(slot *Slot) bool { return !slot.Closed && len(s.groups[slot.Model]) > 0 }

// bulkSlots counts the slots that only bulk requests use.
func (s *Site) bulkSlots() int {
	n := 0
	for _, slot := range s.Slots {
		if slot.Bulk {
			n++
		}
	}
	return n
}

// goesBefore reports whether x is evicted before y: that with the lower expected use.
func (s *Site) goesBefore(x, y *Slot, now ident.Time) bool {
	return cmp.Or(
		cmp.Compare(s.uses[x.Model].value(now, s.HalfLife), s.uses[y.Model].value(now, s.HalfLife)),
		cmp.Compare(x.LastUse, y.LastUse),
		compareModels(x.Model, y.Model),
	) < 0
}
