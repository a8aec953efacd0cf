package world

import (
	"shallotgap/core/ident"
)

// sending counts what this host has sent to an endpoint since the report that it knows.
type sending struct {
	count int
	at    ident.Time
}

// noteSent counts a request that this host sends to an endpoint of another owner, as reports come late.
func (w *World) noteSent(e ident.EndpointID) {
	s := w.sending[e]
	if w.now.Sub(s.at) > w.Params.Heartbeat {
		s = sending{at: w.now}
	}
	s.count++
	w.sending[e] = s
}

// sentLately returns the requests that the endpoint's last report may not count yet.
func (w *World) sentLately(e ident.EndpointID) int {
	s, ok := w.sending[e]
	if !ok || w.now.Sub(s.at) > 2*w.Params.Heartbeat {
		return 0
	}
	return s.count
}
