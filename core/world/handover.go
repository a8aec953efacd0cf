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

// Pin is a request that a former owner still runs at an endpoint; it protects the request's adapter from eviction.
type Pin struct {
	Request ident.RequestID `json:"request"`
	Model   ident.Model     `json:"model"`
}

// Handover lists the requests that the sender, a former owner of an endpoint, still runs there. It goes to the present
// owner and replaces the sender's previous list. Complete is true when no owner before the sender runs requests there either.
type Handover struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Complete bool             `json:"complete"`
	Pins     []Pin            `json:"pins,omitempty"`
}

// handoverInterval is the interval at which a former owner sends its list.
const handoverInterval = 200 * time.Millisecond

// emptyHandovers is the number of times that a former owner sends an empty list, as a single message may be lost.
const emptyHandovers = 5

// formerSite is an endpoint that this host no longer owns.
type formerSite struct {
	complete  bool // value of Handover.Complete
	running   map[ident.RequestID]ident.Model
	nextSend  ident.Time // when the next Handover is due
	emptySent int        // number of empty lists sent
}

// takeover tracks the requests that former owners still run at an endpoint that this host owns now.
type takeover struct {
	startedAt   ident.Time
	nextInspect ident.Time
	nextDepart  ident.Time
	pins        map[ident.HostID][]*place.Slot // pinned slots by former owner, one entry per request
}

// recordFormerSite records the requests that still run at an endpoint which this host no longer owns; sendHandovers
// reports them to the next owner.
func (w *World) recordFormerSite(site *place.Site) {
	former := &formerSite{complete: w.now >= site.FrozenUntil, running: map[ident.RequestID]ident.Model{}, nextSend: w.now}
	if earlier := w.formerSites[site.ID]; earlier != nil {
		maps.Copy(former.running, earlier.running)
	}
	if takeover := w.takeovers[site.ID]; takeover != nil && len(takeover.pins) > 0 {
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

// sendHandovers sends the handover lists that are due.
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

// pins returns the requests that still run, sorted by id.
func (f *formerSite) pins() []Pin {
	list := make([]Pin, 0, len(f.running))
	for id, m := range f.running {
		list = append(list, Pin{Request: id, Model: m})
	}
	slices.SortFunc(list, func(x, y Pin) int { return compareRequests(x.Request, y.Request) })
	return list
}

func compareRequests(x, y ident.RequestID) int {
	return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Seq, y.Seq))
}

// endOrphaned removes a request that has ended at an endpoint which this host no longer owns. It returns false for
// requests at endpoints that this host still owns.
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

// receiveHandover pins the adapters of the requests that a former owner still runs at an endpoint of this host. A complete
// list from the previous owner also allows evictions again, as all running requests are then known.
func (w *World) receiveHandover(from ident.HostID, h Handover) {
	site := w.sites[h.Endpoint]
	takeover := w.takeovers[h.Endpoint]
	if site == nil || takeover == nil {
		return
	}
	for _, slot := range takeover.pins[from] {
		slot.Pins--
	}
	delete(takeover.pins, from)
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
		takeover.pins[from] = append(takeover.pins[from], slot)
	}
	if h.Complete && from == site.Previous {
		site.FrozenUntil = min(site.FrozenUntil, w.now)
	}
}

// inspectInterval is the interval at which an owner inspects an engine while evictions are blocked after a takeover.
const inspectInterval = time.Second

// inspectFrozen inspects an engine while evictions are blocked after a takeover. Evictions are allowed again once an
// inspection after the takeover shows no running request and no former owner can send further requests.
func (w *World) inspectFrozen(site *place.Site) {
	takeover := w.takeovers[site.ID]
	if takeover == nil || site.Kind != lease.Engine || w.now >= site.FrozenUntil || w.now < takeover.nextInspect {
		return
	}
	takeover.nextInspect = w.now.Add(inspectInterval)
	w.inspect(site)
}

// formerOwnersGone reports whether no former owner can still send requests to an endpoint of this host: there was no former
// owner, or enough time has passed that every former owner has either applied the change of owner or lost its lease.
func (w *World) formerOwnersGone(site *place.Site) bool {
	terms := w.Params.Lease
	takeover := w.takeovers[site.ID]
	return site.Previous == "" || takeover == nil || w.now.Sub(takeover.startedAt) > terms.Length+terms.Margin+terms.Spread+inspectInterval
}
