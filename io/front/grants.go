package front

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/core/resume"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// Timeouts of grant requests, and the fallback while no authority is known.
const (
	// grantResendInterval is how long a grant request waits for a reply before it is resent. By then the request or the
	// reply may be lost, or the request is queued at the authority; a duplicate is harmless.
	grantResendInterval = 350 * time.Millisecond
	// fallbackAfter is how long a grant request waits without an authority before the engine that last served the adapter
	// is used: the shortest election and a round trip.
	fallbackAfter = 600 * time.Millisecond
	// fallbackMaxAge is how long the last grant of an adapter may serve as fallback while an authority orders loads and evictions.
	// An engine keeps about as many adapters as are loaded within this time.
	fallbackMaxAge = 30 * time.Second
	// longWithoutAuthority is the time without an authority, many elections, after which requests no longer wait for one.
	longWithoutAuthority = 5 * time.Second
	// certainWithoutAuthority is the time without an authority after which an engine may have started again under its id as another
	// build. A stream that has begun goes on at a verified connection only then; where a new one begins is not sure.
	certainWithoutAuthority = time.Second
	// A grant request without an authority fails after the request's timeout divided by noAuthorityDivisor.
	noAuthorityDivisor = 3
	// noAuthorityRetryAfter is the Retry-After of requests rejected for lack of an authority: the duration of an election
	// and of linking to the new leader.
	noAuthorityRetryAfter = 800 * time.Millisecond
)

// grantRequest is a request that waits for a grant or holds one.
type grantRequest struct {
	msg       grant.Ask // the message to the authority
	openedAt  ident.Time
	place     *grant.Place // the granted engine; nil while waiting
	grantedBy ident.HostID // the leader that granted the engine; empty for one that this host chose without a leader
	// uncertain is true for an engine that may have started again as another build and was not verified.
	uncertain bool
	// busy is true if all places of this host at a brittle engine were taken when it last looked for one without a leader.
	busy bool
	// asked is true once the request was sent to a leader, which may have granted an engine.
	asked bool
	// answered is true once a reply was passed to reply, which holds one. A resent request may get several.
	answered bool
	reply    chan grant.Reply
	// promptRead is true once the first event has arrived: the engine has finished the prefill.
	promptRead atomic.Bool
	// wroteFor is how long the engine has sent events, as a time.Duration.
	wroteFor atomic.Int64
}

// servedPlace is the last grant of an adapter and the time when it arrived.
type servedPlace struct {
	place    grant.Place
	servedAt ident.Time
}

// servedKey names what a fallback is looked up by. Services may hold the same models, and a request must not run at another one.
type servedKey struct {
	service ident.Service
	ref     book.AdapterRef
}

func servedKeyOf(a grant.Ask) servedKey { return servedKey{service: a.Service, ref: a.Ref} }

// expireLastServed drops grants that are too old for the fallback. Without an authority nothing is evicted, so none gets too old.
// f.mu must be held.
func (f *Front) expireLastServed(now ident.Time) {
	if f.leader == "" {
		return
	}
	for key, s := range f.lastServed {
		if now.Sub(s.servedAt) > fallbackMaxAge {
			delete(f.lastServed, key)
		}
	}
}

// awaitGrant requests a grant from the authority and waits for the reply, which grants or rejects the request. Without an
// authority, it uses the fallback engine or fails.
func (f *Front) awaitGrant(ctx context.Context, a grant.Ask) (*grantRequest, grant.Reply) {
	req := f.openGrantRequest(a)
	if f.longLeaderless() {
		return req, f.grantWithoutAuthority(ctx, req)
	}
	timer := time.NewTimer(grantResendInterval)
	defer timer.Stop()
	defer func() { f.Meter.ObserveDuration("shallotgap_place_wait_seconds", clock.Boot().Sub(req.openedAt)) }()
	for {
		select {
		case r := <-req.reply:
			if r.Place == nil {
				f.closeGrantRequest(req)
			}
			return req, r
		case <-ctx.Done():
			f.withdraw(req)
			return req, grant.Reply{ID: a.ID, Cause: grant.TooLate}
		case <-timer.C:
			timer.Reset(grantResendInterval)
			if r, ok := f.fallbackGrant(req); ok {
				return req, r
			}
			if f.authorityTimedOut(req) {
				f.withdraw(req)
				return req, grant.Reply{ID: a.ID, Cause: grant.NoAuthority, After: noAuthorityRetryAfter}
			}
			f.sendGrantRequest(req)
		}
	}
}

// longLeaderless reports whether no authority has been known for so long that requests should not wait for one.
func (f *Front) longLeaderless() bool {
	return f.LeaderlessFor(clock.Boot()) > longWithoutAuthority
}

// grantWithoutAuthority grants the fallback engine or rejects the request, both at once. It waits a while for a place at a brittle engine only,
// as this host's places become free one after the other.
func (f *Front) grantWithoutAuthority(ctx context.Context, req *grantRequest) grant.Reply {
	end := req.openedAt.Add(req.msg.Left / noAuthorityDivisor)
	for {
		if r, ok := f.fallbackGrant(req); ok {
			return r
		}
		if !req.busy || ctx.Err() != nil || clock.Boot() > end {
			f.withdraw(req)
			return grant.Reply{ID: req.msg.ID, Cause: grant.NoAuthority, After: noAuthorityRetryAfter}
		}
		pause(ctx, shareRetry)
	}
}

// authorityTimedOut reports whether a grant request has waited without an authority for so long that it should fail.
func (f *Front) authorityTimedOut(req *grantRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader == "" && req.place == nil && clock.Boot().Sub(req.openedAt) > max(fallbackAfter, req.msg.Left/noAuthorityDivisor)
}

// openGrantRequest registers a grant request under a new id and sends it.
func (f *Front) openGrantRequest(a grant.Ask) *grantRequest {
	f.mu.Lock()
	f.grantSeq++
	a.ID = grant.ID(string(f.Self) + "/" + strconv.FormatInt(int64(f.startedAt), 36) + "/" + strconv.FormatUint(f.grantSeq, 36))
	req := &grantRequest{msg: a, openedAt: clock.Boot(), reply: make(chan grant.Reply, 1)}
	f.grantRequests[a.ID] = req
	if len(a.Permit) == 0 {
		f.countSend(a)
	}
	f.mu.Unlock()
	f.sendGrantRequest(req)
	return req
}

// countSend counts a first send to an engine or a retry; a new authority rebuilds its retry budget from these counts.
// f.mu must be held.
func (f *Front) countSend(a grant.Ask) {
	b := f.sendCounts[a.Service]
	if b == nil {
		b = grant.NewBudget(f.RetryRatio, f.RetryExtra, f.RetryWindow)
		f.sendCounts[a.Service] = b
	}
	b.Count(a.Sends > 0, clock.Boot())
}

// sendGrantRequest sends a grant request to the current leader, if any, with the time that its caller has left.
func (f *Front) sendGrantRequest(req *grantRequest) {
	f.mu.Lock()
	leader, a := f.leader, req.msg
	a.Left -= clock.Boot().Sub(req.openedAt)
	req.asked = req.asked || leader != ""
	f.mu.Unlock()
	if leader != "" {
		f.mesh.Send(leader, link.Message{Ask: &a})
	}
}

// handleGrantReply passes the authority's reply to the waiting request. It releases a grant whose request has ended.
func (f *Front) handleGrantReply(from ident.HostID, r grant.Reply) {
	f.mu.Lock()
	req := f.grantRequests[r.ID]
	waiting := req != nil && req.place == nil && !req.answered
	rejected := req != nil && req.place == nil && req.answered
	if waiting && r.Place != nil {
		if e, known := f.census.Get(r.Place.Instance.ID); known && e.Instance == r.Place.Instance && e.State != census.Ready {
			// The endpoint began to drain while the grant was in transit, or the authority is partitioned from the
			// control host that has the drain in its census. Tell the authority, and request another endpoint.
			req.msg.Avoid = append(req.msg.Avoid, e.Instance.ID)
			f.mu.Unlock()
			f.mesh.Send(from, link.Message{Census: []census.Entry{e}})
			f.mesh.Send(from, link.Message{End: &grant.End{ID: r.ID, Outcome: grant.Cancelled}})
			f.resendGrantRequest(req)
			return
		}
		if _, held := f.Paths.Held(reach.Target{Instance: r.Place.Instance, Service: req.msg.Service, Address: r.Place.Address}); held && len(req.msg.Permit) == 0 {
			// The authority does not know yet what the engine has said to this host.
			req.msg.Avoid = append(req.msg.Avoid, r.Place.Instance.ID)
			f.mu.Unlock()
			f.reportHeld(from, r.Place.Instance)
			f.mesh.Send(from, link.Message{End: &grant.End{ID: r.ID, Outcome: grant.Cancelled}})
			f.resendGrantRequest(req)
			return
		}
		req.place, req.grantedBy = r.Place, from
		if len(req.msg.Permit) > 0 {
			delete(f.grantRequests, r.ID)
		} else {
			f.lastServed[servedKeyOf(req.msg)] = servedPlace{place: *r.Place, servedAt: clock.Boot()}
		}
	}
	if waiting {
		req.answered = true
		req.reply <- r
	}
	f.mu.Unlock()
	if (req == nil || rejected) && r.Place != nil {
		f.mesh.Send(from, link.Message{End: &grant.End{ID: r.ID, Outcome: grant.Cancelled}})
	}
}

// resendGrantRequest resends a grant request, after the granted endpoint turned out not to be ready. It does nothing if the
// request was closed meanwhile.
func (f *Front) resendGrantRequest(req *grantRequest) {
	f.mu.Lock()
	_, open := f.grantRequests[req.msg.ID]
	f.mu.Unlock()
	if open {
		f.sendGrantRequest(req)
	}
}

// syncAuthority sends a new authority the grants in use, the send counts and the waiting grant requests.
func (f *Front) syncAuthority(to ident.HostID, term ident.Term) {
	active := link.ActiveGrants{Term: term, SendCounts: map[ident.Service]grant.Sends{}}
	var waiting []*grantRequest
	f.mu.Lock()
	for _, req := range f.grantRequests {
		if req.place == nil {
			waiting = append(waiting, req)
			continue
		}
		a := req.msg
		a.Left -= clock.Boot().Sub(req.openedAt)
		active.Places = append(active.Places, grant.RunningRequest{Ask: a, Instance: req.place.Instance, Build: req.place.Build, Prefilled: req.promptRead.Load(), Wrote: time.Duration(req.wroteFor.Load())})
	}
	for s, b := range f.sendCounts {
		active.SendCounts[s] = b.Sends(clock.Boot())
	}
	for key, s := range f.lastServed {
		if clock.Boot().Sub(s.servedAt) > fallbackMaxAge {
			continue // served before a long time without an authority
		}
		active.LastServed = append(active.LastServed, grant.Residency{Ref: key.ref, Instance: s.place.Instance})
	}
	active.Written = f.written.Latest(reportedWritten, clock.Boot())
	active.Limits = f.limits.known(clock.Boot())
	active.Begun = f.streams.List(func(resume.Record) bool { return true }, clock.Boot())
	active.Crashes = f.evidence.Crashes(clock.Boot())
	f.mu.Unlock()
	f.mesh.Send(to, link.Message{Live: &active})
	f.reportHeld(to, ident.Instance{})
	for _, req := range waiting {
		f.sendGrantRequest(req)
	}
}

// fallbackGrant returns a grant for the engine that last served the adapter, once no authority was known for fallbackAfter since
// the request, or for longWithoutAuthority.
// Retries get none, since only the authority can check the retry budget.
func (f *Front) fallbackGrant(req *grantRequest) (grant.Reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	waited := clock.Boot().Sub(req.openedAt) >= fallbackAfter || f.longLeaderless()
	req.busy = false
	if f.leader != "" || req.place != nil || req.msg.Sends > 0 || !waited {
		return grant.Reply{}, false
	}
	if req.asked && req.msg.Resumable && !req.msg.Bound {
		// A leader may have granted an engine of another build. If this host then goes on without it, another host that takes the stream up
		// learns from the leader's record that the other build began it.
		return grant.Reply{}, false
	}
	s, found := f.lastServed[servedKeyOf(req.msg)]
	p := s.place
	if !found {
		return grant.Reply{}, false
	}
	e, known := f.census.Get(p.Instance.ID)
	if known && (e.Instance != p.Instance || e.State != census.Ready) {
		return grant.Reply{}, false
	}
	_, suspected := f.stateOf(req.msg.Parts)
	if state, _ := f.evidence.StateOf(f.poison, req.msg.Whole, false, clock.Boot()); suspected != "" || state != 0 {
		return grant.Reply{}, false // only the authority keeps suspects apart
	}
	if req.msg.Bound && p.Build != req.msg.Build {
		return grant.Reply{}, false
	}
	now := clock.Boot()
	_, limited := f.limits.of(p.Instance, now)
	uncertain := f.LeaderlessFor(now) > certainWithoutAuthority
	if uncertain && limited && req.msg.Bound {
		return grant.Reply{}, false // a greeting would exceed the limit
	}
	if _, held := f.Paths.Held(reach.Target{Instance: p.Instance, Service: req.msg.Service, Address: p.Address}); held {
		return grant.Reply{}, false
	}
	req.busy = f.heed.Brittle(p.Instance) && !f.engineShare(req.msg.Service, p.Instance)
	if req.busy {
		return grant.Reply{}, false
	}
	if wait := f.limits.takeShare(p.Instance, f.entryHosts, now); wait > 0 {
		return grant.Reply{}, false
	}
	p.Version = max(p.Version, f.newestVersions[req.msg.Ref])
	p.Verify = uncertain && req.msg.Bound
	req.uncertain = uncertain && !p.Verify
	req.place = &p
	return grant.Reply{ID: req.msg.ID, Place: &p}, true
}

// forgetServed drops an engine that does not hold an adapter from the fallbacks of that adapter.
func (f *Front) forgetServed(req *grantRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastServed[servedKeyOf(req.msg)].place.Instance == req.place.Instance {
		delete(f.lastServed, servedKeyOf(req.msg))
	}
}

// closeGrantRequest removes a rejected grant request.
func (f *Front) closeGrantRequest(req *grantRequest) {
	f.mu.Lock()
	delete(f.grantRequests, req.msg.ID)
	f.mu.Unlock()
}

// withdraw removes a grant request whose caller left or whose deadline passed, and tells the authority.
func (f *Front) withdraw(req *grantRequest) {
	f.mu.Lock()
	delete(f.grantRequests, req.msg.ID)
	leader, placed := f.leader, req.place != nil
	f.mu.Unlock()
	if leader == "" {
		return
	}
	if placed {
		f.mesh.Send(leader, link.Message{End: &grant.End{ID: req.msg.ID, Outcome: grant.Cancelled}})
		return
	}
	f.mesh.Send(leader, link.Message{Withdraw: req.msg.ID})
}

// release ends a grant and tells the authority the outcome, the time to the first event and the longest gap between events.
func (f *Front) release(req *grantRequest, o grant.Outcome, first, gap time.Duration) {
	f.releaseWith(req, grant.End{Outcome: o, First: first, Gap: gap})
}

// releaseWith ends a grant and tells the authority how.
func (f *Front) releaseWith(req *grantRequest, end grant.End) {
	end.ID = req.msg.ID
	f.mu.Lock()
	delete(f.grantRequests, req.msg.ID)
	leader := f.leader
	if end.Outcome == grant.Served {
		f.lastServed[servedKeyOf(req.msg)] = servedPlace{place: *req.place, servedAt: clock.Boot()}
	}
	f.mu.Unlock()
	if leader != "" {
		f.mesh.Send(leader, link.Message{End: &end})
	}
	f.Meter.Count("shallotgap_places_total", "outcome", outcomeName(end.Outcome))
}

// outcomeName returns the metric label of an outcome.
func outcomeName(o grant.Outcome) string {
	names := map[grant.Outcome]string{grant.Served: "served", grant.Failed: "failed", grant.NotRun: "not-run", grant.Unreachable: "unreachable", grant.Cancelled: "cancelled"}
	if n, ok := names[o]; ok {
		return n
	}
	return fmt.Sprint(o)
}
