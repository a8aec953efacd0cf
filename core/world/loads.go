package world

import (
	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/work"
)

// granted starts a load that the leader allows, or gives the grant back.
func (w *World) granted(g place.Grant) {
	site := w.sites[g.Endpoint]
	if site == nil || !site.ResidencyKnown || !w.Serving() || !site.NeedsLoad(g.Model) {
		w.returnGrant(place.GrantEnd{Grant: g, Unused: true})
		return
	}
	evict, ok := site.FindSlot(site.Urgency(g.Model), w.now)
	if !ok {
		w.returnGrant(place.GrantEnd{Grant: g, Unused: true})
		return
	}
	if evict != nil {
		delete(site.Slots, *evict)
	}
	bulk := site.Urgency(g.Model) == work.Bulk
	site.Slots[g.Model] = &place.Slot{Model: g.Model, Loading: true, LastUse: w.now, Bulk: bulk, GrantedAt: w.now}
	w.noteLoad(site, g.Model, grantCause(evict))
	w.emit(Effect{Load: &Load{Endpoint: site.Owned, Model: g.Model, Evict: evict, Until: w.holder.Until()}})
}

func (w *World) returnGrant(d place.GrantEnd) {
	if w.leader != "" {
		w.send(w.leader, Message{Done: &d})
	}
}

func (w *World) loaded(l Loaded) {
	w.returnGrant(place.GrantEnd{Grant: place.Grant{Endpoint: l.Endpoint, Model: l.Model}, Failed: l.Err != ""})
	site := w.sites[l.Endpoint]
	if site == nil || site.Fence != l.Fence {
		return
	}
	slot := site.Slots[l.Model]
	if slot == nil {
		return
	}
	if l.Err == "" {
		site.MarkLoaded(slot, w.now)
		w.noteLoad(site, l.Model, "done")
		return
	}
	w.noteLoad(site, l.Model, l.Err)
	w.loadFailed(site, l.Model)
}

// loadFailed sends the requests that wait for the adapter back to their entry hosts, which try other engines. Bulk
// requests stay and wait for the next try.
func (w *World) loadFailed(site *place.Site, m ident.Model) {
	site.MarkLoadFailed(m, w.now)
	for _, it := range site.WaitingFor(m) {
		if it.Urgency > work.Bulk && !it.Claiming {
			w.sendBack(it, work.LoadFailed)
		}
	}
}
