package matrix

import (
	"shallotgap/core/quorum"
	"shallotgap/core/state"
	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// Step is a point in the processing of a request, an edit, a lease or a planned stop at which a fault can be injected.
type Step string

// The steps.
const (
	Ask        Step = "ask"         // a caller asks for the list of entry hosts
	Connect    Step = "connect"     // a caller connects to an entry host
	Admit      Step = "admit"       // an entry host receives a request
	Claim      Step = "claim"       // the claim of an idempotency key is proposed or written
	Forward    Step = "forward"     // the entry host forwards a request to the owner
	Load       Step = "load"        // the owner sends a load order
	Dispatch   Step = "dispatch"    // the owner sends a request to the endpoint
	FirstToken Step = "first-token" // the first chunk of an answer arrives
	MidStream  Step = "mid-stream"  // the middle chunk arrives
	Answer     Step = "answer"      // the last chunk arrives
	Record     Step = "record"      // the outcome of a key is proposed or written
	Edit       Step = "edit"        // an operator sends an edit
	Commit     Step = "commit"      // a voter writes an edit to the log
	Apply      Step = "apply"       // a host applies a new row
	Renew      Step = "renew"       // a host sends a lease renewal
	TakeOver   Step = "take-over"   // an owner is assigned or inspects its endpoint
	Announce   Step = "announce"    // an endpoint announces itself
	Drain      Step = "drain"       // a voter writes the progress of a drain
	Stop       Step = "stop"        // a planned stop or its withdrawal is sent, proposed or written
)

// Steps lists all steps. The order is that in which the cells run.
var Steps = []Step{
	Ask, Connect, Admit, Claim, Forward, Load, Dispatch, FirstToken, MidStream, Answer, Record,
	Edit, Commit, Apply, Renew, TakeOver, Announce, Drain, Stop,
}

// stepsOf returns the steps that an effect of a decision core begins. The remaining steps are triggered by Bench.
func stepsOf(e world.Effect) []Step {
	switch {
	case e.Forward != nil:
		return []Step{Forward}
	case e.Load != nil:
		return []Step{Load}
	case e.Dispatch != nil:
		return []Step{Dispatch}
	case e.Inspect != nil:
		return []Step{TakeOver}
	case e.Send != nil && e.Send.Message.Renew != nil:
		return []Step{Renew}
	case e.Send != nil && e.Send.Message.Propose != nil:
		return proposalSteps(e.Send.Message.Propose.Command)
	case e.Write != nil:
		return entrySteps(e.Write.Entries)
	}
	return nil
}

// proposalSteps returns the steps that a proposed command begins.
func proposalSteps(c state.Command) []Step {
	switch {
	case c.Open != nil:
		return []Step{Claim}
	case c.Close != nil:
		return []Step{Record}
	case c.Mark != nil:
		return []Step{Stop}
	}
	return nil
}

// entrySteps returns the steps of log entries that are about to become durable.
func entrySteps(entries []quorum.Entry) []Step {
	var list []Step
	for _, e := range entries {
		var c state.Command
		if e.Kind != quorum.Normal || wire.Unmarshal(e.Data, &c) != nil {
			continue
		}
		switch {
		case c.Edit != nil:
			list = append(list, Commit)
		case c.Assign != nil:
			list = append(list, TakeOver)
		case c.Progress != nil:
			list = append(list, Drain)
		default:
			list = append(list, proposalSteps(c)...)
		}
	}
	return list
}
