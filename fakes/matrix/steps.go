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
	Ask        Step = "ask"
	Connect    Step = "connect"
	Admit      Step = "admit"
	Claim      Step = "claim"
	Forward    Step = "forward"
	Load       Step = "load"
	Dispatch   Step = "dispatch"
	FirstToken Step = "first-token"
	MidStream  Step = "mid-stream"
	Answer     Step = "answer"
	Record     Step = "record"
	Edit       Step = "edit"
	Commit     Step = "commit"
	Apply      Step = "apply"
	Renew      Step = "renew"
	TakeOver   Step = "take-over"
	Announce   Step = "announce"
	Drain      Step = "drain"
	Stop       Step = "stop"
)

// Steps lists all steps.
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
