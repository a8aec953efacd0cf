package front

import (
	"context"
	"strconv"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
	"shallotgap/io/clock"
)

// Times of permits, which a send to an endpoint of a plain service with a limit needs.
const (
	// permitTimeout is how long a reply of the authority may take beyond the time for which the request may wait there.
	permitTimeout = 150 * time.Millisecond
	// permitWaitDivisor is the part of its remaining time that a request may wait for a permit.
	permitWaitDivisor = 2
	// permitProbe is the time after which a permit is asked for although an endpoint without a limit is better. A limited endpoint
	// that gets nothing is lost capacity, and does not tell when its limit has ended.
	permitProbe = time.Second
	// leaderSilence is the time without a status after which a leader counts as silent: two intervals of statuses and a margin for its loop.
	leaderSilence = time.Second
)

// permitTimes are the times of a service's permits on this host.
type permitTimes struct {
	askedAt ident.Time
	// noneUntil is the time before which the authority gives no permit, as its latest rejection said.
	noneUntil ident.Time
}

// choice is the result of choosing an endpoint of a plain service.
type choice struct {
	endpoint census.Entry
	found    bool
	// cause and retryAfter tell why no endpoint may be sent the request, if limits are the reason.
	cause      grant.Cause
	retryAfter time.Duration
	// watched is the permit whose end the authority waits for; empty for none.
	watched grant.ID
}

// choose picks an endpoint of the service that is not in avoid, and counts a request as running there until endSend is called. An
// endpoint with a limit is chosen with a permit only. The request waits for one if there is no other endpoint.
func (ex *exchange) choose(ctx context.Context, avoid []ident.EndpointID) choice {
	if state, _ := ex.suspicion(); state != 0 {
		return ex.chooseSuspect(ctx, avoid)
	}
	now := clock.Boot()
	ex.mu.Lock()
	known := ex.ofBuild(ex.census.ByService(ex.service.Name))
	list, rest := ex.withoutHeld(known)
	var free, limited []census.Entry
	for _, e := range list {
		if _, ok := ex.limits.of(e.Instance, now); ok || ex.heed.Brittle(e.Instance) {
			limited = append(limited, e)
		} else {
			free = append(free, e)
		}
	}
	bestFree, hasFree := ex.picker.Choose(free, avoid, now)
	bestLimited, hasLimited := ex.picker.Choose(limited, avoid, now)
	ask := hasLimited
	if hasFree && hasLimited {
		times := ex.permitTimes[ex.service.Name]
		better := ex.picker.Better(bestLimited, bestFree, now)
		ask = now >= times.noneUntil && (better || now.Sub(times.askedAt) >= permitProbe)
	}
	if hasFree && !ask {
		ex.picker.Begin(bestFree, now)
	}
	ex.mu.Unlock()
	switch {
	case !hasFree && !hasLimited && len(list) == 0 && rest > 0:
		ex.logDecision("choose", "", "resting", "known="+strconv.Itoa(len(known))+" rest="+rest.String())
		return choice{cause: restingCause, retryAfter: rest}
	case !hasFree && !hasLimited:
		ex.logDecision("choose", "", "none", "known="+strconv.Itoa(len(known))+" held="+strconv.Itoa(len(known)-len(list))+" avoided="+strconv.Itoa(len(avoid)))
		if ex.bound && len(avoid) == 0 {
			return choice{cause: grant.VersionGone}
		}
		return choice{}
	case !ask:
		return choice{endpoint: bestFree, found: true}
	}
	c := ex.choosePermitted(ctx, limited, avoid, !hasFree, nil)
	if c.found || !hasFree {
		return c
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.picker.Begin(bestFree, clock.Boot())
	return choice{endpoint: bestFree, found: true}
}

// choosePermitted picks one of the endpoints by a permit of the authority or, without a leader, by this host's share of their limits. whole
// is set for a suspected request.
func (ex *exchange) choosePermitted(ctx context.Context, list []census.Entry, avoid []ident.EndpointID, wait bool, whole []poison.Part) choice {
	a := grant.Ask{Request: ex.call.ID, Service: ex.service.Name, Priority: ex.route.Priority, Sends: ex.sends, Avoid: avoid, Whole: whole}
	for _, e := range list {
		if e.State == census.Ready {
			a.Permit = append(a.Permit, e.Instance)
		}
	}
	if wait {
		a.Left = max(0, ex.timeLeft()/permitWaitDivisor)
	}
	if len(a.Permit) == 0 {
		return choice{}
	}
	reply, begun := ex.awaitPermit(ctx, a)
	now := clock.Boot()
	ex.mu.Lock()
	if len(whole) == 0 {
		times := permitTimes{askedAt: now}
		if reply.Place == nil {
			times.noneUntil = now.Add(reply.After)
		}
		ex.permitTimes[ex.service.Name] = times
	}
	defer ex.mu.Unlock()
	if reply.Place != nil {
		for _, e := range list {
			if e.Instance == reply.Place.Instance {
				if !begun {
					ex.picker.Begin(e, now)
				}
				c := choice{endpoint: e, found: true}
				if reply.Place.Watch {
					c.watched = reply.ID
				}
				return c
			}
		}
	}
	return choice{cause: reply.Cause, retryAfter: reply.After}
}

// awaitPermit asks the authority for a permit and waits for the reply. begun is true if the send counts as running at the endpoint already.
func (f *Front) awaitPermit(ctx context.Context, a grant.Ask) (reply grant.Reply, begun bool) {
	start := clock.Boot()
	defer func() { f.Meter.ObserveDuration("shallotgap_permit_wait_seconds", clock.Boot().Sub(start)) }()
	f.mu.Lock()
	leaderless := f.leader == ""
	f.mu.Unlock()
	if leaderless {
		reply = f.awaitShare(ctx, a)
		return reply, reply.Place != nil
	}
	req := f.openGrantRequest(a)
	timer := time.NewTimer(a.Left + permitTimeout)
	defer timer.Stop()
	select {
	case r := <-req.reply:
		f.closeGrantRequest(req)
		return r, false
	case <-ctx.Done():
		f.withdraw(req)
		return grant.Reply{ID: a.ID, Cause: grant.TooLate}, false
	case <-timer.C:
		f.withdraw(req)
		if f.hearsLeader() {
			return grant.Reply{Cause: grant.Limited, After: failedRetryAfter}, false // it has given the places and sends to others
		}
		reply = f.permitFromShare(a)
		return reply, reply.Place != nil
	}
}

// hearsLeader reports whether the leader has sent a status lately.
func (f *Front) hearsLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader != "" && clock.Boot().Sub(f.leaderHeardAt) < leaderSilence
}

// awaitShare waits until this host's share of the endpoints allows a send, as long as the request may wait.
func (f *Front) awaitShare(ctx context.Context, a grant.Ask) grant.Reply {
	end := clock.Boot().Add(a.Left)
	for {
		r := f.permitFromShare(a)
		if r.Place != nil || r.Cause != grant.Limited || ctx.Err() != nil || clock.Boot().Add(min(r.After, shareRetry)) > end {
			return r
		}
		pause(ctx, shareRetry)
	}
}

// shareRetry is the time between two looks at this host's share: a small part of the time that short requests take.
const shareRetry = 3 * time.Millisecond

// permitFromShare permits a send from this host's share of the limits, which is safe if all hosts use theirs. The send counts as running at
// once, so that no other one gets the same place.
func (f *Front) permitFromShare(a grant.Ask) grant.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Boot()
	if len(a.Whole) > 0 {
		return grant.Reply{Cause: grant.Suspected, After: noAuthorityRetryAfter}
	}
	shortest := time.Duration(0)
	for _, i := range a.Permit {
		e, known := f.census.Get(i.ID)
		if !known || e.Instance != i {
			continue
		}
		if !f.shareOf(i, e.Slots, f.picker.Running(e)) {
			if shortest == 0 {
				shortest = failedRetryAfter
			}
			continue
		}
		wait := f.limits.takeShare(i, f.entryHosts, now)
		if wait == 0 {
			f.picker.Begin(e, now)
			return grant.Reply{Place: &grant.Place{Instance: i}}
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return grant.Reply{Cause: grant.Limited, After: shortest}
}
