package world

import (
	"shallotgap/core/place"
	"shallotgap/core/work"
)

// granted starts a load that the leader allows, or gives the grant back.
func (w *World) granted(g place.Grant) {
	site := w.sites[g.Endpoint]
	if site == nil || !w.Serving() || !site.Wanted(g.Model) {
		w.returnGrant(g)
		return
	}
	evict, ok := site.Room(site.Urgency(g.Model), w.now)
	if !ok {
		w.returnGrant(g)
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

func (w *World) returnGrant(g place.Grant) {
	if w.leader != "" {
		w.send(w.leader, Message{Done: &g})
	}
}

func (w *World) loaded(l Loaded) {
	w.returnGrant(place.Grant{Endpoint: l.Endpoint, Model: l.Model})
	site := w.sites[l.Endpoint]
	if site == nil || site.Fence != l.Fence {
		return
	}
	slot := site.Slots[l.Model]
	if slot == nil {
		return
	}
	if l.Err == "" {
		slot.Loading = false
		slot.ResidentAt = w.now
		w.noteLoad(site, l.Model, "done")
		return
	}
	delete(site.Slots, l.Model)
	w.noteLoad(site, l.Model, l.Err)
	for _, it := range append([]*place.Item(nil), site.Queue...) {
		if it.Model == l.Model {
			w.giveUp(it, work.Refusal{Outcome: work.NotRun, Reason: work.LoadFailed, Step: "load", Peer: string(site.ID), RetryAfter: RetryLater})
		}
	}
}
