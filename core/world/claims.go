package world

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// openClaim asks for the right to run an unrepeatable request.
func (w *World) openClaim(item *place.Item) {
	item.Claiming = true
	o := claim.Open{
		Name:    item.Name(),
		Digest:  item.Digest,
		Request: item.ID,
		Try:     item.Try,
		Holder:  claim.Holder{Host: w.Self, Incarnation: w.Incarnation},
		Ends:    claimEnds(item.Request),
		Expires: max(item.KeyEnds, w.wall+int64(w.Params.KeyLife.Seconds())),
	}
	w.propose(state.Command{Open: &o}, purpose{claim: true})
}

// endsGrace covers the difference between the wall clocks of two hosts, in seconds.
const clockSkewSeconds = 5

// endsOf returns the wall-clock second from which a request that has left to go may not start.
func (w *World) latestStart(left time.Duration) int64 {
	return w.wall + int64((left+time.Second-1)/time.Second) + clockSkewSeconds
}

// claimGrace is the time in seconds after which a claim whose request's time is over counts as in doubt.
const claimGraceSeconds = 60

// claimEnds returns the end of a request's claim, never beyond the key's own end.
func claimEnds(r work.Request) int64 {
	if r.KeyEnds != 0 {
		return min(r.KeyEnds, r.Ends+claimGraceSeconds)
	}
	return r.Ends + claimGraceSeconds
}

// claimed takes the answer to openClaim. The claim of a request that was given up meanwhile is released: this host
// is its only holder, and it sends nothing for it any more.
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
	w.refuse(o.Request, item.From, claimRefusal(*res.Claim))
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
		r.Reason, r.RetryAfter = work.Late, RetryLater
	case res.Record.State == claim.InDoubt:
		r.Outcome, r.Reason = work.InDoubt, work.KeyInDoubt
	default:
		r.Outcome, r.Reason, r.RetryAfter = work.InDoubt, work.KeyRunning, RetryLater
	}
	return r
}

// closeClaim records an outcome; the proposal is repeated until a leader answers it.
func (w *World) closeClaim(o claim.Open, outcome claim.State, answer *claim.Answer) {
	w.propose(closeCommand(o, outcome, answer), purpose{})
}

func closeCommand(o claim.Open, outcome claim.State, answer *claim.Answer) state.Command {
	return state.Command{Close: &claim.Close{Name: o.Name, Request: o.Request, Holder: o.Holder, Try: o.Try, State: outcome, Answer: answer}}
}

// openOf returns the claim that this host holds for a request.
func (w *World) claimOf(item *place.Item) claim.Open {
	return claim.Open{Name: item.Name(), Request: item.ID, Try: item.Try, Holder: claim.Holder{Host: w.Self, Incarnation: w.Incarnation}}
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
