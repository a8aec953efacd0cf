package world

import (
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// ownersSeen is the replicated ownership that the sites were last matched with.
type ownersSeen struct {
	state    *lease.Owners
	revision uint64
}

// syncSites makes the owned endpoints match the replicated state.
func (w *World) syncSites() {
	seen := ownersSeen{state: w.state.Owners, revision: w.state.Owners.Revision()}
	if seen == w.ownersSeen {
		return
	}
	w.ownersSeen = seen
	for _, id := range sortedKeys(w.sites) {
		e, ok := w.state.Owners.Get(id)
		site := w.sites[id]
		if !ok || e.Owner != w.Self || e.Fence != site.Fence {
			w.loseSite(site)
			continue
		}
		if e.Instance != site.Instance {
			site.ClearSlots()
		}
		site.Endpoint = e.Endpoint
	}
	for _, e := range w.state.Owners.All() {
		if e.Owner == w.Self && w.sites[e.ID] == nil {
			w.takeSite(e)
		}
	}
}

// takeSite starts to own an endpoint. What it holds is read before the first order.
func (w *World) takeSite(e lease.Owned) {
	site := place.NewSite(e, w.Params.Policy, w.now, w.now.Add(w.Params.LongestRequest))
	w.sites[e.ID] = site
	w.taken[e.ID] = &takenSite{at: w.now, inspectAt: w.now.Add(inspectEvery), pins: map[ident.HostID][]*place.Slot{}}
	if e.Kind == lease.Engine {
		w.emit(Effect{Inspect: &Inspect{Endpoint: e}})
		return
	}
	site.FrozenUntil = w.now
}

// loseSite sends back what waits; what runs goes on, ends by itself, and is handed over as pinned.
func (w *World) loseSite(site *place.Site) {
	w.clearQueue(site, work.NotOwner)
	w.leaveSite(site)
	w.holder.RenewNow()
	delete(w.sites, site.ID)
}

func (w *World) inspected(in Inspected) {
	site := w.sites[in.Endpoint]
	if site == nil || site.Fence != in.Fence || in.Err != "" {
		// After an error the engine is asked again by inspectFrozen.
		return
	}
	site.ResidencyKnown = true
	for _, m := range in.Models {
		if site.Slots[m] == nil {
			site.Slots[m] = &place.Slot{Model: m, LastUse: w.now}
		}
	}
	if in.Running == 0 && w.settled(site) {
		site.FrozenUntil = w.now
	}
}

func (w *World) checkSilence(site *place.Site) {
	if w.now.Sub(site.LastHeartbeat) < w.Params.EndpointSilence {
		return
	}
	site.LastHeartbeat = w.now
	d := state.Depart{Endpoint: site.ID, Instance: site.Instance, Fence: site.Fence}
	w.propose(state.Command{Depart: &d}, purpose{})
}

// announced takes what an endpoint says of itself to this host.
func (w *World) announced(e lease.Endpoint) {
	old, known := w.state.Owners.Get(e.ID)
	e.Leaving = e.Leaving || old.Leaves(e.Instance)
	if !known && e.Leaving {
		return
	}
	if !known || old.Endpoint != e {
		w.propose(state.Command{Announce: &e}, purpose{})
		return
	}
	if old.Owner == w.Self {
		w.heard(e)
	} else if old.Owner != "" {
		w.send(old.Owner, Message{Alive: &e})
	}
}

func (w *World) heard(e lease.Endpoint) {
	if site := w.sites[e.ID]; site != nil {
		site.LastHeartbeat = w.now
	}
}

// tickSites asks for loads and notices endpoints that have gone silent.
func (w *World) tickSites() {
	var wants []place.LoadRequest
	for _, id := range sortedKeys(w.sites) {
		site := w.sites[id]
		w.checkSilence(site)
		site.UpdateClosedSlots(w.now)
		wants = append(wants, site.LoadRequests(w.now)...)
		w.inspectFrozen(site)
		w.departLeaving(site)
	}
	w.sendWants(wants)
}

// sendWants tells the leader the wishes for loads. An empty list replaces a former one too, but is sent only as often
// as a renewal: one that says the same as the last does no good, unless that was lost.
func (w *World) sendWants(list []place.LoadRequest) {
	if w.leader == "" || !w.Serving() || (len(list) == 0 && w.now < w.wantsAt) {
		return
	}
	w.wantsAt = w.now
	if len(list) == 0 {
		w.wantsAt = w.now.Add(w.Params.Lease.Renew)
	}
	w.send(w.leader, Message{Wants: &Wants{List: list}})
}
