package place

import (
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
)

// Wants returns the wishes for the adapters that queued requests wait for and that are neither resident nor loading,
// in the order in which their first requests go.
func (s *Site) Wants(now ident.Time) []Want {
	if s.Kind != lease.Engine {
		return nil
	}
	var heads []*Item
	for m, group := range s.groups {
		if s.Slots[m] == nil {
			heads = append(heads, group[0])
		}
	}
	slices.SortFunc(heads, compareItems)
	list := make([]Want, 0, len(heads))
	for _, it := range heads {
		if _, ok := s.Room(now); !ok {
			break
		}
		list = append(list, s.want(it.Model))
	}
	return list
}

func (s *Site) want(m ident.Model) Want {
	return Want{Endpoint: s.ID, Model: m, Waiting: len(s.groups[m])}
}

// Wanted reports whether requests wait for an adapter that is neither resident nor loading.
func (s *Site) Wanted(m ident.Model) bool { return s.Slots[m] == nil && len(s.groups[m]) > 0 }

// Room returns whether a load can start, and the adapter to evict for it, if any.
func (s *Site) Room(now ident.Time) (evict *ident.Model, ok bool) {
	if len(s.Slots) < s.Owned.Slots {
		return nil, true
	}
	if now < s.FrozenUntil {
		return nil, false
	}
	var victim *Slot
	for _, slot := range s.Slots {
		if slot.Pins > 0 || slot.Loading || len(s.groups[slot.Model]) > 0 {
			continue
		}
		if victim == nil || goesBefore(slot, victim) {
			victim = slot
		}
	}
	if victim == nil {
		return nil, false
	}
	return &victim.Model, true
}

// goesBefore reports whether x is evicted before y.
func goesBefore(x, y *Slot) bool {
	if x.LastUse != y.LastUse {
		return x.LastUse < y.LastUse
	}
	return compareModels(x.Model, y.Model) < 0
}
