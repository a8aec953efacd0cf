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
	request  work.Request
	deadline ident.Time
	since    ident.Time
	at       ident.Time // when it came back
	refusal  work.Refusal
}

// ending reports whether an endpoint of this host takes no new work.
func (w *World) ending(site *place.Site) bool { return w.state.Stops.EndpointStopping(site.Endpoint) }

// clearQueue sends back what waits at an endpoint and has not been sent to it.
func (w *World) clearQueue(site *place.Site, reason work.Reason) {
	for _, it := range slices.Clone(site.Queue) {
		w.sendBack(it, reason)
	}
}

// sendBack takes a request that was not dispatched out of its endpoint and returns it to its entry host. A claimed
// request goes back only after its claim was released by a majority; one whose claim is under way waits for that.
func (w *World) sendBack(it *place.Item, reason work.Reason) {
	r := work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "queue", Peer: string(it.Endpoint), RetryAfter: DefaultRetryAfter}
	if site := w.sites[it.Endpoint]; site != nil {
		waited := site.Waited(it, w.now)
		r.Waited = &waited
	}
	w.drop(it)
	switch {
	case it.Claiming:
		w.backs[it.ID] = &backward{item: it, refusal: r}
	case it.Claimed:
		w.release(&backward{item: it, refusal: r})
	default:
		w.passBack(it, r)
	}
}

func (w *World) release(b *backward) {
	w.backs[b.item.ID] = b
	w.propose(closing(w.openOf(b.item), claim.Released, nil), purpose{back: b})
}

// released sends a request back whose claim was released, unless its time was over before.
func (w *World) released(b *backward) {
	if w.backs[b.item.ID] != b {
		return
	}
	delete(w.backs, b.item.ID)
	w.passBack(b.item, b.refusal)
}

// claimedBack takes the answer to the claim of a request that is to go back, and reports whether it was one.
func (w *World) claimedBack(o claim.Open, res claim.Result) bool {
	b := w.backs[o.Request]
	if b == nil {
		return false
	}
	if res.Granted {
		w.release(b)
		return true
	}
	delete(w.backs, o.Request)
	w.refuse(o.Request, b.item.From, claimRefusal(res))
	return true
}

// expireBacks refuses requests whose time is over before their claim was released. Their claim is released all the
// same: nothing of them was sent.
func (w *World) expireBacks() {
	for _, id := range slices.SortedFunc(maps.Keys(w.backs), compareRequests) {
		b := w.backs[id]
		if w.now < b.item.Deadline {
			continue
		}
		delete(w.backs, id)
		b.refusal.Reason = work.NoQuorum
		w.refuse(id, b.item.From, b.refusal)
	}
}

// backward is a request that goes back to its entry host once its claim is released.
type backward struct {
	item    *place.Item
	refusal work.Refusal
}

func (w *World) passBack(it *place.Item, r work.Refusal) {
	if it.From != w.Self {
		w.refuse(it.ID, it.From, r)
		return
	}
	w.takeBack(it.Request, it.Deadline, w.now, r)
}

// bounced takes back a request that this host had forwarded.
func (w *World) bounced(b Bounced) {
	f, ok := w.forwards[b.ID]
	if !ok {
		w.refuse(b.ID, w.Self, b.Refusal)
		return
	}
	delete(w.forwards, b.ID)
	w.takeBack(f.request, f.deadline, f.since, b.Refusal)
}

func (w *World) takeBack(r work.Request, deadline, since ident.Time, why work.Refusal) {
	w.note(r.ID, "return", string(why.Reason), why.Peer)
	w.avoid(r, why)
	if why.Reason == work.LoadFailed && r.Reroutes >= maxTries-1 {
		w.refuse(r.ID, w.Self, why)
		return
	}
	w.returned = append(w.returned, returned{request: r, deadline: deadline, since: since, at: w.now, refusal: why})
}

// rerouteFor bounds how long a returned request is tried again: a moved endpoint is known everywhere by then.
// Bulk work waits until its deadline.
func (w *World) rerouteFor() time.Duration {
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
		if r.request.Urgency != work.Bulk && w.now >= r.since.Add(w.rerouteFor()) {
			w.refuse(r.request.ID, w.Self, r.refusal)
			return
		}
		w.returned = append(w.returned, r)
		return
	}
	r.request.TimeLeft = r.deadline.Sub(w.now)
	r.request.Reroutes++
	w.note(r.request.ID, "route", string(cause), string(c.Endpoint))
	w.pass(r.request, c, r.since)
}

// unreturn forgets a returned request whose caller has gone.
func (w *World) unreturn(id ident.RequestID) {
	delete(w.backs, id)
	w.returned = slices.DeleteFunc(w.returned, func(r returned) bool { return r.request.ID == id })
}

// finished forgets a caller's request.
func (w *World) finished(id ident.RequestID) {
	w.open--
	delete(w.forwards, id)
	w.unreturn(id)
}

// working returns the endpoints that take no new work and at which requests of this host still run, in order.
func (w *World) working() []ident.EndpointID {
	found := map[ident.EndpointID]bool{}
	for _, it := range w.items {
		if found[it.Endpoint] {
			continue
		}
		if e, ok := w.state.Owners.Get(it.Endpoint); ok && w.state.Stops.EndpointStopping(e.Endpoint) {
			found[it.Endpoint] = true
		}
	}
	return sortedKeys(found)
}

// departLeaving forgets an endpoint that leaves by itself, once nothing runs there any more.
func (w *World) departLeaving(site *place.Site) {
	if !site.Leaving || site.Running > 0 || len(site.Queue) > 0 || w.foreign(site.ID) {
		return
	}
	taken := w.taken[site.ID]
	if w.now < taken.departAt {
		return
	}
	taken.departAt = w.now.Add(ResendInterval)
	d := state.Depart{Endpoint: site.ID, Instance: site.Instance}
	w.propose(state.Command{Depart: &d}, purpose{})
}

// foreign reports whether a former owner still runs work at an endpoint.
func (w *World) foreign(id ident.EndpointID) bool {
	taken := w.taken[id]
	return taken != nil && len(taken.pins) > 0
}
