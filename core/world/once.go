package world

import (
	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

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
			w.sendBack(it, work.NotOwner)
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
	w.propose(w.closing(it, s, a), purpose{})
}

func (w *World) closing(it *place.Item, s claim.State, a *claim.Answer) state.Command {
	holder := claim.Holder{Host: w.Self, Incarnation: w.Incarnation}
	return state.Command{Close: &claim.Close{Name: it.Name(), Request: it.ID, Holder: holder, State: s, Answer: a}}
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
