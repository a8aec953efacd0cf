package story

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/logs"
)

// maxUnexplainedGap is the longest time between two log lines of a request that is not reported as a gap: a load from a busy
// weight store may take this long.
const maxUnexplainedGap = time.Second

// The steps that must be logged for every request sent to an endpoint.
const (
	stepGrant = "grant"
	stepEnd   = "end"
)

// gaps describes what the log lines of a request leave unexplained. from is the time of its first line,
// and to is the result of contextEnd.
func (r *Reader) gaps(s Story, from, to time.Time) []string {
	var list []string
	seen := map[string]Line{}
	var previous *Line
	for _, l := range s.Lines {
		if l.Message == logs.LinesDropped {
			list = append(list, fmt.Sprintf("host %s lost lines of its log: %s", l.Host, l.Inputs))
		}
		if l.request != r.request {
			continue
		}
		seen[l.Step] = l
		if previous != nil && l.At.Sub(previous.At) > maxUnexplainedGap {
			list = append(list, fmt.Sprintf("%.1f s without a line between %s on host %s and %s on host %s", l.At.Sub(previous.At).Seconds(), previous.Step, previous.Host, l.Step, l.Host))
		}
		previous = &l
	}
	end, ended := seen[stepEnd]
	grant, granted := seen[stepGrant]
	switch {
	case !ended && granted:
		list = append(list, fmt.Sprintf("entry host %s, to which endpoint %s was granted, does not tell how the request ended%s", grant.Peer, grant.Endpoint, r.logSpan(grant.Peer)))
	case !ended:
		list = append(list, "no entry host tells how the request ended: it was killed, its log is missing, or the request still runs")
	case end.Endpoint != "" && !granted:
		list = append(list, fmt.Sprintf("no host tells why endpoint %s was chosen: the log of the leader is missing", end.Endpoint))
	}
	if granted && ended && grant.Endpoint != end.Endpoint && end.Endpoint != "" {
		list = append(list, fmt.Sprintf("the last grant names endpoint %s, the end %s", grant.Endpoint, end.Endpoint))
	}
	if !ended {
		list = append(list, r.uncoveredHosts(s, from, to)...)
	}
	return list
}

// logSpan describes the period that the log of a host covers.
func (r *Reader) logSpan(h ident.HostID) string {
	s := r.spans[h]
	if s == nil {
		return ": its log was not read"
	}
	return fmt.Sprintf(": its log goes from %s to %s", s.first.Format(time.RFC3339Nano), s.last.Format(time.RFC3339Nano))
}

// uncoveredHosts describes the hosts without a line of the request whose logs begin or end while it ran.
func (r *Reader) uncoveredHosts(s Story, from, to time.Time) []string {
	var list []string
	involved := map[ident.HostID]bool{}
	for _, l := range s.Lines {
		involved[l.Host] = involved[l.Host] || l.request == r.request
	}
	for _, h := range r.sortedHosts() {
		switch span := r.spans[h]; {
		case !involved[h] && span.last.Before(to) && span.last.After(from):
			list = append(list, fmt.Sprintf("the log of host %s ends at %s, before the request did", h, span.last.Format(time.RFC3339Nano)))
		case !involved[h] && span.first.After(from) && span.first.Before(to):
			list = append(list, fmt.Sprintf("the log of host %s begins at %s, after the request", h, span.first.Format(time.RFC3339Nano)))
		}
	}
	return list
}
