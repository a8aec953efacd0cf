package voter

import (
	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// openDeparture returns the departure of an endpoint that a call reports, after the census has recorded the call, and whether the departure must
// still be replicated before the call is acknowledged. A heartbeat that the census did not accept departs nothing.
func (v *Voter) openDeparture(c link.EndpointCall) (census.Departure, bool) {
	var d census.Departure
	switch {
	case c.Heartbeat != nil && c.Heartbeat.State == census.Draining:
		d = census.Departure{Instance: c.Heartbeat.Instance, State: census.Draining}
		if e, known := v.census.Get(d.Instance.ID); !known || e.Instance != d.Instance {
			return d, false
		}
	case c.Left != nil:
		d = census.Departure{Instance: *c.Left, State: census.Gone}
		if _, known := v.census.Get(d.Instance.ID); !known && d.Instance.Born == 0 {
			return d, false
		}
	}
	return d, d.State > v.book.Departures.State(d.Instance)
}

// replicateDeparture commits a departure and then answers the call with the given id. Only a leader answers; the sender forwards the call
// to the next one.
func (v *Voter) replicateDeparture(from ident.HostID, id uint64, d census.Departure) {
	if !v.node.LeadershipConfirmed() {
		v.deferCall(func() { v.replicateDeparture(from, id, d) })
		return
	}
	v.propose(id, book.Command{Departed: &d}, func(a link.Answer) { v.reply(from, a) })
}

// publishDepartures passes endpoints that have departed by the log to the authority and, from the leader, to the other hosts.
func (v *Voter) publishDepartures(list []census.Entry) {
	for _, e := range list {
		v.logEndpoint(e, "departed")
		if v.leadership != nil {
			v.leadership.authority.Observe(e, clock.Boot())
			v.queueChange(e)
		}
	}
}

// sendDepartures has a new leader send the endpoints that drain or have left to all hosts: the host that heard of it may have ended before it
// told them.
func (v *Voter) sendDepartures() {
	for _, e := range v.heardEndpoints() {
		if e.State != census.Ready {
			v.queueChange(e)
		}
	}
}
