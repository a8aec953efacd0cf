// Package place keeps what runs, waits and is resident on the endpoints that a host owns.
package place

import (
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/rows"
	"shallotgap/core/share"
	"shallotgap/core/work"
)

// Slot is an adapter on an engine.
type Slot struct {
	Model   ident.Model
	Loading bool
	// Pins counts the requests running on the adapter; a pinned one is never evicted.
	Pins    int
	LastUse ident.Time
	// Bulk is true while only bulk requests have used the adapter since its load.
	Bulk bool
	// Closed slots start no further requests, so that another adapter gets its turn.
	Closed bool
	// GrantedAt and ResidentAt are when the load began and ended; 0 when the adapter was found resident.
	GrantedAt  ident.Time
	ResidentAt ident.Time
}

// Site is an owned endpoint with what its owner knows of it.
type Site struct {
	lease.Owned
	Policy
	Slots   map[ident.Model]*Slot
	Running int
	// BulkRunning counts the bulk requests among Running.
	BulkRunning int
	// Queue holds the waiting requests in order of arrival.
	Queue []*Item
	// ResidencyKnown is set once the owner has read what the engine holds; before, it orders nothing.
	ResidencyKnown bool
	// LastHeartbeat is when the endpoint last announced itself.
	LastHeartbeat ident.Time
	// FrozenUntil bars evictions after a take-over, while requests of the former owner may run.
	FrozenUntil ident.Time

	groups map[ident.Model][]*Item // the waiting requests of each adapter, in the order in which they go
	fair   share.FairOrder
	rows   map[rows.RowKey]int // running requests of each row
	failed failures
	seq    uint64
	uses   uses
	// meanRun is the mean running time of the latest requests.
	meanRun time.Duration
}

// NewSite returns a site taken over at now.
func NewSite(o lease.Owned, p Policy, now, frozenUntil ident.Time) *Site {
	return &Site{Owned: o, Policy: p, Slots: map[ident.Model]*Slot{}, LastHeartbeat: now, FrozenUntil: frozenUntil, groups: map[ident.Model][]*Item{}, uses: uses{}, failed: failures{}, rows: map[rows.RowKey]int{}}
}

// Report is what an owner tells the other hosts about a site.
type Report struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Fence    ident.Fence      `json:"fence"`
	Resident []ident.Model    `json:"resident,omitempty"`
	Loading  []ident.Model    `json:"loading,omitempty"`
	// Waiting are the models that requests wait for and that are neither resident nor loading.
	Waiting []ident.Model `json:"waiting,omitempty"`
	Running int           `json:"running"`
	Queued  int           `json:"queued"`
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
	for m := range s.groups {
		if s.Slots[m] == nil && s.Kind == lease.Engine {
			r.Waiting = append(r.Waiting, m)
		}
	}
	slices.SortFunc(r.Waiting, compareModels)
	slices.SortFunc(r.Resident, compareModels)
	slices.SortFunc(r.Loading, compareModels)
	return r
}

// Add queues a request.
func (s *Site) Add(it *Item) {
	s.seq++
	it.seq = s.seq
	it.tag = s.fair.Tag(it.Workspace, it.cost(), it.weight())
	s.Queue = append(s.Queue, it)
	if s.HalfLife > 0 {
		s.uses.add(it.Model, it.Arrived, s.HalfLife)
	}
	group := s.groups[it.Model]
	at, _ := slices.BinarySearchFunc(group, it, compareItems)
	s.groups[it.Model] = slices.Insert(group, at, it)
}

// Residency tells whether an adapter is resident, being loaded, or waited for here.
func (s *Site) Residency(m ident.Model) (resident, loading, waiting bool) {
	slot := s.Slots[m]
	return slot != nil && !slot.Loading, slot != nil && slot.Loading, slot == nil && len(s.groups[m]) > 0
}

// IsQueued reports whether the request waits here.
func (s *Site) IsQueued(it *Item) bool { return slices.Contains(s.Queue, it) }

// Remove takes a request out of the queue.
func (s *Site) Remove(id ident.RequestID) {
	i := slices.IndexFunc(s.Queue, func(it *Item) bool { return it.ID == id })
	if i < 0 {
		return
	}
	it := s.Queue[i]
	s.Queue = slices.Delete(s.Queue, i, i+1)
	group := slices.DeleteFunc(s.groups[it.Model], func(x *Item) bool { return x == it })
	if len(group) == 0 {
		delete(s.groups, it.Model)
		return
	}
	s.groups[it.Model] = group
}

// Next returns the waiting request that goes first among those that could be dispatched now, or nil: there is room
// in the batch, its adapter is resident, and may allows it.
func (s *Site) Next(may func(*Item) bool) *Item {
	if s.Running >= s.MaxRunning {
		return nil
	}
	if s.Kind == lease.Plain {
		return s.first(ident.Model{}, may)
	}
	var best *Item
	for m, slot := range s.Slots {
		if slot.Loading || slot.Closed {
			continue
		}
		if it := s.first(m, may); it != nil && (best == nil || it.before(best)) {
			best = it
		}
	}
	return best
}

// first returns the first dispatchable request of an adapter.
func (s *Site) first(m ident.Model, may func(*Item) bool) *Item {
	for _, it := range s.groups[m] {
		if !it.Claiming && s.hasPlace(it.Urgency) && may(it) {
			return it
		}
	}
	return nil
}

// hasPlace reports whether the batch has room for a request of the urgency.
func (s *Site) hasPlace(u work.Urgency) bool {
	if s.Running >= s.MaxRunning {
		return false
	}
	return u > work.Bulk || s.Kind == lease.Plain || s.BulkRunning < max(1, s.MaxRunning-s.UrgentPlaces)
}

// Start pins the adapter and counts the request as running.
func (s *Site) Start(it *Item, now ident.Time) {
	s.Remove(it.ID)
	it.Running = true
	it.Started = now
	s.fair.Advance(it.tag)
	s.rows[it.Row()]++
	s.Running++
	if it.Urgency == work.Bulk {
		s.BulkRunning++
	}
	if slot := s.Slots[it.Model]; slot != nil {
		it.slot = slot
		slot.Bulk = slot.Bulk && it.Urgency == work.Bulk
		slot.Pins++
		slot.LastUse = now
	}
}

// End undoes Start once nothing of the request runs at the endpoint any more. The slot is the one that the request
// pinned: a restarted engine may hold the same adapter in a new one.
func (s *Site) End(it *Item, now ident.Time) {
	it.Running = false
	s.Running--
	if s.rows[it.Row()]--; s.rows[it.Row()] <= 0 {
		delete(s.rows, it.Row())
	}
	s.learn(now.Sub(it.Started))
	if it.Urgency == work.Bulk {
		s.BulkRunning--
	}
	if it.slot != nil {
		it.slot.Pins--
		it.slot.LastUse = now
		it.slot = nil
	}
}

// RunningOf returns the number of running requests of a row.
func (s *Site) RunningOf(k rows.RowKey) int { return s.rows[k] }

// ClearSlots empties the slots of an engine that has started anew.
func (s *Site) ClearSlots() { s.Slots = map[ident.Model]*Slot{} }

// Urgency returns the highest urgency of the requests that wait for an adapter.
func (s *Site) Urgency(m ident.Model) work.Urgency {
	if group := s.groups[m]; len(group) > 0 {
		return group[0].Urgency
	}
	return work.Bulk
}
