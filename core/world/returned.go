package world

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// Bounced reports to the entry host that the owner did not accept a forwarded request; the request has not run.
type Bounced struct {
	ID      ident.RequestID `json:"id"`
	Refusal work.Refusal    `json:"refusal"`
}

// Finished reports that the exchange with a caller of this host has ended, with or without an answer.
type Finished struct {
	ID ident.RequestID `json:"id"`
}

// Bounceable reports whether a rejection by an owner makes the entry host retry the request instead of passing the
// rejection on to the caller.
func Bounceable(r *work.Refusal) bool {
	return r != nil && r.Outcome == work.NotRun && (r.Reason == work.NotOwner || r.Reason == work.Stopping || r.Reason == work.LoadFailed)
}

// returned is a request that waits at its entry host to be routed again.
type returned struct {
	request    work.Request
	deadline   ident.Time
	since      ident.Time // see forwarded.since
	returnedAt ident.Time
	refusal    work.Refusal // reason of the return; the caller gets it if no retry succeeds
}

// isStopping reports whether an endpoint of this host accepts no new requests because it is being stopped or shuts down.
func (w *World) isStopping(site *place.Site) bool {
	return w.state.Stops.EndpointStopping(site.Endpoint)
}

// clearQueue returns all queued requests of an endpoint to their entry hosts.
func (w *World) clearQueue(site *place.Site, reason work.Reason) {
	for _, item := range slices.Clone(site.Queue) {
		w.sendBack(item, reason)
	}
}

// sendBack removes a request that was not dispatched from its endpoint's queue and returns it to its entry host. A claimed request
// returns only after a majority has committed the release of its claim; a request whose claim is still undecided first
// waits for the decision.
func (w *World) sendBack(item *place.Item, reason work.Reason) {
	r := work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "queue", Peer: string(item.Endpoint), RetryAfter: DefaultRetryAfter}
	if site := w.sites[item.Endpoint]; site != nil {
		waited := site.Waited(item, w.now)
		r.Waited = &waited
	}
	w.drop(item)
	switch {
	case item.Claiming:
		w.pendingReturns[item.ID] = &pendingReturn{item: item, refusal: r}
	case item.Claimed:
		w.releaseForReturn(&pendingReturn{item: item, refusal: r})
	default:
		w.returnToEntry(item, r)
	}
}

// releaseForReturn proposes the release of a request's claim, after which the request returns to its entry host.
func (w *World) releaseForReturn(pending *pendingReturn) {
	w.pendingReturns[pending.item.ID] = pending
	w.propose(closeCommand(w.claimOf(pending.item), claim.Released, nil), purpose{pendingReturn: pending})
}

// releasedForReturn returns a request to its entry host after the release of its claim, unless the request was rejected or
// canceled in the meantime.
func (w *World) releasedForReturn(pending *pendingReturn) {
	if w.pendingReturns[pending.item.ID] != pending {
		return
	}
	delete(w.pendingReturns, pending.item.ID)
	w.returnToEntry(pending.item, pending.refusal)
}

// claimAnsweredForReturn handles the decision on the claim of a request that waits to return to its entry host. It returns
// false if the request does not wait to return.
func (w *World) claimAnsweredForReturn(o claim.Open, res claim.Result) bool {
	pending := w.pendingReturns[o.Request]
	if pending == nil {
		return false
	}
	if res.Granted {
		w.releaseForReturn(pending)
		return true
	}
	delete(w.pendingReturns, o.Request)
	w.reject(o.Request, pending.item.From, claimRejection(res))
	return true
}

// expirePendingReturns rejects requests whose deadline passes before their claim is released. The release still takes
// place, which is safe because the requests were not dispatched.
func (w *World) expirePendingReturns() {
	for _, id := range slices.SortedFunc(maps.Keys(w.pendingReturns), compareRequests) {
		pending := w.pendingReturns[id]
		if w.now < pending.item.Deadline {
			continue
		}
		delete(w.pendingReturns, id)
		pending.refusal.Reason = work.NoQuorum
		w.reject(id, pending.item.From, pending.refusal)
	}
}

// pendingReturn is a request that returns to its entry host once its claim is released.
type pendingReturn struct {
	item    *place.Item
	refusal work.Refusal
}

// returnToEntry returns a request to its entry host, with the reason.
func (w *World) returnToEntry(item *place.Item, r work.Refusal) {
	if item.From != w.Self {
		w.reject(item.ID, item.From, r)
		return
	}
	w.queueReroute(item.Request, item.Deadline, w.now, r)
}

// bounced handles the return of a request that this host had forwarded.
func (w *World) bounced(b Bounced) {
	f, ok := w.forwards[b.ID]
	if !ok {
		w.reject(b.ID, w.Self, b.Refusal)
		return
	}
	delete(w.forwards, b.ID)
	w.queueReroute(f.request, f.deadline, f.since, b.Refusal)
}

// queueReroute keeps a returned request to be routed again, or rejects it after maxLoadAttempts failed loads.
func (w *World) queueReroute(r work.Request, deadline, since ident.Time, refusal work.Refusal) {
	w.note(r.ID, "return", string(refusal.Reason), refusal.Peer)
	w.avoid(r, refusal)
	if refusal.Reason == work.LoadFailed && r.Reroutes >= maxLoadAttempts-1 {
		w.reject(r.ID, w.Self, refusal)
		return
	}
	w.returned = append(w.returned, returned{request: r, deadline: deadline, since: since, returnedAt: w.now, refusal: refusal})
}

// rerouteTimeout is how long a returned request is retried; within this time all serving hosts learn the new owner of a moved
// endpoint. Bulk requests are retried until their deadline.
func (w *World) rerouteTimeout() time.Duration {
	return w.Params.Lease.Length + w.Params.Lease.Margin + w.Params.Lease.Spread
}

// reroute routes the returned requests again, in order of their return.
func (w *World) reroute() {
	list := w.returned
	w.returned = nil
	w.forgetAvoided()
	for _, r := range list {
		w.rerouteOne(r)
	}
}

// rerouteOne routes a returned request again, keeps it for the next tick, or rejects it after its deadline or rerouteTimeout.
func (w *World) rerouteOne(r returned) {
	if w.now >= r.deadline {
		r.refusal.Reason = work.Late
		w.reject(r.request.ID, w.Self, r.refusal)
		return
	}
	c, cause, ok := w.choose(r.request)
	if !ok || !w.Serving() || !w.mayRetry(r) {
		if r.request.Urgency != work.Bulk && w.now >= r.since.Add(w.rerouteTimeout()) {
			w.reject(r.request.ID, w.Self, r.refusal)
			return
		}
		w.returned = append(w.returned, r)
		return
	}
	r.request.TimeLeft = r.deadline.Sub(w.now)
	r.request.Reroutes++
	w.note(r.request.ID, "route", string(cause), string(c.Endpoint))
	w.passToOwner(r.request, c, r.since)
}

// dropReturned removes a returned request whose caller has disconnected.
func (w *World) dropReturned(id ident.RequestID) {
	delete(w.pendingReturns, id)
	w.returned = slices.DeleteFunc(w.returned, func(r returned) bool { return r.request.ID == id })
}

// finished removes a caller's request after the exchange with the caller has ended.
func (w *World) finished(id ident.RequestID) {
	w.openRequests--
	delete(w.forwards, id)
	w.dropReturned(id)
}

// stoppingWithWork returns, in order, the stopping endpoints that still have queued or running requests of this host.
func (w *World) stoppingWithWork() []ident.EndpointID {
	found := map[ident.EndpointID]bool{}
	for _, item := range w.items {
		if found[item.Endpoint] {
			continue
		}
		if e, ok := w.state.Owners.Get(item.Endpoint); ok && w.state.Stops.EndpointStopping(e.Endpoint) {
			found[item.Endpoint] = true
		}
	}
	return sortedKeys(found)
}

// departIdleLeaving proposes to remove an endpoint that announced its shutdown, once no request runs there.
func (w *World) departIdleLeaving(site *place.Site) {
	if !site.Leaving || site.Running > 0 || len(site.Queue) > 0 || w.hasPinnedWork(site.ID) {
		return
	}
	takeover := w.takeovers[site.ID]
	if w.now < takeover.nextDepart {
		return
	}
	takeover.nextDepart = w.now.Add(ResendInterval)
	depart := state.Depart{Endpoint: site.ID, Instance: site.Instance}
	w.propose(state.Command{Depart: &depart}, purpose{})
}

// hasPinnedWork reports whether a former owner still runs requests at an endpoint of this host.
func (w *World) hasPinnedWork(id ident.EndpointID) bool {
	takeover := w.takeovers[id]
	return takeover != nil && len(takeover.pins) > 0
}
