package front

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// identity returns what makes the request the same as another one.
func (ex *exchange) identity() poison.Identity {
	id := poison.Identity{Method: ex.r.Method, Target: ex.r.Host + ex.r.RequestURI, Caller: ex.call.Caller, Body: ex.body}
	if ex.call.Ref.Model != "" {
		id.Prompt = fmt.Sprint(ex.call.Ref, grant.SharedParts(ex.call.Parts))
	}
	return id
}

// wholeParts returns the parts that stand for the whole request.
func (ex *exchange) wholeParts() []poison.Part {
	if ex.whole == nil {
		ex.mu.Lock()
		key := ex.poison.Key
		ex.mu.Unlock()
		ex.whole = ex.identity().Parts(key)
	}
	return ex.whole
}

// crashesKnown reports whether endpoints have crashed under any request lately. Otherwise requests need not be told apart, which costs a
// hash of each body.
func (ex *exchange) crashesKnown() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.poison.Len() > 0 || ex.evidence.Len() > 0
}

// suspicion returns what is done with the whole request, 0 if it is not suspected, and the part that says so.
func (ex *exchange) suspicion() (poison.State, poison.Part) {
	if !ex.crashesKnown() {
		return 0, ""
	}
	parts := ex.wholeParts()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.evidence.StateOf(ex.poison, parts, ex.leader != "", clock.Boot())
}

// checkCrash finds out whether an endpoint whose connection broke has crashed: then nothing listens at its address. It reports a crash to all
// hosts. Links that break, lost answers and frozen endpoints leave the address as it is, and an endpoint that drains ends as planned.
func (ex *exchange) checkCrash(ctx context.Context, i ident.Instance, address string) {
	if ex.leaves(i) {
		return
	}
	err := ex.Paths.Check(ctx, ex.reachTarget(i, address))
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	id := ex.identity()
	outcome := "listens"
	if crashed {
		outcome = "endpoint-crashed"
	} else if err != nil {
		outcome = "unclear"
	}
	ex.logDecision("poison", i.ID, outcome, "label="+id.Label())
	if !crashed {
		return
	}
	crash := poison.Crash{Instance: i, Suspects: []poison.Request{{Whole: ex.wholeParts(), Label: id.Label()}}}
	ex.recordCrash(crash)
	ex.Meter.Count("shallotgap_endpoint_crashes_total", "service", string(ex.service.Name))
	ex.mesh.SendAll(link.Message{Crashed: &link.CrashReport{Crash: crash}}, func(h link.Hello) bool { return h.Control })
}

// recordCrash remembers a crash that this host or another one has seen, and tries the endpoint last.
func (f *Front) recordCrash(c poison.Crash) {
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range c.Suspects {
		for _, p := range s.Whole {
			f.evidence.Add(p, s.Label, now, c.Instance)
		}
	}
	if e, known := f.census.Get(c.Instance.ID); known && e.Instance == c.Instance {
		f.picker.MarkUnreachable(e, now)
	}
}

// recordSound forgets the evidence against a request that an endpoint has answered.
func (ex *exchange) recordSound() {
	if ex.whole == nil {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.evidence.Clear(ex.whole...)
}

// chooseSuspect picks an endpoint for a request that is suspected to crash endpoints. Only the authority, which keeps such requests apart,
// can permit its sends.
func (ex *exchange) chooseSuspect(ctx context.Context, avoid []ident.EndpointID) choice {
	ex.mu.Lock()
	list, _ := ex.withoutHeld(ex.ofBuild(ex.census.ByService(ex.service.Name)))
	ex.mu.Unlock()
	return ex.choosePermitted(ctx, list, avoid, true, ex.wholeParts())
}

// endPermitted tells the authority that a permitted send has ended whose end it watches.
func (ex *exchange) endPermitted(id grant.ID, result sendResult) {
	if id == "" {
		return
	}
	end := grant.End{ID: id, Outcome: grant.Failed}
	switch result {
	case sendDone:
		end.Outcome = grant.Served
	case sendNotRun:
		end.Outcome, end.Full = grant.NotRun, ex.lastFull
	}
	ex.mu.Lock()
	leader := ex.leader
	ex.mu.Unlock()
	if leader != "" {
		ex.mesh.Send(leader, link.Message{End: &end})
	}
}
