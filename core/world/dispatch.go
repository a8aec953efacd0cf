package world

import (
	"shallotgap/core/claim"
	"shallotgap/core/place"
	"shallotgap/core/work"
)

// dispatch sends what can run, most urgent first, and asks for the loads that the rest needs.
func (w *World) dispatch() {
	if !w.Serving() {
		return
	}
	for _, id := range sortedKeys(w.sites) {
		w.dispatchSite(w.sites[id])
	}
}

func (w *World) dispatchSite(site *place.Site) {
	if w.ending(site) {
		w.clearQueue(site, work.Stopping)
		return
	}
	for it := site.Next(w.may); it != nil; it = site.Next(w.may) {
		if it.AtMostOnce() && !it.Claimed {
			w.openClaim(it)
			continue
		}
		w.start(site, it)
	}
}

func (w *World) start(site *place.Site, it *place.Item) {
	waited := site.Waited(it, w.now)
	site.Start(it, w.now)
	w.note(it.ID, "dispatch", "the adapter is resident and the batch has room", string(site.ID))
	r := it.Request
	r.TimeLeft = it.Deadline.Sub(w.now)
	w.emit(Effect{Dispatch: &Dispatch{Request: r, From: it.From, Endpoint: site.Owned, Until: w.holder.Until(), Waited: waited}})
}

// giveUp refuses a request that has not been dispatched, and releases its claim.
func (w *World) giveUp(it *place.Item, r work.Refusal) {
	if site := w.sites[it.Endpoint]; site != nil {
		waited := site.Waited(it, w.now)
		r.Waited = &waited
	}
	w.drop(it)
	if it.Claimed {
		w.closeClaim(w.openOf(it), claim.Released, nil)
	}
	w.refuse(it.ID, it.From, r)
}

// rejected reports whether an engine did not run a request because it does not hold the adapter any more, as after a
// restart that was not announced yet. An unrepeatable request is not tried again by the system itself.
func rejected(it *place.Item, e Ended) bool {
	return e.State == work.NotSent && e.Reason == work.EndpointFailed && it.Service == "" && !it.AtMostOnce()
}

// ended takes the end of a dispatched request.
func (w *World) ended(e Ended) {
	it := w.items[e.ID]
	if it == nil {
		return
	}
	site := w.sites[it.Endpoint]
	own := !w.endStray(it) && site != nil
	if own {
		site.End(it, w.now)
	}
	delete(w.items, e.ID)
	w.note(e.ID, "answer", string(e.State)+" "+e.Detail, string(it.Endpoint))
	if own && rejected(it, e) {
		site.MarkNotResident(it.Model)
		w.sendBack(it, work.LoadFailed)
		return
	}
	if it.AtMostOnce() {
		w.closeClaim(w.openOf(it), claimState(e.State), e.Answer)
	}
	if e.State == work.Answered {
		return
	}
	r := work.Refusal{Outcome: work.InDoubt, Reason: e.Reason, Step: "dispatch", Peer: string(it.Endpoint), RetryAfter: DefaultRetryAfter}
	if e.State == work.NotSent {
		r.Outcome = work.NotRun
	}
	w.refuse(e.ID, it.From, r)
}
