package world

import (
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// ownersVersion identifies a version of the replicated ownership table. The revision alone does not identify it, as a
// restored snapshot replaces the table.
type ownersVersion struct {
	state    *lease.Owners
	revision uint64
}

// syncSites makes the sites match the endpoints that this host owns in the replicated state.
func (w *World) syncSites() {
	version := ownersVersion{state: w.state.Owners, revision: w.state.Owners.Revision()}
	if version == w.sitesVersion {
		return
	}
	defer w.syncLimits()
	w.sitesVersion = version
	for _, id := range sortedKeys(w.sites) {
		e, ok := w.state.Owners.Get(id)
		site := w.sites[id]
		if !ok || e.Owner != w.Self || e.Fence != site.Fence {
			w.stopOwning(site)
			continue
		}
		if e.Instance != site.Instance {
			w.endpointRestarted(site)
			site.ClearSlots()
		}
		site.Endpoint = e.Endpoint
	}
	for _, e := range w.state.Owners.All() {
		if e.Owner == w.Self && w.sites[e.ID] == nil {
			w.startOwning(e)
		}
	}
}

// startOwning adds an endpoint that this host owns from now on. An engine is inspected before the first load order, so
// that the order rests on the actual residency.
func (w *World) startOwning(e lease.Owned) {
	site := place.NewSite(e, w.Params.Policy, w.now, w.now.Add(w.Params.LongestRequest))
	w.sites[e.ID] = site
	w.takeovers[e.ID] = &takeover{startedAt: w.now, nextInspect: w.now.Add(inspectInterval), pins: map[ident.HostID][]*place.Slot{}}
	if e.Kind == lease.Engine {
		w.inspect(site)
		return
	}
	site.FrozenUntil = w.now
}

// stopOwning removes an endpoint that this host no longer owns. Queued requests return to their entry hosts; running
// requests continue and are reported to the next owner, which pins their adapters.
func (w *World) stopOwning(site *place.Site) {
	w.clearQueue(site, work.NotOwner)
	w.recordFormerSite(site)
	w.lease.RenewNow()
	delete(w.sites, site.ID)
}

// inspected records the adapters that an inspection found resident, and allows evictions again once no request of a former
// owner can be running at the engine.
func (w *World) inspected(in Inspected) {
	site := w.sites[in.Endpoint]
	if site == nil || site.Fence != in.Fence || in.Err != "" {
		// After an error, inspectFrozen inspects the engine again.
		return
	}
	site.ResidencyKnown = true
	for _, m := range in.Models {
		if site.Slots[m] == nil {
			site.Slots[m] = &place.Slot{Model: m, LastUse: w.now}
		}
	}
	if in.Running == 0 && w.formerOwnersGone(site) {
		site.FrozenUntil = w.now
	}
}

// checkSilence proposes to remove an endpoint that has sent no heartbeat for EndpointSilence.
func (w *World) checkSilence(site *place.Site) {
	if w.now.Sub(site.LastHeartbeat) < w.Params.EndpointSilence {
		return
	}
	site.LastHeartbeat = w.now
	depart := state.Depart{Endpoint: site.ID, Instance: site.Instance, Fence: site.Fence}
	w.propose(state.Command{Depart: &depart}, purpose{})
}

// announced handles an endpoint's announcement: a change is proposed to the leader, a mere heartbeat goes to the owner.
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
		w.recordHeartbeat(e)
	} else if old.Owner != "" {
		w.send(old.Owner, Message{Alive: &e})
	}
}

// recordHeartbeat records the time of an endpoint's heartbeat if this host owns the endpoint.
func (w *World) recordHeartbeat(e lease.Endpoint) {
	if site := w.sites[e.ID]; site != nil {
		site.LastHeartbeat = w.now
	}
}

// tickSites requests adapter loads for the owned endpoints, and proposes to remove endpoints that are silent or that leave and
// have no more requests.
func (w *World) tickSites() {
	var wants []place.LoadRequest
	for _, id := range sortedKeys(w.sites) {
		site := w.sites[id]
		w.checkSilence(site)
		site.UpdateClosedSlots(w.now)
		w.rejectOverLimit(site)
		if w.limits.Wait(site.Identity(), w.now) == 0 {
			wants = append(wants, site.LoadRequests(w.now)...)
		}
		w.inspectFrozen(site)
		w.departIdleLeaving(site)
	}
	w.sendWants(wants)
	w.proposeLimits()
}

// sendWants sends the wanted loads to the leader. An empty list also replaces the previous one, but is sent only once per
// renewal interval, as resending the same list only helps if a message was lost.
func (w *World) sendWants(list []place.LoadRequest) {
	if w.leader == "" || !w.Serving() || (len(list) == 0 && w.now < w.emptyWantsDue) {
		return
	}
	w.emptyWantsDue = w.now
	if len(list) == 0 {
		w.emptyWantsDue = w.now.Add(w.Params.Lease.Renew)
	}
	w.send(w.leader, Message{Wants: &Wants{List: list}})
}
