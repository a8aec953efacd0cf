package world

import (
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/state"
)

// stops moves planned stops on: from planned to draining at their time, to safe once nothing depends on the target.
func (l *leadership) stops(w *World) {
	for _, s := range w.state.Stops.List() {
		next, waiting := l.nextPhase(w, s)
		if next == s.Phase && waiting == s.Waiting {
			continue
		}
		p := drain.Progress{Stop: s.ID(), Phase: next, Waiting: waiting}
		l.propose(w, w.Self, Proposal{Command: state.Command{Progress: &p}})
	}
}

func (l *leadership) nextPhase(w *World, s drain.Stop) (drain.Phase, string) {
	if s.Phase == drain.Planned {
		if s.At > w.wall {
			return drain.Planned, ""
		}
		return drain.Draining, "new work has just ended"
	}
	if s.Target == drain.Host && l.ownsAny(w, ident.HostID(s.Name)) {
		return drain.Draining, "the host still owns endpoints"
	}
	return drain.Safe, ""
}

func (l *leadership) ownsAny(w *World, h ident.HostID) bool {
	for _, e := range w.state.Owners.All() {
		if e.Owner == h {
			return true
		}
	}
	return false
}
