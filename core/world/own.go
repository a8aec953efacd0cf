package world

import (
	"slices"

	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/wire"
	"shallotgap/core/work"
)

// syncSites makes the owned endpoints match the replicated state.
func (w *World) syncSites() {
	for _, id := range sortedKeys(w.sites) {
		e, ok := w.state.Owners.Get(id)
		site := w.sites[id]
		if !ok || e.Owner != w.Self || e.Fence != site.Fence {
			w.loseSite(site)
			continue
		}
		if e.Instance != site.Instance {
			site.Slots = map[ident.Model]*place.Slot{}
		}
		site.Endpoint = e.Endpoint
	}
	for _, e := range w.state.Owners.List() {
		if e.Owner == w.Self && w.sites[e.ID] == nil {
			w.takeSite(e)
		}
	}
}

// takeSite starts to own an endpoint. What it holds is read before the first order.
func (w *World) takeSite(e lease.Owned) {
	site := place.NewSite(e, w.now, w.now.Add(w.Params.LongestRequest))
	w.sites[e.ID] = site
	if e.Kind == lease.Engine {
		w.emit(Effect{Inspect: &Inspect{Endpoint: e}})
		return
	}
	site.FrozenUntil = w.now
}

// loseSite refuses what waits; what runs goes on and ends by itself.
func (w *World) loseSite(site *place.Site) {
	for _, it := range append([]*place.Item(nil), site.Queue...) {
		if !it.Claiming {
			w.giveUp(it, work.Refusal{Outcome: work.NotRun, Reason: work.NotOwner, Step: "queue", Peer: string(site.ID), RetryAfter: RetryLater})
		}
	}
	delete(w.sites, site.ID)
}

// giveUp refuses a request that has not been dispatched, and releases its claim.
func (w *World) giveUp(it *place.Item, r work.Refusal) {
	w.drop(it)
	if it.Claimed {
		w.closeClaim(it, claim.Released, nil)
	}
	w.refuse(it.ID, it.From, r)
}

func (w *World) inspected(in Inspected) {
	site := w.sites[in.Endpoint]
	if site == nil || site.Fence != in.Fence {
		return
	}
	if in.Err != "" {
		w.emit(Effect{Inspect: &Inspect{Endpoint: site.Owned}})
		return
	}
	for _, m := range in.Models {
		if site.Slots[m] == nil {
			site.Slots[m] = &place.Slot{Model: m, LastUse: w.now}
		}
	}
	if in.Running == 0 {
		site.FrozenUntil = w.now
	}
}

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
	for _, it := range append([]*place.Item(nil), site.Queue...) {
		if !site.Ready(it) || it.Claiming {
			continue
		}
		if it.Once() && !it.Claimed {
			w.openClaim(it)
			continue
		}
		w.start(site, it)
	}
}

func (w *World) start(site *place.Site, it *place.Item) {
	site.Start(it, w.now)
	w.note(it.ID, "dispatch", "the adapter is resident and the batch has room", string(site.ID))
	r := it.Request
	r.Left = it.Deadline.Sub(w.now)
	w.emit(Effect{Dispatch: &Dispatch{Request: r, From: it.From, Endpoint: site.Owned, Until: w.holder.Until()}})
}

// openClaim asks for the right to run an unrepeatable request.
func (w *World) openClaim(it *place.Item) {
	it.Claiming = true
	o := claim.Open{
		Name:    it.Name(),
		Digest:  it.Digest,
		Request: it.ID,
		Holder:  claim.Holder{Host: w.Self, Incarnation: w.Incarnation},
		Expires: w.wall + int64(w.Params.KeyLife.Seconds()),
	}
	id := it.ID
	w.propose(state.Command{Open: &o}, purpose{request: &id})
}

// claimed takes the answer to openClaim.
func (w *World) claimed(id ident.RequestID, res state.Result) {
	it := w.items[id]
	if it == nil || res.Claim == nil {
		return
	}
	it.Claiming = false
	if res.Claim.Granted {
		it.Claimed = true
		w.note(id, "claim", "committed by a majority", "")
		if w.sites[it.Endpoint] == nil {
			w.giveUp(it, work.Refusal{Outcome: work.NotRun, Reason: work.NotOwner, Step: "claim", Peer: string(it.Endpoint), RetryAfter: RetryLater})
		}
		return
	}
	w.drop(it)
	r := work.Refusal{Outcome: work.NotRun, Reason: work.KeyReused, Step: "claim"}
	if res.Claim.Record != nil {
		r = work.Refusal{Outcome: work.InDoubt, Reason: work.KeyRunning, Step: "claim", Record: res.Claim.Record, RetryAfter: RetryLater}
	}
	w.refuse(id, it.From, r)
}

func (w *World) closeClaim(it *place.Item, s claim.State, a *claim.Answer) {
	c := claim.Close{Name: it.Name(), Request: it.ID, State: s, Answer: a}
	w.propose(state.Command{Close: &c}, purpose{})
}

// ended takes the end of a dispatched request.
func (w *World) ended(e Ended) {
	it := w.items[e.ID]
	if it == nil {
		return
	}
	if site := w.sites[it.Endpoint]; site != nil {
		site.End(it, w.now)
	}
	delete(w.items, e.ID)
	w.note(e.ID, "answer", string(e.State)+" "+e.Detail, string(it.Endpoint))
	if it.Once() {
		w.closeClaim(it, claimState(e.State), e.Answer)
	}
	if e.State == work.Answered {
		return
	}
	r := work.Refusal{Outcome: work.InDoubt, Reason: e.Reason, Step: "dispatch", Peer: string(it.Endpoint), RetryAfter: RetryLater}
	if e.State == work.NotSent {
		r.Outcome = work.NotRun
	}
	w.refuse(e.ID, it.From, r)
}

func claimState(s work.EndState) claim.State {
	switch s {
	case work.Answered:
		return claim.Done
	case work.NotSent:
		return claim.Released
	default:
		return claim.InDoubt
	}
}

// tickSites asks for loads and notices endpoints that have gone silent.
func (w *World) tickSites() {
	var wants []place.Want
	for _, id := range sortedKeys(w.sites) {
		site := w.sites[id]
		w.checkSilence(site)
		wants = append(wants, w.wants(site)...)
		if site.Running == 0 && len(site.Queue) == 0 && w.state.Stops.Stopping(drain.Host, string(w.Self)) {
			a := lease.Assign{Endpoint: id, From: site.Fence}
			w.propose(state.Command{Assign: &a}, purpose{})
		}
	}
	if w.leader != "" && w.Serving() {
		w.send(w.leader, Message{Wants: &Wants{List: wants}})
	}
}

func (w *World) wants(site *place.Site) []place.Want {
	var list []place.Want
	for _, m := range site.Wants() {
		if _, ok := site.Room(w.now); !ok {
			break
		}
		waiting := 0
		for _, it := range site.Queue {
			if it.Model == m {
				waiting++
			}
		}
		list = append(list, place.Want{Endpoint: site.ID, Model: m, Waiting: waiting})
	}
	return list
}

func (w *World) checkSilence(site *place.Site) {
	if w.now.Sub(site.Heard) < w.Params.EndpointSilence {
		return
	}
	site.Heard = w.now
	d := state.Depart{Endpoint: site.ID, Instance: site.Instance}
	w.propose(state.Command{Depart: &d}, purpose{})
}

// granted starts a load that the leader allows, or gives the grant back.
func (w *World) granted(g place.Grant) {
	site := w.sites[g.Endpoint]
	if site == nil || !w.Serving() || !slices.Contains(site.Wants(), g.Model) {
		w.returnGrant(g)
		return
	}
	evict, ok := site.Room(w.now)
	if !ok {
		w.returnGrant(g)
		return
	}
	if evict != nil {
		delete(site.Slots, *evict)
	}
	site.Slots[g.Model] = &place.Slot{Model: g.Model, Loading: true, LastUse: w.now}
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
		return
	}
	delete(site.Slots, l.Model)
	for _, it := range append([]*place.Item(nil), site.Queue...) {
		if it.Model == l.Model {
			w.giveUp(it, work.Refusal{Outcome: work.NotRun, Reason: work.LoadFailed, Step: "load", Peer: string(site.ID), RetryAfter: RetryLater})
		}
	}
}

// announced takes what an endpoint says of itself to this host.
func (w *World) announced(e lease.Endpoint) {
	old, known := w.state.Owners.Get(e.ID)
	if !known || old.Endpoint != e {
		w.propose(state.Command{Announce: &e}, purpose{})
		return
	}
	if old.Owner == w.Self {
		w.heard(e)
	} else if old.Owner != "" {
		w.send(old.Owner, Message{Alive: &e})
	}
}

func (w *World) heard(e lease.Endpoint) {
	if site := w.sites[e.ID]; site != nil {
		site.Heard = w.now
	}
}

// broadcastReports tells the other hosts what changed at the owned endpoints.
func (w *World) broadcastReports() {
	if w.now < w.reportAt {
		return
	}
	w.reportAt = w.now.Add(w.Params.Heartbeat)
	var changed []place.Report
	for _, id := range sortedKeys(w.sites) {
		r := w.sites[id].Report()
		form, err := wire.Marshal(r)
		if err != nil || w.sent[id] == string(form) {
			continue
		}
		w.sent[id] = string(form)
		changed = append(changed, r)
	}
	if len(changed) == 0 {
		return
	}
	for _, p := range w.Peers {
		if p.Host != w.Self {
			w.send(p.Host, Message{Reports: changed})
		}
	}
}

func (w *World) takeReports(list []place.Report) {
	for _, r := range list {
		if r.Fence >= w.reports[r.Endpoint].Fence {
			w.reports[r.Endpoint] = r
		}
	}
}
