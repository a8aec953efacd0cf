package voter

import (
	"shallotgap/core/census"
	"shallotgap/core/heed"
	"shallotgap/core/ident"
	corereach "shallotgap/core/reach"
	"shallotgap/io/clock"
)

// handleSaid applies what an endpoint said of itself to another host. One that leaves counts as if its heartbeat had said so, on all hosts.
func (v *Voter) handleSaid(from ident.HostID, r heed.Report, now ident.Time) {
	if r.Leaving {
		v.recordLeaving(r.Instance)
		return
	}
	if v.leadership != nil {
		v.leadership.authority.ObserveReport(r, from, now)
	}
}

func (v *Voter) recordLeaving(i ident.Instance) {
	e, known := v.census.Get(i.ID)
	if !known || e.Instance != i || e.State != census.Ready {
		return
	}
	e.State = census.Draining
	v.observeEndpoints([]census.Entry{e}, true)
}

// noteSaid applies what an engine said to this host.
func (v *Voter) noteSaid(t corereach.Target, s heed.Said) {
	go v.post(func() {
		v.handleSaid(v.Self, heed.Report{Instance: t.Instance, Service: t.Service, Leaving: s.Leaving, Rest: s.Rest}, clock.Boot())
	})
}
