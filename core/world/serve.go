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

// forwarded is a request that this entry host passed to an owner.
type forwarded struct {
	request  work.Request
	to       ident.HostID
	deadline ident.Time
	// since is when the request came, or when it was first returned.
	since ident.Time
}

// DefaultRetryAfter tells a caller to come back after leases and ownership have had time to move.
const DefaultRetryAfter = 2 * time.Second

// arrive decides where a request goes.
func (w *World) arrive(a Arrive) {
	if a.From == w.Self {
		w.open++
		w.retries.CountRequest()
	}
	if !w.Serving() {
		w.refuse(a.Request.ID, a.From, work.Refusal{Outcome: work.NotRun, Reason: work.NoLease, Step: "admit", RetryAfter: DefaultRetryAfter})
		return
	}
	if a.From != w.Self {
		w.arriveFromEntry(a)
		return
	}
	a.Request.StartBefore = w.endsOf(a.Request.TimeLeft)
	if r := w.checkRow(a.Request); r != nil {
		w.refuse(a.Request.ID, a.From, *r)
		return
	}
	c, cause, ok := w.choose(a.Request)
	if !ok {
		r := work.Refusal{Outcome: work.NotRun, Reason: work.NoEndpoint, Step: "route", RetryAfter: DefaultRetryAfter}
		if w.moving(a.Request) {
			w.takeBack(a.Request, w.now.Add(a.Request.TimeLeft), w.now, r)
			return
		}
		w.refuse(a.Request.ID, a.From, r)
		return
	}
	w.note(a.Request.ID, "route", string(cause), string(c.Endpoint))
	w.pass(a.Request, c, w.now)
}

// pass hands a request of this host's caller to the owner of its endpoint.
func (w *World) pass(r work.Request, c route.Candidate, since ident.Time) {
	if c.Owner == w.Self {
		w.enqueue(r, w.Self, c.Endpoint)
		return
	}
	w.forwards[r.ID] = forwarded{request: r, to: c.Owner, deadline: w.now.Add(r.TimeLeft), since: since}
	w.noteSent(c.Endpoint)
	w.emit(Effect{Forward: &Forward{Request: r, To: c.Owner, Endpoint: c.Endpoint}})
}

func (w *World) arriveFromEntry(a Arrive) {
	w.reporting.asked[a.From] = w.now
	if a.Request.StartBefore != 0 && w.wall >= a.Request.StartBefore {
		w.refuse(a.Request.ID, a.From, work.Refusal{Outcome: work.NotRun, Reason: work.Late, Step: "forward", Peer: string(w.Self), RetryAfter: DefaultRetryAfter})
		return
	}
	if w.sites[a.Endpoint] == nil {
		w.refuse(a.Request.ID, a.From, work.Refusal{Outcome: work.NotRun, Reason: work.NotOwner, Step: "forward", Peer: string(w.Self), RetryAfter: DefaultRetryAfter})
		return
	}
	w.enqueue(a.Request, a.From, a.Endpoint)
}

// checkRow refuses a model request that no row allows.
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

// choose returns the endpoint for a request and why.
func (w *World) choose(r work.Request) (route.Candidate, route.Cause, bool) {
	row, _ := w.state.Rows.Get(rows.KeyOf(r.Workspace, r.Model.Adapter))
	r.Base = row.Base
	if r.Service != "" {
		c, ok := route.LeastLoaded(w.candidates(r, w.index().plains[r.Service]))
		return c, route.ByLoad, ok
	}
	if limited(row) {
		return w.chooseLimited(r, row)
	}
	committed := w.holders(r.Model)
	homes := w.index().homes.Rank(r.Model.Adapter, w.Params.Routing.Choices, func(id ident.EndpointID) bool {
		e, ok := w.state.Owners.Get(id)
		return ok && w.takes(e, r) && !slices.Contains(committed, id)
	})
	return route.Choose(r.Model, w.candidates(r, append(committed, homes...)), w.Params.Routing)
}

// candidates returns those of the endpoints that take the request, with what is known of their load.
func (w *World) candidates(r work.Request, endpoints []ident.EndpointID) []route.Candidate {
	list := make([]route.Candidate, 0, len(endpoints))
	for _, id := range endpoints {
		if e, ok := w.state.Owners.Get(id); ok && w.takes(e, r) {
			list = append(list, w.candidate(e, r.Model))
		}
	}
	return list
}

// takes reports whether an endpoint serves the request's kind and takes new work.
func (w *World) takes(e lease.Owned, r work.Request) bool {
	return e.Owner != "" && w.now >= w.avoided[avoidKey{endpoint: e.ID, model: r.Model}] && w.serves(e, r)
}

// moving reports whether an endpoint for the request only lacks its next owner.
func (w *World) moving(r work.Request) bool {
	for _, e := range w.state.Owners.All() {
		if e.Owner == "" && w.serves(e, r) {
			return true
		}
	}
	return false
}

func (w *World) serves(e lease.Owned, r work.Request) bool {
	if w.state.Stops.EndpointStopping(e.Endpoint) {
		return false
	}
	if r.Service != "" {
		return e.Kind == lease.Plain && e.Service == r.Service
	}
	return e.Kind == lease.Engine && (r.Base == "" || r.Base == e.Service)
}

func (w *World) candidate(e lease.Owned, m ident.Model) route.Candidate {
	c := route.Candidate{Endpoint: e.ID, Owner: e.Owner, MaxRunning: e.MaxRunning}
	if site := w.sites[e.ID]; site != nil {
		c.Running, c.Queued = site.Running, len(site.Queue)
		c.Resident, c.Loading, c.Waiting = site.Residency(m)
		return c
	}
	rep := w.reports[e.ID]
	c.Running, c.Queued, c.Sent = rep.Running, rep.Queued, w.sentLately(e.ID)
	c.Resident = slices.Contains(rep.Resident, m)
	c.Loading = slices.Contains(rep.Loading, m)
	c.Waiting = slices.Contains(rep.Waiting, m)
	return c
}

// enqueue takes a request as the owner of its endpoint.
func (w *World) enqueue(r work.Request, from ident.HostID, e ident.EndpointID) {
	site := w.sites[e]
	if site == nil {
		w.refuse(r.ID, from, work.Refusal{Outcome: work.NotRun, Reason: work.NotOwner, Step: "queue", RetryAfter: DefaultRetryAfter})
		return
	}
	it := &place.Item{Request: r, From: from, Endpoint: e, Arrived: w.now, Deadline: w.now.Add(r.TimeLeft), Weight: w.weightOf(r)}
	if refusal := w.admit(site, it); refusal != nil {
		w.refuse(r.ID, from, *refusal)
		return
	}
	w.items[r.ID] = it
	site.Add(it)
	w.note(r.ID, "queue", fmt.Sprintf("%d waiting, %d running", len(site.Queue)-1, site.Running), string(e))
}

// weightOf returns the weight of the request's row; 0 for a plain service, which has none.
func (w *World) weightOf(r work.Request) uint32 {
	row, _ := w.state.Rows.Get(rows.KeyOf(r.Workspace, r.Model.Adapter))
	return row.Weight
}

// refuse gives a request its final answer.
func (w *World) refuse(id ident.RequestID, to ident.HostID, r work.Refusal) {
	delete(w.forwards, id)
	w.note(id, r.Step, "refused: "+string(r.Reason), r.Peer)
	w.emit(Effect{Refuse: &Refuse{ID: id, To: to, Refusal: r}})
}

// cancel ends a request whose caller has gone. An unrepeatable request that was dispatched runs on, so that its
// outcome is recorded.
func (w *World) cancel(id ident.RequestID) {
	delete(w.forwards, id)
	w.unreturn(id)
	it := w.items[id]
	if it == nil {
		return
	}
	if !it.Running {
		w.giveUp(it, work.Refusal{Outcome: work.NotRun, Reason: work.Canceled, Step: "cancel"})
		return
	}
	if !it.AtMostOnce() {
		w.note(id, "cancel", "the caller has gone", string(it.Endpoint))
		w.emit(Effect{Abort: &Abort{ID: id}})
	}
}

// drop forgets a request that is not running.
func (w *World) drop(it *place.Item) {
	if site := w.sites[it.Endpoint]; site != nil {
		site.Remove(it.ID)
	}
	delete(w.items, it.ID)
}

// expire refuses queued requests whose deadline has passed, at once.
func (w *World) expire() {
	for _, id := range sortedKeys(w.sites) {
		for _, it := range append([]*place.Item(nil), w.sites[id].Queue...) {
			if w.now < it.Deadline {
				continue
			}
			reason := work.Late
			if it.Claiming {
				reason = work.NoQuorum
			}
			w.giveUp(it, work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "queue", Peer: string(it.Endpoint), RetryAfter: DefaultRetryAfter})
		}
	}
}

// linkLost ends the requests that were forwarded over a broken link; the edge tells their callers.
func (w *World) linkLost(h ident.HostID) {
	for id, f := range w.forwards {
		if f.to == h {
			delete(w.forwards, id)
		}
	}
}
