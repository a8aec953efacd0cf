package front

import (
	"context"
	"time"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// reportedWritten is the number of parts that a new authority is told to be sound.
const reportedWritten = 256

// handlePoison replaces the suspected and blocked parts by a later table.
func (f *Front) handlePoison(from ident.HostID, s poison.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch.answered()
	if s.Changes <= f.poison.Changes {
		return
	}
	f.poison = poison.Restore(s)
	f.Log.WithField("step", "poison").WithField("peer", from).WithField("changes", s.Changes).WithField("parts", len(s.Records)).Info("parts")
}

// PoisonParts returns the suspected and blocked parts.
func (f *Front) PoisonParts(context.Context) ([]poison.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poison.List(), nil
}

// stateOf returns the strictest state of the parts of a request, 0 if none is suspected, and such a part. f.mu must be held.
func (f *Front) stateOf(parts []grant.Part) (poison.State, poison.Part) {
	var state poison.State
	var worst poison.Part
	if f.poison.Len() == 0 {
		return state, worst
	}
	for _, p := range grant.SharedParts(parts) {
		r, known := f.poison.Get(p)
		if known && (state == 0 || r.State == poison.Blocked) {
			state, worst = r.State, p
		}
	}
	return state, worst
}

// rejectBlocked rejects a request whose prompt holds a blocked part, and reports whether it did. A stream that broke off is not sent
// on with one.
func (ex *exchange) rejectBlocked() bool {
	ex.mu.Lock()
	state, part := ex.stateOf(ex.call.Parts)
	ex.mu.Unlock()
	if state != poison.Blocked {
		state, part = ex.suspicion()
	}
	if state != poison.Blocked {
		return false
	}
	ex.logDecision("poison", "", "blocked", "part="+string(part))
	ex.Meter.Count("shallotgap_poison_rejected_total")
	ex.fail(string(grant.Poison), poison.RetryAfter)
	return true
}

// breakdown tells how the stream from an engine broke.
type breakdown struct {
	begun bool // the engine had begun to answer
	wrote time.Duration
}

// releaseBroken ends a grant whose connection to the engine broke. Without a leader, which would ask the engine, this host finds out by
// itself whether the engine has crashed.
func (ex *exchange) releaseBroken(ctx context.Context, req *grantRequest, first time.Duration, b breakdown) {
	end := grant.End{Outcome: grant.Failed, First: first, Broken: true, Begun: b.begun, Wrote: b.wrote}
	ex.mu.Lock()
	led := ex.leader != ""
	ex.mu.Unlock()
	if b.wrote < grant.WrittenAfter {
		end.Whole, end.Label = ex.wholeParts(), ex.identity().Label()
		if !led {
			ex.checkCrash(ctx, req.place.Instance, req.place.Address)
		}
	}
	ex.releaseWith(req, end)
}

// recordWritten remembers the parts of a prompt that an engine has written on.
func (f *Front) recordWritten(parts []grant.Part) {
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range grant.SharedParts(parts) {
		f.written.Add(p, now)
	}
}

// reportWritten records that the granted engine has written on the prompt, and tells the authority if it watches the request.
func (e *eventStream) reportWritten(req *grantRequest) {
	if e.reported || e.wrote() < grant.WrittenAfter {
		return
	}
	e.reported = true
	f := e.exchange.Front
	f.recordWritten(e.exchange.call.Parts)
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	if req.place.Watch && leader != "" {
		f.mesh.Send(leader, link.Message{Written: req.msg.ID})
	}
}
