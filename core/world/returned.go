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

// Bounced tells an entry host that the owner did not take a forwarded request; it has not run there.
type Bounced struct {
	ID      ident.RequestID `json:"id"`
	Refusal work.Refusal    `json:"refusal"`
}

// Finished tells that nothing is owed to a caller of this host any more.
type Finished struct {
	ID ident.RequestID `json:"id"`
}

// Bounceable reports whether a refusal sends a request back to its entry host for another try, instead of to its caller.
func Bounceable(r *work.Refusal) bool {
	return r != nil && r.Outcome == work.NotRun && (r.Reason == work.NotOwner || r.Reason == work.Stopping || r.Reason == work.LoadFailed)
}

// returned is a request that waits at its entry host for another endpoint or owner.
type returned struct {
	request    work.Request
	deadline   ident.Time
	since      ident.Time
	returnedAt ident.Time // when it came back
	refusal    work.Refusal
}

// ending reports whether an endpoint of this host takes no new work.
func (w *World) isStopping(site *place.Site) bool { return w.state.Stops.EndpointStops(site.Endpoint) }

// clearQueue sends back what waits at an endpoint and has not been sent to it.
func (w *World) clearQueue(site *place.Site, reason work.Reason) {
	for _, item := range slices.Clone(site.Queue) {
		w.sendBack(item, reason)
	}
}

// sendBack takes a request that was not dispatched out of its endpoint and returns it to its entry host. A claimed
// request goes back only after its claim was released by a majority; one whose claim is under way waits for that.
func (w *World) sendBack(item *place.Item, reason work.Reason) {
	r := work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "queue", Peer: string(item.Endpoint), RetryAfter: RetryLater}
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

func (w *World) releaseForReturn(b *pendingReturn) {
	w.pendingReturns[b.item.ID] = b
	w.propose(closeCommand(w.claimOf(b.item), claim.Released, nil), purpose{pendingReturn: b})
}

// released sends a request back whose claim was released, unless its time was over before.
func (w *World) releasedForReturn(b *pendingReturn) {
	if w.pendingReturns[b.item.ID] != b {
		return
	}
	delete(w.pendingReturns, b.item.ID)
	w.returnToEntry(b.item, b.refusal)
}

// claimedBack takes the answer to the claim of a request that is to go back, and reports whether it was one.
func (w *World) claimAnsweredForReturn(o claim.Open, res claim.Result) bool {
	b := w.pendingReturns[o.Request]
	if b == nil {
		return false
	}
	if res.Granted {
		w.releaseForReturn(b)
		return true
	}
	delete(w.pendingReturns, o.Request)
	w.refuse(o.Request, b.item.From, claimRefusal(res))
	return true
}

// expireBacks refuses requests whose time is over before their claim was released. Their claim is released all the
// same: nothing of them was sent.
func (w *World) expirePendingReturns() {
	for _, id := range slices.SortedFunc(maps.Keys(w.pendingReturns), compareRequests) {
		b := w.pendingReturns[id]
		if w.now < b.item.Deadline {
			continue
		}
		delete(w.pendingReturns, id)
		b.refusal.Reason = work.NoQuorum
		w.refuse(id, b.item.From, b.refusal)
	}
}

// backward is a request that goes back to its entry host once its claim is released.
type pendingReturn struct {
	item    *place.Item
	refusal work.Refusal
}

func (w *World) returnToEntry(item *place.Item, r work.Refusal) {
	if item.From != w.Self {
		w.refuse(item.ID, item.From, r)
		return
	}
	w.queueReroute(item.Request, item.Deadline, w.now, r)
}

// bounced takes back a request that this host had forwarded.
func (w *World) bounced(b Bounced) {
	f, ok := w.forwards[b.ID]
	if !ok {
		w.refuse(b.ID, w.Self, b.Refusal)
		return
	}
	delete(w.forwards, b.ID)
	w.queueReroute(f.request, f.deadline, f.since, b.Refusal)
}

func (w *World) queueReroute(r work.Request, deadline, since ident.Time, refusal work.Refusal) {
	w.note(r.ID, "return", string(refusal.Reason), refusal.Peer)
	w.avoid(r, refusal)
	if refusal.Reason == work.LoadFailed && r.Try >= maxLoadAttempts-1 {
		w.refuse(r.ID, w.Self, refusal)
		return
	}
	w.returned = append(w.returned, returned{request: r, deadline: deadline, since: since, returnedAt: w.now, refusal: refusal})
}

// rerouteFor bounds how long a returned request is tried again: a moved endpoint is known everywhere by then.
// Bulk work waits until its deadline.
func (w *World) rerouteTimeout() time.Duration {
	return w.Params.Lease.Length + w.Params.Lease.Margin + w.Params.Lease.Spread
}

// reroute tries the returned requests again, in order.
func (w *World) reroute() {
	list := w.returned
	w.returned = nil
	w.forgetAvoided()
	for _, r := range list {
		w.rerouteOne(r)
	}
}

func (w *World) rerouteOne(r returned) {
	if w.now >= r.deadline {
		r.refusal.Reason = work.Late
		w.refuse(r.request.ID, w.Self, r.refusal)
		return
	}
	c, cause, ok := w.choose(r.request)
	if !ok || !w.Serving() || !w.mayRetry(r) {
		if r.request.Urgency != work.Bulk && w.now >= r.since.Add(w.rerouteTimeout()) {
			w.refuse(r.request.ID, w.Self, r.refusal)
			return
		}
		w.returned = append(w.returned, r)
		return
	}
	r.request.Left = r.deadline.Sub(w.now)
	r.request.Try++
	w.note(r.request.ID, "route", string(cause), string(c.Endpoint))
	w.passToOwner(r.request, c, r.since)
}

// unreturn forgets a returned request whose caller has gone.
func (w *World) dropReturned(id ident.RequestID) {
	delete(w.pendingReturns, id)
	w.returned = slices.DeleteFunc(w.returned, func(r returned) bool { return r.request.ID == id })
}

// finished forgets a caller's request.
func (w *World) finished(id ident.RequestID) {
	w.openRequests--
	delete(w.forwards, id)
	w.dropReturned(id)
}

// working returns the endpoints that take no new work and at which requests of this host still run, in order.
func (w *World) stoppingWithWork() []ident.EndpointID {
	found := map[ident.EndpointID]bool{}
	for _, item := range w.items {
		if found[item.Endpoint] {
			continue
		}
		if e, ok := w.state.Owners.Get(item.Endpoint); ok && w.state.Stops.EndpointStops(e.Endpoint) {
			found[item.Endpoint] = true
		}
	}
	return sortedKeys(found)
}

// departLeaving forgets an endpoint that leaves by itself, once nothing runs there any more.
func (w *World) departIdleLeaving(site *place.Site) {
	if !site.Leaving || site.Running > 0 || len(site.Queue) > 0 || w.hasPinnedWork(site.ID) {
		return
	}
	taken := w.takeovers[site.ID]
	if w.now < taken.nextDepart {
		return
	}
	taken.nextDepart = w.now.Add(ResendAfter)
	depart := state.Depart{Endpoint: site.ID, Instance: site.Instance}
	w.propose(state.Command{Depart: &depart}, purpose{})
}

// foreign reports whether a former owner still runs work at an endpoint.
func (w *World) hasPinnedWork(id ident.EndpointID) bool {
	taken := w.takeovers[id]
	return taken != nil && len(taken.pins) > 0
}
