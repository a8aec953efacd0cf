package world

import (
	"shallotgap/core/ident"
)

// sending counts what this host has sent to an endpoint since the report that it knows.
type sentCount struct {
	count int
	since ident.Time
}

// noteSent counts a request that this host sends to an endpoint of another owner, as reports come late.
func (w *World) countSent(e ident.EndpointID) {
	s := w.sentCounts[e]
	if w.now.Sub(s.since) > w.Params.Heartbeat {
		s = sentCount{since: w.now}
	}
	s.count++
	w.sentCounts[e] = s
}

// sentLately returns the requests that the endpoint's last report may not count yet.
func (w *World) recentlySent(e ident.EndpointID) int {
	s, ok := w.sentCounts[e]
	if !ok || w.now.Sub(s.since) > 2*w.Params.Heartbeat {
		return 0
	}
	return s.count
}
