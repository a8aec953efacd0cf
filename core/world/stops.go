package world

import (
	"fmt"
	"slices"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
)

// stops moves planned stops on: from planned to draining at their time, to safe once nothing depends on the target,
// and back when that no longer holds.
func (l *leadership) stops(w *World) {
	for _, s := range w.state.Stops.List() {
		if l.advancing[s.ID()] > w.state.Applied {
			continue
		}
		next, waiting := l.nextPhase(w, s)
		if next == s.Phase && waiting == s.Waiting {
			continue
		}
		p := drain.Progress{Stop: s.ID(), Edit: s.Edit, From: s.Phase, Phase: next, Waiting: waiting}
		if s.Phase == drain.Planned {
			p.Hosts = l.members(w)
		}
		l.advancing[s.ID()] = l.propose(w, w.Self, Proposal{Command: state.Command{Progress: &p}})
	}
	l.standDown(w)
}

func (l *leadership) nextPhase(w *World, s drain.Stop) (drain.Phase, string) {
	if s.Phase == drain.Planned {
		if s.At > w.wall {
			return drain.Planned, ""
		}
		if err := w.state.Stops.CheckStart(s, l.members(w), w.wall, w.state.Owners); err != nil {
			return drain.Planned, err.Error()
		}
		return drain.Draining, "new work has just ended"
	}
	if why := l.hostsWait(w, s); why != "" {
		return drain.Draining, why
	}
	if why := l.endpointsWait(w, s); why != "" {
		return drain.Draining, why
	}
	return drain.Safe, ""
}

// members returns the entry hosts with what this leader knows of them.
func (l *leadership) members(w *World) []drain.Member {
	list := make([]drain.Member, 0, len(w.Peers))
	for _, p := range w.Peers {
		list = append(list, drain.Member{
			Host: p.Host, Domain: p.Domain, Voter: w.node.IsVoter(p.Host), Down: l.granter.Expired(p.Host, w.now),
		})
	}
	return list
}

// hostsWait tells what the stop of entry hosts still waits for, or "".
func (l *leadership) hostsWait(w *World, s drain.Stop) string {
	if len(s.Hosts) == 0 {
		return ""
	}
	if w.now < w.drainEnd(s) {
		return "callers may still hold an older address answer"
	}
	for _, e := range w.state.Owners.All() {
		if s.CoversHost(e.Owner) {
			return fmt.Sprintf("host %s still owns endpoint %s", e.Owner, e.ID)
		}
	}
	for _, h := range s.Hosts {
		if why := l.hostWaits(w, s, h); why != "" {
			return why
		}
	}
	return l.votersWait(w)
}

// noteDrains remembers when this host learned of each drain. A drain has started by then, and hosts that lag behind it
// get no lease from any leader.
func (w *World) noteDrains() {
	for _, s := range w.state.Stops.List() {
		if _, known := w.draining[s.Since]; s.Since != 0 && !known {
			w.draining[s.Since] = w.now
		}
	}
}

// drainEnd returns when no caller can hold an address answer from before the drain any more.
func (w *World) drainEnd(s drain.Stop) ident.Time {
	w.noteDrains()
	return w.draining[s.Since].Add(w.Params.EntryLife + w.Params.Lease.Length + w.Params.Lease.Spread)
}

func (l *leadership) hostWaits(w *World, s drain.Stop, h ident.HostID) string {
	if l.granter.Expired(h, w.now) {
		// A lost host that was safe stays so: it was idle, and gets no lease for new work before it has followed.
		if s.Phase == drain.Safe || l.granter.SilentFor(h, w.now) > w.Params.LongestRequest {
			return ""
		}
		return fmt.Sprintf("host %s is lost; its work may still run", h)
	}
	last, alive := l.granter.LastRenewal(h, w.now)
	switch {
	case !alive || last.Applied < s.Since:
		return fmt.Sprintf("host %s has not confirmed the stop", h)
	case last.Busy > 0:
		return fmt.Sprintf("host %s still serves %d requests", h, last.Busy)
	case h == w.Self:
		return fmt.Sprintf("host %s still leads", h)
	}
	return ""
}

// votersWait makes sure that the voters which stay hold a majority with all that is committed.
func (l *leadership) votersWait(w *World) string {
	ready, all := w.node.CaughtUpVoters(w.state.Stops.HostStopping)
	if ready <= all/2 {
		return fmt.Sprintf("only %d of %d voters that stay are up to date", ready, all)
	}
	return ""
}

// endpointsWait tells what the stop of endpoints still waits for, or "": every entry host must have seen the stop,
// or hold no lease, and none may still run work there.
func (l *leadership) endpointsWait(w *World, s drain.Stop) string {
	taken := w.endpointsOf(s)
	if len(taken) == 0 {
		return ""
	}
	for _, p := range w.Peers {
		last, alive := l.granter.LastRenewal(p.Host, w.now)
		if !alive {
			if !l.granter.Expired(p.Host, w.now) {
				return fmt.Sprintf("host %s has not confirmed the stop", p.Host)
			}
			if l.granter.SilentFor(p.Host, w.now) < w.Params.LongestRequest && slices.ContainsFunc(taken, w.usedBy(p.Host)) {
				return fmt.Sprintf("host %s is lost; its work may still run", p.Host)
			}
			continue
		}
		if last.Applied < s.Since {
			return fmt.Sprintf("host %s has not confirmed the stop", p.Host)
		}
		for _, e := range taken {
			if slices.Contains(last.Working, e.ID) {
				return fmt.Sprintf("endpoint %s still runs work of host %s", e.ID, p.Host)
			}
		}
	}
	return ""
}

// usedBy returns whether a host owns an endpoint or did so before.
func (w *World) usedBy(h ident.HostID) func(lease.Owned) bool {
	return func(e lease.Owned) bool { return e.Owner == h || e.Previous == h }
}

func (w *World) endpointsOf(s drain.Stop) []lease.Owned {
	var list []lease.Owned
	for _, e := range w.state.Owners.All() {
		if s.CoversEndpoint(e.Endpoint) {
			list = append(list, e)
		}
	}
	return list
}

// standDown gives up leadership on a host that stops, once the voters that stay can elect another leader.
func (l *leadership) standDown(w *World) {
	if !w.state.Stops.HostStopping(w.Self) {
		return
	}
	if ready, all := w.node.CaughtUpVoters(w.state.Stops.HostStopping); ready > all/2 {
		w.node.StepDown(w.state.Stops.HostStopping)
	}
}
