package story

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/logs"
)

// maxUnexplainedGap is the longest time between two log lines of a request that is not reported as a gap: a load from a busy
// adapter store may take this long.
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
			list = append(list, fmt.Sprintf("host %s dropped log lines: %s", l.Host, l.Inputs))
		}
		if l.request != r.request {
			continue
		}
		seen[l.Step] = l
		if previous != nil && l.At.Sub(previous.At) > maxUnexplainedGap {
			list = append(list, fmt.Sprintf("%.1f s without a log line between %s on host %s and %s on host %s", l.At.Sub(previous.At).Seconds(), previous.Step, previous.Host, l.Step, l.Host))
		}
		previous = &l
	}
	end, ended := seen[stepEnd]
	grant, granted := seen[stepGrant]
	switch {
	case !ended && granted:
		list = append(list, fmt.Sprintf("entry host %s, which was granted endpoint %s, logged no end of the request%s", grant.Peer, grant.Endpoint, r.logSpan(grant.Peer)))
	case !ended:
		list = append(list, "no entry host logged the end of the request: the host was killed, its log is missing, or the request is still running")
	case end.Endpoint != "" && !granted:
		list = append(list, fmt.Sprintf("no host logged why endpoint %s was chosen: the log of the leader is missing", end.Endpoint))
	}
	if granted && ended && grant.Endpoint != end.Endpoint && end.Endpoint != "" {
		list = append(list, fmt.Sprintf("the last grant names endpoint %s, but the end of the request names endpoint %s", grant.Endpoint, end.Endpoint))
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
	return fmt.Sprintf(": its log covers %s to %s", s.first.Format(time.RFC3339Nano), s.last.Format(time.RFC3339Nano))
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
			list = append(list, fmt.Sprintf("the log of host %s ends at %s, before the end of the request", h, span.last.Format(time.RFC3339Nano)))
		case !involved[h] && span.first.After(from) && span.first.Before(to):
			list = append(list, fmt.Sprintf("the log of host %s begins at %s, after the start of the request", h, span.first.Format(time.RFC3339Nano)))
		}
	}
	return list
}
