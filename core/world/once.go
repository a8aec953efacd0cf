package world

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// openClaim asks for the right to run an unrepeatable request.
func (w *World) openClaim(it *place.Item) {
	it.Claiming = true
	o := claim.Open{
		Name:    it.ClaimName(),
		Digest:  it.Digest,
		Request: it.ID,
		Try:     it.Reroutes,
		Holder:  claim.Holder{Host: w.Self, Incarnation: w.Incarnation},
		Ends:    claimEnds(it.Request),
		Expires: max(it.KeyEnds, w.wall+int64(w.Params.KeyLife.Seconds())),
	}
	w.propose(state.Command{Open: &o}, purpose{request: true})
}

// endsGrace covers the difference between the wall clocks of two hosts, in seconds.
const endsGrace = 5

// endsOf returns the wall-clock second from which a request that has left to go may not start.
func (w *World) endsOf(left time.Duration) int64 {
	return w.wall + int64((left+time.Second-1)/time.Second) + endsGrace
}

// claimGrace is the time in seconds after which a claim whose request's time is over counts as in doubt.
const claimGrace = 60

// claimEnds returns the end of a request's claim, never beyond the key's own end.
func claimEnds(r work.Request) int64 {
	if r.KeyEnds != 0 {
		return min(r.KeyEnds, r.StartBefore+claimGrace)
	}
	return r.StartBefore + claimGrace
}

// claimed takes the answer to openClaim. The claim of a request that was given up meanwhile is released: this host
// is its only holder, and it sends nothing for it any more.
func (w *World) claimed(o claim.Open, res state.Result) {
	it := w.items[o.Request]
	if res.Claim == nil {
		return
	}
	if w.claimedBack(o, *res.Claim) {
		return
	}
	if it == nil {
		if res.Claim.Granted {
			w.closeClaim(o, claim.Released, nil)
		}
		return
	}
	it.Claiming = false
	if res.Claim.Granted {
		it.Claimed = true
		w.note(o.Request, "claim", "committed by a majority", "")
		return
	}
	w.drop(it)
	w.refuse(o.Request, it.From, claimRefusal(*res.Claim))
}

// claimRefusal tells a caller why its request got no claim.
func claimRefusal(res claim.Result) work.Refusal {
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

// closeClaim records an outcome; the proposal is repeated until a leader answers it.
func (w *World) closeClaim(o claim.Open, s claim.State, a *claim.Answer) {
	w.propose(closing(o, s, a), purpose{})
}

func closing(o claim.Open, s claim.State, a *claim.Answer) state.Command {
	return state.Command{Close: &claim.Close{Name: o.Name, Request: o.Request, Holder: o.Holder, Try: o.Try, State: s, Answer: a}}
}

// openOf returns the claim that this host holds for a request.
func (w *World) openOf(it *place.Item) claim.Open {
	return claim.Open{Name: it.ClaimName(), Request: it.ID, Try: it.Reroutes, Holder: claim.Holder{Host: w.Self, Incarnation: w.Incarnation}}
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
