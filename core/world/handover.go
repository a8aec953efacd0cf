package world

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
)

// Pin is a request that runs at an endpoint for a host which no longer owns it.
type Pin struct {
	Request ident.RequestID `json:"request"`
	Model   ident.Model     `json:"model"`
}

// Handover tells the present owner of an endpoint all that still runs there for the sender; each list replaces
// the former one. Complete is set when nothing runs there for the owners before the sender.
type Handover struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Complete bool             `json:"complete"`
	Pins     []Pin            `json:"pins,omitempty"`
}

// handoverEvery is the interval between the lists of a former owner.
const handoverInterval = 200 * time.Millisecond

// emptyLists is how often a former owner says that nothing runs any more, since a list can get lost.
const emptyHandovers = 5

// leftSite is an endpoint that this host gave up.
type formerSite struct {
	complete  bool
	running   map[ident.RequestID]ident.Model
	nextSend  ident.Time // when the next list is due
	emptySent int        // empty lists sent
}

// takenSite is what an owner knows of work that former owners still run at its endpoint.
type takeover struct {
	startedAt   ident.Time
	nextInspect ident.Time
	nextDepart  ident.Time
	pins        map[ident.HostID][]*place.Slot
}

// leaveSite remembers what still runs at an endpoint that this host no longer owns, and tells its successor.
func (w *World) recordFormerSite(site *place.Site) {
	former := &formerSite{complete: w.now >= site.FrozenUntil, running: map[ident.RequestID]ident.Model{}, nextSend: w.now}
	if earlier := w.formerSites[site.ID]; earlier != nil {
		maps.Copy(former.running, earlier.running)
	}
	if taken := w.takeovers[site.ID]; taken != nil && len(taken.pins) > 0 {
		former.complete = false
	}
	for id, item := range w.items {
		if item.Endpoint == site.ID && item.Running {
			former.running[id] = item.Model
			w.orphaned[id] = true
		}
	}
	delete(w.takeovers, site.ID)
	w.formerSites[site.ID] = former
}

// handOver sends the lists that are due.
func (w *World) sendHandovers() {
	for _, id := range sortedKeys(w.formerSites) {
		former := w.formerSites[id]
		e, ok := w.state.Owners.Get(id)
		if !ok || former.emptySent >= emptyHandovers {
			delete(w.formerSites, id)
			continue
		}
		if w.now < former.nextSend || e.Owner == "" {
			continue
		}
		former.nextSend = w.now.Add(handoverInterval)
		if len(former.running) == 0 {
			former.emptySent++
		}
		w.send(e.Owner, Message{Handover: &Handover{Endpoint: id, Complete: former.complete, Pins: former.pins()}})
	}
}

func (l *formerSite) pins() []Pin {
	list := make([]Pin, 0, len(l.running))
	for id, m := range l.running {
		list = append(list, Pin{Request: id, Model: m})
	}
	slices.SortFunc(list, func(x, y Pin) int { return compareRequests(x.Request, y.Request) })
	return list
}

func compareRequests(x, y ident.RequestID) int {
	return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Seq, y.Seq))
}

// endStray takes the end of a request that ran at an endpoint which this host gave up, and reports whether it did.
func (w *World) endOrphaned(item *place.Item) bool {
	if !w.orphaned[item.ID] {
		return false
	}
	delete(w.orphaned, item.ID)
	if former := w.formerSites[item.Endpoint]; former != nil {
		delete(former.running, item.ID)
		former.nextSend = w.now
	}
	return true
}

// handedOver pins what a former owner still runs at an endpoint of this host. Its list also ends the bar on
// evictions, if the sender is the owner right before this one and knows all that runs.
func (w *World) receiveHandover(from ident.HostID, h Handover) {
	site := w.sites[h.Endpoint]
	taken := w.takeovers[h.Endpoint]
	if site == nil || taken == nil {
		return
	}
	for _, slot := range taken.pins[from] {
		slot.Pins--
	}
	delete(taken.pins, from)
	for _, p := range h.Pins {
		if site.Kind != lease.Engine {
			break
		}
		slot := site.Slots[p.Model]
		if slot == nil {
			slot = &place.Slot{Model: p.Model, LastUse: w.now}
			site.Slots[p.Model] = slot
		}
		slot.Pins++
		taken.pins[from] = append(taken.pins[from], slot)
	}
	if h.Complete && from == site.Previous {
		site.FrozenUntil = min(site.FrozenUntil, w.now)
	}
}

// inspectEvery is the interval at which an owner reads an endpoint's state while evictions are barred.
const inspectInterval = time.Second

// inspectFrozen reads the state of an endpoint again, until a report newer than the take-over shows nothing running.
func (w *World) inspectFrozen(site *place.Site) {
	taken := w.takeovers[site.ID]
	if taken == nil || site.Kind != lease.Engine || w.now >= site.FrozenUntil || w.now < taken.nextInspect {
		return
	}
	taken.nextInspect = w.now.Add(inspectInterval)
	w.emit(Effect{Inspect: &Inspect{Endpoint: site.Owned}})
}

// settled reports whether no former owner can still send work to an endpoint of this host: there was none, or it
// has had to follow the table or lose its lease since.
func (w *World) formerOwnersGone(site *place.Site) bool {
	t := w.Params.Lease
	taken := w.takeovers[site.ID]
	return site.Previous == "" || taken == nil || w.now.Sub(taken.startedAt) > t.Length+t.Margin+t.Spread+inspectInterval
}
