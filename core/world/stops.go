package world

import (
	"fmt"
	"slices"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
)

// advanceStops proposes the next phase of each planned stop: from planned to draining at the planned time, to safe once nothing
// depends on the target, and back to draining if something depends on the target again.
func (l *leadership) advanceStops(w *World) {
	for _, s := range w.state.Stops.List() {
		if l.proposedSteps[s.ID()] > w.state.Applied {
			continue
		}
		next, waiting := l.nextPhase(w, s)
		if next == s.Phase && waiting == s.Waiting {
			continue
		}
		p := drain.Progress{Stop: s.ID(), Edit: s.Edit, From: s.Phase, Phase: next, Waiting: waiting}
		if s.Phase == drain.Planned {
			p.Hosts = l.stopMembers(w)
		}
		l.proposedSteps[s.ID()] = l.propose(w, w.Self, Proposal{Command: state.Command{Progress: &p}})
	}
	l.stepDown(w)
}

// nextPhase returns the phase that a stop should be in now, and what the stop still waits for.
func (l *leadership) nextPhase(w *World, s drain.Stop) (drain.Phase, string) {
	if s.Phase == drain.Planned {
		if s.At > w.wall {
			return drain.Planned, ""
		}
		if err := w.state.Stops.CheckStart(s, l.stopMembers(w), w.wall, w.state.Owners); err != nil {
			return drain.Planned, err.Error()
		}
		return drain.Draining, "new work has just ended"
	}
	if blocker := l.hostsBlocker(w, s); blocker != "" {
		return drain.Draining, blocker
	}
	if blocker := l.endpointsBlocker(w, s); blocker != "" {
		return drain.Draining, blocker
	}
	return drain.Safe, ""
}

// stopMembers returns all hosts with their failure domain and state, to check whether a stop is safe to start.
func (l *leadership) stopMembers(w *World) []drain.Member {
	list := make([]drain.Member, 0, len(w.Peers))
	for _, p := range w.Peers {
		list = append(list, drain.Member{
			Host: p.Host, Domain: p.Domain, Voter: w.node.IsVoter(p.Host), Down: l.granter.Expired(p.Host, w.now),
		})
	}
	return list
}

// hostsBlocker returns what the stop of entry hosts still waits for, or "".
func (l *leadership) hostsBlocker(w *World, s drain.Stop) string {
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
		if blocker := l.hostBlocker(w, s, h); blocker != "" {
			return blocker
		}
	}
	return l.votersBlocker(w)
}

// recordDrains records when this host learned of each drain. A drain has started by that time, and hosts that have not applied
// its start for longer than the permitted lag get no lease from any leader.
func (w *World) recordDrains() {
	for _, s := range w.state.Stops.List() {
		if _, known := w.drainSeenAt[s.Since]; s.Since != 0 && !known {
			w.drainSeenAt[s.Since] = w.now
		}
	}
}

// drainEnd returns when all lists of entry hosts that callers cached before the drain have expired.
func (w *World) drainEnd(s drain.Stop) ident.Time {
	w.recordDrains()
	return w.drainSeenAt[s.Since].Add(w.Params.EntryLife + w.Params.Lease.Length + w.Params.Lease.Spread)
}

// hostBlocker returns what the stop still waits for at one entry host, or "".
func (l *leadership) hostBlocker(w *World, s drain.Stop, h ident.HostID) string {
	if l.granter.Expired(h, w.now) {
		// A lost host whose stop was safe stays safe: it was idle, and gets no lease for new requests until it has applied the stop.
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

// votersBlocker returns a reason to wait if the voters that are not being stopped and hold all committed entries are no
// majority, or "".
func (l *leadership) votersBlocker(w *World) string {
	upToDate, all := w.node.CaughtUpVoters(w.state.Stops.HostStopping)
	if upToDate <= all/2 {
		return fmt.Sprintf("only %d of %d voters that stay are up to date", upToDate, all)
	}
	return ""
}

// endpointsBlocker returns what the stop of endpoints still waits for, or "". Every entry host must have applied the stop
// or hold no lease, and no host may still run requests at the endpoints.
func (l *leadership) endpointsBlocker(w *World, s drain.Stop) string {
	endpoints := w.endpointsToStop(s)
	if len(endpoints) == 0 {
		return ""
	}
	for _, p := range w.Peers {
		last, alive := l.granter.LastRenewal(p.Host, w.now)
		if !alive {
			if !l.granter.Expired(p.Host, w.now) {
				return fmt.Sprintf("host %s has not confirmed the stop", p.Host)
			}
			if l.granter.SilentFor(p.Host, w.now) < w.Params.LongestRequest && slices.ContainsFunc(endpoints, w.usedByHost(p.Host)) {
				return fmt.Sprintf("host %s is lost; its work may still run", p.Host)
			}
			continue
		}
		if last.Applied < s.Since {
			return fmt.Sprintf("host %s has not confirmed the stop", p.Host)
		}
		for _, e := range endpoints {
			if slices.Contains(last.Working, e.ID) {
				return fmt.Sprintf("endpoint %s still runs work of host %s", e.ID, p.Host)
			}
		}
	}
	return ""
}

// usedByHost returns a function that reports whether h is the present or previous owner of an endpoint.
func (w *World) usedByHost(h ident.HostID) func(lease.Owned) bool {
	return func(e lease.Owned) bool { return e.Owner == h || e.Previous == h }
}

// endpointsToStop returns the endpoints that a stop takes out of service.
func (w *World) endpointsToStop(s drain.Stop) []lease.Owned {
	var list []lease.Owned
	for _, e := range w.state.Owners.All() {
		if s.CoversEndpoint(e.Endpoint) {
			list = append(list, e)
		}
	}
	return list
}

// stepDown gives up leadership on a host that is being stopped, once the remaining voters can elect another leader.
func (l *leadership) stepDown(w *World) {
	if !w.state.Stops.HostStopping(w.Self) {
		return
	}
	if upToDate, all := w.node.CaughtUpVoters(w.state.Stops.HostStopping); upToDate > all/2 {
		w.node.StepDown(w.state.Stops.HostStopping)
	}
}
