package world

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// openClaim proposes a claim, the replicated right to run an at-most-once request.
func (w *World) openClaim(item *place.Item) {
	item.Claiming = true
	o := claim.Open{
		Name:    item.ClaimName(),
		Digest:  item.Digest,
		Request: item.ID,
		Try:     item.Reroutes,
		Holder:  claim.Holder{Host: w.Self, Incarnation: w.Incarnation},
		Ends:    claimEnds(item.Request),
		Expires: max(item.KeyEnds, w.wall+int64(w.Params.KeyLife.Seconds())),
	}
	w.propose(state.Command{Open: &o}, purpose{opensClaim: true})
}

// clockSkewSeconds is the allowed difference between the wall clocks of two hosts.
const clockSkewSeconds = 5

// latestStart returns the wall-clock second (Unix) from which no host may start a request that has the given time left until
// its deadline.
func (w *World) latestStart(left time.Duration) int64 {
	return w.wall + int64((left+time.Second-1)/time.Second) + clockSkewSeconds
}

// claimGraceSeconds is the time from a request's latest start until its open claim counts as in doubt.
const claimGraceSeconds = 60

// claimEnds returns the wall-clock second (Unix) at which a request's claim ends, at the latest when its key expires.
func claimEnds(r work.Request) int64 {
	if r.KeyEnds != 0 {
		return min(r.KeyEnds, r.StartBefore+claimGraceSeconds)
	}
	return r.StartBefore + claimGraceSeconds
}

// claimAnswered handles the result of openClaim. If the request was rejected or canceled in the meantime, its claim is
// released, which is safe: only this host, as the holder of the claim, could dispatch the request, and it no longer will.
func (w *World) claimAnswered(o claim.Open, res state.Result) {
	item := w.items[o.Request]
	if res.Claim == nil {
		return
	}
	if w.claimAnsweredForReturn(o, *res.Claim) {
		return
	}
	if item == nil {
		if res.Claim.Granted {
			w.closeClaim(o, claim.Released, nil)
		}
		return
	}
	item.Claiming = false
	if res.Claim.Granted {
		item.Claimed = true
		w.note(o.Request, "claim", "committed by a majority", "")
		return
	}
	w.drop(item)
	w.reject(o.Request, item.From, claimRejection(*res.Claim))
}

// claimRejection returns the rejection of a request that got no claim.
func claimRejection(res claim.Result) work.Refusal {
	r := work.Refusal{Outcome: work.NotRun, Step: "claim", Record: res.Record}
	switch {
	case res.Late:
		r.Reason = work.KeyExpired
	case res.Mismatch:
		r.Reason = work.KeyReused
	case res.Record == nil || res.Record.State == claim.Released:
		r.Reason, r.RetryAfter = work.Late, DefaultRetryAfter
	case res.Record.State == claim.InDoubt:
		r.Outcome, r.Reason = work.InDoubt, work.KeyInDoubt
	default:
		r.Outcome, r.Reason, r.RetryAfter = work.InDoubt, work.KeyRunning, DefaultRetryAfter
	}
	return r
}

// closeClaim proposes the outcome of a claim; the proposal is resent until a leader answers it.
func (w *World) closeClaim(o claim.Open, outcome claim.State, answer *claim.Answer) {
	w.propose(closeCommand(o, outcome, answer), purpose{})
}

// closeCommand returns the command that closes a claim with an outcome.
func closeCommand(o claim.Open, outcome claim.State, answer *claim.Answer) state.Command {
	return state.Command{Close: &claim.Close{
		Name: o.Name, Request: o.Request, Holder: o.Holder, Try: o.Try, State: outcome, Answer: answer,
	}}
}

// claimOf returns the claim that this host holds for a request.
func (w *World) claimOf(item *place.Item) claim.Open {
	return claim.Open{Name: item.ClaimName(), Request: item.ID, Try: item.Reroutes, Holder: claim.Holder{Host: w.Self, Incarnation: w.Incarnation}}
}

// claimState returns the outcome to record for a claim after the request ended in the given state.
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
