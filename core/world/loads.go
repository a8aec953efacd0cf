package world

import (
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/work"
)

// granted starts a load that the leader has granted, or returns the grant if the load is no longer wanted or has no free
// slot.
func (w *World) granted(g place.Grant) {
	site := w.sites[g.Endpoint]
	if site == nil || !site.ResidencyKnown || !w.Serving() || !site.NeedsLoad(g.Model) || w.limits.Wait(site.Identity(), w.now) > 0 {
		w.returnGrant(place.GrantEnd{Grant: g, Unused: true})
		return
	}
	evict, ok := site.FindSlot(site.Urgency(g.Model), w.now)
	if !ok {
		w.returnGrant(place.GrantEnd{Grant: g, Unused: true})
		return
	}
	w.takeSends(site, 1)
	if evict != nil {
		w.takeSends(site, 1)
		delete(site.Slots, *evict)
	}
	bulk := site.Urgency(g.Model) == work.Bulk
	site.Slots[g.Model] = &place.Slot{Model: g.Model, Loading: true, LastUse: w.now, Bulk: bulk, GrantedAt: w.now}
	w.noteLoad(site, g.Model, loadGrantCause(evict))
	w.emit(Effect{Load: &Load{Endpoint: site.Owned, Model: g.Model, Evict: evict, Until: w.lease.Until()}})
}

// returnGrant tells the leader that a granted load has ended or was not used, which frees its place in the load budget.
func (w *World) returnGrant(d place.GrantEnd) {
	if w.leader != "" {
		w.send(w.leader, Message{Done: &d})
	}
}

// loaded handles the outcome of a load order. An outcome with another fencing token belongs to an earlier ownership, so
// only the grant is returned.
func (w *World) loaded(l Loaded) {
	w.returnGrant(place.GrantEnd{Grant: place.Grant{Endpoint: l.Endpoint, Model: l.Model}, Failed: l.Err != ""})
	site := w.sites[l.Endpoint]
	if site == nil || site.Fence != l.Fence {
		return
	}
	slot := site.Slots[l.Model]
	if slot == nil {
		w.inspectAgain(site) // the engine restarted meanwhile, and the load may have reached its new instance
		return
	}
	if l.Err == "" {
		site.MarkLoaded(slot, w.now)
		w.noteLoad(site, l.Model, "done")
		return
	}
	w.noteLoad(site, l.Model, l.Err)
	w.loadFailed(site, l.Model)
	w.inspectAgain(site) // the engine may hold other adapters than this host knows
}

// inspectAgain inspects an engine whose residency may differ from what this host knows.
func (w *World) inspectAgain(site *place.Site) {
	if site.Kind == lease.Engine {
		w.inspect(site)
	}
}

// inspect asks an engine which adapters it holds.
func (w *World) inspect(site *place.Site) {
	w.takeSends(site, 1)
	w.emit(Effect{Inspect: &Inspect{Endpoint: site.Owned}})
}

// loadFailed sends the requests that wait for the adapter back to their entry hosts, which try other engines. Bulk requests
// stay queued until the next load attempt.
func (w *World) loadFailed(site *place.Site, m ident.Model) {
	site.MarkLoadFailed(m, w.now)
	for _, item := range site.WaitingFor(m) {
		if item.Urgency > work.Bulk && !item.Claiming {
			w.sendBack(item, work.LoadFailed)
		}
	}
}
