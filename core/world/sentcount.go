package world

import (
	"shallotgap/core/ident"
)

// sentCount counts the requests that this host has sent to an endpoint and that the endpoint's load report may not include.
type sentCount struct {
	count int
	since ident.Time // start of the count, which is reset after a heartbeat interval
}

// countSent counts a request sent to an endpoint of another owner, since that owner's load reports arrive with a delay.
func (w *World) countSent(endpoint ident.EndpointID) {
	sent := w.sentCounts[endpoint]
	if w.now.Sub(sent.since) > w.Params.Heartbeat {
		sent = sentCount{since: w.now}
	}
	sent.count++
	w.sentCounts[endpoint] = sent
}

// recentlySent returns the number of requests sent to an endpoint that its last load report may not include yet.
func (w *World) recentlySent(endpoint ident.EndpointID) int {
	sent, ok := w.sentCounts[endpoint]
	if !ok || w.now.Sub(sent.since) > 2*w.Params.Heartbeat {
		return 0
	}
	return sent.count
}
