package world

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/route"
	"shallotgap/core/rows"
	"shallotgap/core/work"
)

// forwarded is a request that this entry host sent to the owner of an endpoint.
type forwarded struct {
	request  work.Request
	to       ident.HostID
	deadline ident.Time
	// since is when the request arrived, or when it was first returned; rerouteTimeout counts from this time.
	since ident.Time
}

// DefaultRetryAfter is the default Retry-After delay of a rejection; it leaves time for leases and ownership to move.
const DefaultRetryAfter = 2 * time.Second

// arrive admits and routes a caller's request, or queues a request that an entry host forwarded.
func (w *World) arrive(a Arrive) {
	if a.From == w.Self {
		w.openRequests++
		w.retryBudget.CountRequest()
	}
	if !w.Serving() {
		w.reject(a.Request.ID, a.From, work.Refusal{Outcome: work.NotRun, Reason: work.NoLease, Step: "admit", RetryAfter: DefaultRetryAfter})
		return
	}
	if a.From != w.Self {
		w.arriveFromEntry(a)
		return
	}
	a.Request.StartBefore = w.latestStart(a.Request.TimeLeft)
	if r := w.checkRow(a.Request); r != nil {
		w.reject(a.Request.ID, a.From, *r)
		return
	}
	if r := w.checkPoison(a.Request); r != nil {
		w.reject(a.Request.ID, a.From, *r)
		return
	}
	c, cause, ok := w.choose(a.Request)
	if !ok {
		r := work.Refusal{Outcome: work.NotRun, Reason: work.NoEndpoint, Step: "route", RetryAfter: DefaultRetryAfter}
		if w.awaitsOwner(a.Request) {
			w.queueReroute(a.Request, w.now.Add(a.Request.TimeLeft), w.now, r)
			return
		}
		w.reject(a.Request.ID, a.From, r)
		return
	}
	w.note(a.Request.ID, "route", string(cause), string(c.Endpoint))
	w.passToOwner(a.Request, c, w.now)
}

// passToOwner sends a caller's request to the owner of the chosen endpoint, or queues it if this host is the owner.
func (w *World) passToOwner(r work.Request, c route.Candidate, since ident.Time) {
	if c.Owner == w.Self {
		w.enqueue(r, w.Self, c.Endpoint)
		return
	}
	w.forwards[r.ID] = forwarded{request: r, to: c.Owner, deadline: w.now.Add(r.TimeLeft), since: since}
	w.countSent(c.Endpoint)
	w.emit(Effect{Forward: &Forward{Request: r, To: c.Owner, Endpoint: c.Endpoint}})
}

// arriveFromEntry queues a request that its entry host forwarded, unless it is too late or this host is no longer the owner.
func (w *World) arriveFromEntry(a Arrive) {
	w.reportSchedule.forwardedAt[a.From] = w.now
	if a.Request.StartBefore != 0 && w.wall >= a.Request.StartBefore {
		w.reject(a.Request.ID, a.From, work.Refusal{
			Outcome: work.NotRun, Reason: work.Late, Step: "forward", Peer: string(w.Self), RetryAfter: DefaultRetryAfter,
		})
		return
	}
	if w.sites[a.Endpoint] == nil {
		w.reject(a.Request.ID, a.From, work.Refusal{
			Outcome: work.NotRun, Reason: work.NotOwner, Step: "forward", Peer: string(w.Self), RetryAfter: DefaultRetryAfter,
		})
		return
	}
	if r := w.checkPoison(a.Request); r != nil {
		w.reject(a.Request.ID, a.From, *r)
		return
	}
	w.enqueue(a.Request, a.From, a.Endpoint)
}

// checkRow rejects a model request whose workspace has no row for the adapter version.
func (w *World) checkRow(r work.Request) *work.Refusal {
	if r.Service != "" {
		return nil
	}
	row, ok := w.state.Rows.Get(rows.KeyOf(r.Workspace, r.Model.Adapter))
	if ok && row.Serves(r.Model.Version) {
		return nil
	}
	return &work.Refusal{Outcome: work.NotRun, Reason: work.UnknownAdapter, Step: "admit", Peer: r.Model.String()}
}

// choose returns the endpoint for a request and the rule that selected it, and whether any endpoint accepts the request.
func (w *World) choose(r work.Request) (route.Candidate, route.Cause, bool) {
	row, _ := w.state.Rows.Get(rows.KeyOf(r.Workspace, r.Model.Adapter))
	r.Base = row.Base
	if part, _ := w.suspected(r); part != "" {
		return w.chooseForSuspect(r, part)
	}
	if r.Service != "" {
		c, ok := route.LeastLoaded(w.candidates(r, w.index().plains[r.Service]))
		return c, route.ByLoad, ok
	}
	if limited(row) {
		return w.chooseLimited(r, row)
	}
	holders := w.adapterHolders(r.Model)
	homes := w.index().homes.Rank(r.Model.Adapter, w.Params.Routing.Choices, func(id ident.EndpointID) bool {
		e, ok := w.state.Owners.Get(id)
		return ok && w.accepts(e, r) && !slices.Contains(holders, id)
	})
	return route.Choose(r.Model, w.candidates(r, append(holders, homes...)), w.Params.Routing)
}

// candidates returns the given endpoints that accept the request, with their load as this host knows it.
func (w *World) candidates(r work.Request, endpoints []ident.EndpointID) []route.Candidate {
	list := make([]route.Candidate, 0, len(endpoints))
	for _, id := range endpoints {
		if e, ok := w.state.Owners.Get(id); ok && w.accepts(e, r) {
			list = append(list, w.candidate(e, r.Model))
		}
	}
	return list
}

// accepts reports whether an endpoint can serve the request, has an owner and is not avoided after a failed load.
func (w *World) accepts(e lease.Owned, r work.Request) bool {
	return e.Owner != "" && w.now >= w.avoided[avoidKey{endpoint: e.ID, model: r.Model}] && w.serves(e, r)
}

// awaitsOwner reports whether an endpoint that can serve the request is without an owner, as during a change of owner.
func (w *World) awaitsOwner(r work.Request) bool {
	for _, e := range w.state.Owners.All() {
		if e.Owner == "" && w.serves(e, r) {
			return true
		}
	}
	return false
}

// serves reports whether an endpoint offers the service or base model of the request and is not being stopped.
func (w *World) serves(e lease.Owned, r work.Request) bool {
	if w.state.Stops.EndpointStopping(e.Endpoint) {
		return false
	}
	if r.Service != "" {
		return e.Kind == lease.Plain && e.Service == r.Service
	}
	return e.Kind == lease.Engine && (r.Base == "" || r.Base == e.Service)
}

// candidate describes an endpoint to the routing policy: from its site if this host owns it, else from its last report.
func (w *World) candidate(e lease.Owned, m ident.Model) route.Candidate {
	c := route.Candidate{Endpoint: e.ID, Owner: e.Owner, MaxRunning: e.MaxRunning}
	if site := w.sites[e.ID]; site != nil {
		report := w.reportOf(site)
		c.Running, c.Queued = report.Running, report.Queued
		c.Resident, c.Loading, c.Waiting = site.Residency(m)
		return c
	}
	report := w.reports[e.ID]
	c.Running, c.Queued, c.Sent = report.Running, report.Queued, w.recentlySent(e.ID)
	c.Resident = slices.Contains(report.Resident, m)
	c.Loading = slices.Contains(report.Loading, m)
	c.Waiting = slices.Contains(report.Waiting, m)
	return c
}

// enqueue queues a request at an endpoint that this host owns.
func (w *World) enqueue(r work.Request, from ident.HostID, endpoint ident.EndpointID) {
	site := w.sites[endpoint]
	if site == nil {
		w.reject(r.ID, from, work.Refusal{Outcome: work.NotRun, Reason: work.NotOwner, Step: "queue", RetryAfter: DefaultRetryAfter})
		return
	}
	item := &place.Item{Request: r, From: from, Endpoint: endpoint, Arrived: w.now, Deadline: w.now.Add(r.TimeLeft), Weight: w.weightOf(r)}
	if refusal := w.admit(site, item); refusal != nil {
		w.reject(r.ID, from, *refusal)
		return
	}
	w.items[r.ID] = item
	site.Add(item)
	w.note(r.ID, "queue", fmt.Sprintf("%d waiting, %d running", len(site.Queue)-1, site.Running), string(endpoint))
}

// weightOf returns the weight of the request's row; 0 for a plain service, which has no row.
func (w *World) weightOf(r work.Request) uint32 {
	row, _ := w.state.Rows.Get(rows.KeyOf(r.Workspace, r.Model.Adapter))
	return row.Weight
}

// reject sends a rejection to a request's entry host. The rejection is final unless the entry host routes the request again,
// see Bounceable.
func (w *World) reject(id ident.RequestID, to ident.HostID, r work.Refusal) {
	delete(w.forwards, id)
	w.note(id, r.Step, "refused: "+string(r.Reason), r.Peer)
	w.emit(Effect{Refuse: &Refuse{ID: id, To: to, Refusal: r}})
}

// cancel ends a request whose caller has disconnected. A dispatched at-most-once request continues, so that its outcome
// is recorded.
func (w *World) cancel(id ident.RequestID) {
	delete(w.forwards, id)
	w.dropReturned(id)
	item := w.items[id]
	if item == nil {
		return
	}
	if !item.Running {
		w.rejectQueued(item, work.Refusal{Outcome: work.NotRun, Reason: work.Canceled, Step: "cancel"})
		return
	}
	if !item.AtMostOnce() {
		w.note(id, "cancel", "the caller has gone", string(item.Endpoint))
		w.emit(Effect{Abort: &Abort{ID: id}})
	}
}

// drop removes a request that has not been dispatched.
func (w *World) drop(item *place.Item) {
	if site := w.sites[item.Endpoint]; site != nil {
		site.Remove(item.ID)
	}
	delete(w.items, item.ID)
}

// expire rejects queued requests whose deadline has passed.
func (w *World) expire() {
	for _, id := range sortedKeys(w.sites) {
		for _, item := range append([]*place.Item(nil), w.sites[id].Queue...) {
			if w.now < item.Deadline {
				continue
			}
			reason := work.Late
			if item.Claiming {
				reason = work.NoQuorum
			}
			w.rejectQueued(item, work.Refusal{
				Outcome: work.NotRun, Reason: reason, Step: "queue", Peer: string(item.Endpoint), RetryAfter: DefaultRetryAfter,
			})
		}
	}
}

// linkLost removes the requests that were forwarded over a broken connection; the network layer answers their callers.
func (w *World) linkLost(h ident.HostID) {
	for id, f := range w.forwards {
		if f.to == h {
			delete(w.forwards, id)
		}
	}
}
