package world

import (
	"shallotgap/core/claim"
	"shallotgap/core/place"
	"shallotgap/core/work"
)

// dispatch starts the queued requests that can run at the owned endpoints, the most urgent first.
func (w *World) dispatch() {
	if !w.Serving() {
		return
	}
	for _, id := range sortedKeys(w.sites) {
		w.dispatchSite(w.sites[id])
	}
}

// dispatchSite starts the queued requests that can run at one endpoint. An at-most-once request gets its claim first.
func (w *World) dispatchSite(site *place.Site) {
	if w.isStopping(site) {
		w.clearQueue(site, work.Stopping)
		return
	}
	for item := site.Next(w.withinLimits); item != nil; item = site.Next(w.withinLimits) {
		if item.AtMostOnce() && !item.Claimed {
			w.openClaim(item)
			continue
		}
		w.start(site, item)
	}
}

// start sends a request to its endpoint, with the time left until its deadline.
func (w *World) start(site *place.Site, item *place.Item) {
	waited := site.Waited(item, w.now)
	w.takeSends(site, 1)
	site.Start(item, w.now)
	w.note(item.ID, "dispatch", "the adapter is resident and the batch has room", string(site.ID))
	r := item.Request
	r.TimeLeft = item.Deadline.Sub(w.now)
	w.emit(Effect{Dispatch: &Dispatch{Request: r, From: item.From, Endpoint: site.Owned, Until: w.lease.Until(), Waited: waited}})
}

// rejectQueued rejects a request that has not been dispatched, and releases the request's claim, if any.
func (w *World) rejectQueued(item *place.Item, r work.Refusal) {
	if site := w.sites[item.Endpoint]; site != nil {
		waited := site.Waited(item, w.now)
		r.Waited = &waited
	}
	w.drop(item)
	if item.Claimed {
		w.closeClaim(w.claimOf(item), claim.Released, nil)
	}
	w.reject(item.ID, item.From, r)
}

// adapterMissing reports whether an engine did not run a request because the adapter is no longer resident, for example
// after a restart that the engine has not announced yet. At-most-once requests are excluded: they are never retried
// automatically.
func adapterMissing(item *place.Item, e Ended) bool {
	return e.State == work.NotSent && e.Reason == work.EndpointFailed && item.Service == "" && !item.AtMostOnce()
}

// ended completes a dispatched request: it frees the request's place at the endpoint, records the outcome of its claim, and
// rejects the request if it got no answer.
func (w *World) ended(e Ended) {
	item := w.items[e.ID]
	if item == nil {
		return
	}
	site := w.sites[item.Endpoint]
	owned := !w.endOrphaned(item) && site != nil
	if owned {
		site.End(item, w.now)
		w.watchEnd(item, e)
		w.noteLimit(site, item, e)
	}
	delete(w.items, e.ID)
	w.note(e.ID, "answer", string(e.State)+" "+e.Detail, string(item.Endpoint))
	if owned && adapterMissing(item, e) {
		site.MarkNotResident(item.Model)
		w.sendBack(item, work.LoadFailed)
		return
	}
	if item.AtMostOnce() {
		w.closeClaim(w.claimOf(item), claimState(e.State), e.Answer)
	}
	if e.State == work.Answered {
		return
	}
	r := work.Refusal{Outcome: work.InDoubt, Reason: e.Reason, Step: "dispatch", Peer: string(item.Endpoint), RetryAfter: DefaultRetryAfter}
	if e.State == work.NotSent {
		r.Outcome = work.NotRun
	}
	w.reject(e.ID, item.From, r)
}
