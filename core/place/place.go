// Package place keeps what runs, waits and is resident on the endpoints that a host owns.
package place

import (
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
)

// Item is a request at its owner.
type Item struct {
	work.Request
	// From is the entry host that the caller is connected to.
	From     ident.HostID
	Endpoint ident.EndpointID
	Arrived  ident.Time
	Deadline ident.Time
	// Claimed is set once the claim of an unrepeatable request is committed.
	Claimed  bool
	Claiming bool
	Running  bool
}

// Slot is an adapter on an engine.
type Slot struct {
	Model   ident.Model
	Loading bool
	// Pins counts the requests running on the adapter; a pinned one is never evicted.
	Pins    int
	LastUse ident.Time
	// GrantedAt and ResidentAt are when the load began and ended; 0 when the adapter was found resident.
	GrantedAt  ident.Time
	ResidentAt ident.Time
}

// Site is an owned endpoint with what its owner knows of it.
type Site struct {
	lease.Owned
	Slots   map[ident.Model]*Slot
	Running int
	Queue   []*Item
	// Heard is when the endpoint last announced itself.
	Heard ident.Time
	// FrozenUntil bars evictions after a take-over, while requests of the former owner may run.
	FrozenUntil ident.Time
}

// NewSite returns a site taken over at now.
func NewSite(o lease.Owned, now, frozenUntil ident.Time) *Site {
	return &Site{Owned: o, Slots: map[ident.Model]*Slot{}, Heard: now, FrozenUntil: frozenUntil}
}

// Report is what an owner tells the other hosts about a site.
type Report struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Fence    ident.Fence      `json:"fence"`
	Resident []ident.Model    `json:"resident,omitempty"`
	Loading  []ident.Model    `json:"loading,omitempty"`
	Running  int              `json:"running"`
	Queued   int              `json:"queued"`
}

// Report returns the site's current report, with models in order.
func (s *Site) Report() Report {
	r := Report{Endpoint: s.ID, Fence: s.Fence, Running: s.Running, Queued: len(s.Queue)}
	for m, slot := range s.Slots {
		if slot.Loading {
			r.Loading = append(r.Loading, m)
		} else {
			r.Resident = append(r.Resident, m)
		}
	}
	slices.SortFunc(r.Resident, compareModels)
	slices.SortFunc(r.Loading, compareModels)
	return r
}

func compareModels(x, y ident.Model) int {
	if x.Adapter != y.Adapter {
		if x.Adapter < y.Adapter {
			return -1
		}
		return 1
	}
	if x.Version < y.Version {
		return -1
	}
	if x.Version > y.Version {
		return 1
	}
	return 0
}

// Add queues a request: the more urgent first, then in order of arrival.
func (s *Site) Add(it *Item) {
	at := len(s.Queue)
	for at > 0 && s.Queue[at-1].Urgency < it.Urgency {
		at--
	}
	s.Queue = slices.Insert(s.Queue, at, it)
}

// Remove takes a request out of the queue.
func (s *Site) Remove(id ident.RequestID) {
	s.Queue = slices.DeleteFunc(s.Queue, func(it *Item) bool { return it.ID == id })
}

// Ready reports whether the request could be dispatched now: room in the batch and the adapter resident.
func (s *Site) Ready(it *Item) bool {
	if s.Running >= s.MaxRunning {
		return false
	}
	if s.Kind == lease.Plain {
		return true
	}
	slot := s.Slots[it.Model]
	return slot != nil && !slot.Loading
}

// Start pins the adapter and counts the request as running.
func (s *Site) Start(it *Item, now ident.Time) {
	s.Remove(it.ID)
	it.Running = true
	s.Running++
	if slot := s.Slots[it.Model]; slot != nil {
		slot.Pins++
		slot.LastUse = now
	}
}

// End undoes Start once nothing of the request runs at the endpoint any more.
func (s *Site) End(it *Item, now ident.Time) {
	it.Running = false
	s.Running--
	if slot := s.Slots[it.Model]; slot != nil {
		slot.Pins--
		slot.LastUse = now
	}
}

// Wants returns the models that queued requests wait for and that are neither resident nor loading.
func (s *Site) Wants() []ident.Model {
	var list []ident.Model
	if s.Kind != lease.Engine {
		return nil
	}
	for _, it := range s.Queue {
		if s.Slots[it.Model] == nil && !slices.Contains(list, it.Model) {
			list = append(list, it.Model)
		}
	}
	return list
}

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
		if slot.Pins > 0 || slot.Loading || s.waitedFor(slot.Model) {
			continue
		}
		if victim == nil || slot.LastUse < victim.LastUse {
			victim = slot
		}
	}
	if victim == nil {
		return nil, false
	}
	return &victim.Model, true
}

func (s *Site) waitedFor(m ident.Model) bool {
	return slices.ContainsFunc(s.Queue, func(it *Item) bool { return it.Model == m })
}
