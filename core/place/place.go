// Package place schedules the requests on the endpoints that a host owns: their queues, adapter slots, loads and evictions.
package place

import (
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/limit"
	"shallotgap/core/rows"
	"shallotgap/core/share"
	"shallotgap/core/work"
)

// Slot is an adapter slot of an engine: memory for one adapter, which is resident or being loaded.
type Slot struct {
	Model   ident.Model
	Loading bool
	// Pins is the number of requests that run on the adapter; an adapter with pins is never evicted.
	Pins    int
	LastUse ident.Time // latest start or end of a request on the adapter
	// Bulk is true while only bulk requests have used the adapter since its load.
	Bulk bool
	// Closed is true when no further requests may start on the adapter, so that it can be evicted for another one.
	Closed bool
	// GrantedAt and ResidentAt are the start and end of the load; both are 0 when the owner found the adapter resident.
	GrantedAt  ident.Time
	ResidentAt ident.Time
}

// Site is the scheduling state of one endpoint, kept by the host that owns it.
type Site struct {
	lease.Owned
	Policy
	Slots   map[ident.Model]*Slot
	Running int
	// BulkRunning is the number of bulk requests among Running.
	BulkRunning int
	// Queue holds the waiting requests in order of arrival.
	Queue []*Item
	// ResidencyKnown is true once the owner has read from the engine which adapters it holds; until then, it requests no loads.
	ResidencyKnown bool
	// AnnouncedLimit is the limit in the announcement that was last applied.
	AnnouncedLimit limit.Rate
	// LastHeartbeat is when the owner last received a heartbeat of the endpoint, or last proposed to remove the silent endpoint.
	LastHeartbeat ident.Time
	// FrozenUntil is the end of the time after a takeover in which no adapter is evicted, as requests of the previous owner may
	// still run.
	FrozenUntil ident.Time

	waiting      map[ident.Model][]*Item // the waiting requests of each adapter, in dispatch order
	fair         share.FairOrder
	runningByRow map[rows.RowKey]int // number of running requests of each row
	failed       failures
	seq          uint64
	uses         uses
	// meanRunTime is the moving average of the running times of requests.
	meanRunTime time.Duration
}

// NewSite returns the state of an endpoint that was taken over at now and whose adapters are not evicted before frozenUntil.
func NewSite(o lease.Owned, p Policy, now, frozenUntil ident.Time) *Site {
	return &Site{
		Owned:         o,
		Policy:        p,
		Slots:         map[ident.Model]*Slot{},
		LastHeartbeat: now,
		FrozenUntil:   frozenUntil,
		waiting:       map[ident.Model][]*Item{},
		uses:          uses{},
		failed:        failures{},
		runningByRow:  map[rows.RowKey]int{},
	}
}

// Identity returns the endpoint with its instance.
func (s *Site) Identity() ident.Instance { return ident.Instance{ID: s.ID, Born: s.Instance} }

// InOrder returns the queued requests in dispatch order.
func (s *Site) InOrder() []*Item { return slices.SortedFunc(slices.Values(s.Queue), compareItems) }

// Report is the state of an endpoint that its owner sends to the other hosts for routing.
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

// Report returns the current report, with each list of models sorted.
func (s *Site) Report() Report {
	r := Report{Endpoint: s.ID, Fence: s.Fence, Running: s.Running, Queued: len(s.Queue)}
	for m, slot := range s.Slots {
		if slot.Loading {
			r.Loading = append(r.Loading, m)
		} else {
			r.Resident = append(r.Resident, m)
		}
	}
	for m := range s.waiting {
		if s.Slots[m] == nil && s.Kind == lease.Engine {
			r.Waiting = append(r.Waiting, m)
		}
	}
	slices.SortFunc(r.Waiting, compareModels)
	slices.SortFunc(r.Resident, compareModels)
	slices.SortFunc(r.Loading, compareModels)
	return r
}

// Add appends a request to the queue and counts a use of its adapter.
func (s *Site) Add(item *Item) {
	s.seq++
	item.seq = s.seq
	item.fairTag = s.fair.Tag(item.Workspace, item.cost(), item.effectiveWeight())
	s.Queue = append(s.Queue, item)
	if s.HalfLife > 0 {
		s.uses.add(item.Model, item.Arrived, s.HalfLife)
	}
	group := s.waiting[item.Model]
	pos, _ := slices.BinarySearchFunc(group, item, compareItems)
	s.waiting[item.Model] = slices.Insert(group, pos, item)
}

// Residency returns whether an adapter is resident, whether it is being loaded, and whether requests wait for an adapter that is
// neither resident nor being loaded.
func (s *Site) Residency(m ident.Model) (resident, loading, waiting bool) {
	slot := s.Slots[m]
	return slot != nil && !slot.Loading, slot != nil && slot.Loading, slot == nil && len(s.waiting[m]) > 0
}

// IsQueued reports whether the request is in the queue.
func (s *Site) IsQueued(item *Item) bool { return slices.Contains(s.Queue, item) }

// Remove deletes a request from the queue; it does nothing if the request is not queued.
func (s *Site) Remove(id ident.RequestID) {
	i := slices.IndexFunc(s.Queue, func(item *Item) bool { return item.ID == id })
	if i < 0 {
		return
	}
	item := s.Queue[i]
	s.Queue = slices.Delete(s.Queue, i, i+1)
	group := slices.DeleteFunc(s.waiting[item.Model], func(x *Item) bool { return x == item })
	if len(group) == 0 {
		delete(s.waiting, item.Model)
		return
	}
	s.waiting[item.Model] = group
}

// Next returns the first waiting request in dispatch order that can be dispatched now, or nil. The batch must have room for the
// request, its adapter must be resident in a slot that is not closed, and allowed must return true for it.
func (s *Site) Next(allowed func(*Item) bool) *Item {
	if s.Running >= s.MaxRunning {
		return nil
	}
	if s.Kind == lease.Plain {
		return s.firstDispatchable(ident.Model{}, allowed)
	}
	var best *Item
	for m, slot := range s.Slots {
		if slot.Loading || slot.Closed {
			continue
		}
		if item := s.firstDispatchable(m, allowed); item != nil && (best == nil || item.before(best)) {
			best = item
		}
	}
	return best
}

// firstDispatchable returns the first waiting request for a model that fits into the batch and for which allowed is true, or nil.
func (s *Site) firstDispatchable(m ident.Model, allowed func(*Item) bool) *Item {
	for _, item := range s.waiting[m] {
		if !item.Claiming && s.hasBatchRoom(item.Urgency) && allowed(item) {
			return item
		}
	}
	return nil
}

// hasBatchRoom reports whether the batch has room for a request of the given urgency.
func (s *Site) hasBatchRoom(u work.Urgency) bool {
	if s.Running >= s.MaxRunning {
		return false
	}
	return u > work.Bulk || s.Kind == lease.Plain || s.BulkRunning < max(1, s.MaxRunning-s.UrgentPlaces)
}

// Start moves a request from the queue to the running ones and pins its adapter.
func (s *Site) Start(item *Item, now ident.Time) {
	s.Remove(item.ID)
	item.Running = true
	item.Started = now
	s.fair.Advance(item.fairTag)
	s.runningByRow[item.Row()]++
	s.Running++
	if item.Urgency == work.Bulk {
		s.BulkRunning++
	}
	if slot := s.Slots[item.Model]; slot != nil {
		item.slot = slot
		slot.Bulk = slot.Bulk && item.Urgency == work.Bulk
		slot.Pins++
		slot.LastUse = now
	}
}

// End undoes Start once the endpoint no longer runs the request. It unpins the slot that Start pinned: after a restart of the
// engine, the same adapter may be in another slot.
func (s *Site) End(item *Item, now ident.Time) {
	item.Running = false
	s.Running--
	if s.runningByRow[item.Row()]--; s.runningByRow[item.Row()] <= 0 {
		delete(s.runningByRow, item.Row())
	}
	s.recordRunTime(now.Sub(item.Started))
	if item.Urgency == work.Bulk {
		s.BulkRunning--
	}
	if item.slot != nil {
		item.slot.Pins--
		item.slot.LastUse = now
		item.slot = nil
	}
}

// RunningOf returns the number of running requests of a row.
func (s *Site) RunningOf(k rows.RowKey) int { return s.runningByRow[k] }

// ClearSlots removes all slots, because an engine that has restarted holds no adapters.
func (s *Site) ClearSlots() { s.Slots = map[ident.Model]*Slot{} }

// Urgency returns the highest urgency of the requests that wait for an adapter; Bulk when there are none.
func (s *Site) Urgency(m ident.Model) work.Urgency {
	if group := s.waiting[m]; len(group) > 0 {
		return group[0].Urgency
	}
	return work.Bulk
}
