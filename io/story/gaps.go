package story

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/logs"
)

// silence is the longest time between two lines of a request that needs no explanation: a request may wait so long for
// an adapter from a busy store.
const silence = time.Second

// The steps that a story needs.
const (
	stepGrant = "grant"
	stepEnd   = "end"
)

// gaps names what the lines of a request do not tell.
func (r *Reader) gaps(s Story, from, to time.Time) []string {
	var list []string
	seen := map[string]Line{}
	var before *Line
	for _, l := range s.Lines {
		if l.Message == logs.LinesDropped {
			list = append(list, fmt.Sprintf("host %s lost lines of its log: %s", l.Host, l.Inputs))
		}
		if l.request != r.request {
			continue
		}
		seen[l.Step] = l
		if before != nil && l.At.Sub(before.At) > silence {
			list = append(list, fmt.Sprintf("%.1f s without a line between %s on host %s and %s on host %s", l.At.Sub(before.At).Seconds(), before.Step, before.Host, l.Step, l.Host))
		}
		before = &l
	}
	end, ended := seen[stepEnd]
	grant, granted := seen[stepGrant]
	switch {
	case !ended && granted:
		list = append(list, fmt.Sprintf("entry host %s, to which endpoint %s was granted, does not tell how the request ended%s", grant.Peer, grant.Endpoint, r.lastOf(grant.Peer)))
	case !ended:
		list = append(list, "no entry host tells how the request ended: it was killed, its log is missing, or the request still runs")
	case end.Endpoint != "" && !granted:
		list = append(list, fmt.Sprintf("no host tells why endpoint %s was chosen: the log of the leader is missing", end.Endpoint))
	}
	if granted && ended && grant.Endpoint != end.Endpoint && end.Endpoint != "" {
		list = append(list, fmt.Sprintf("the last grant names endpoint %s, the end %s", grant.Endpoint, end.Endpoint))
	}
	if !ended {
		list = append(list, r.uncovered(s, from, to)...)
	}
	return list
}

// lastOf tells where the log of a host ends.
func (r *Reader) lastOf(h ident.HostID) string {
	s := r.spans[h]
	if s == nil {
		return ": its log was not read"
	}
	return fmt.Sprintf(": its log goes from %s to %s", s.first.Format(time.RFC3339Nano), s.last.Format(time.RFC3339Nano))
}

// uncovered names the hosts whose logs begin or end between the lines of the request.
func (r *Reader) uncovered(s Story, from, to time.Time) []string {
	var list []string
	part := map[ident.HostID]bool{}
	for _, l := range s.Lines {
		part[l.Host] = part[l.Host] || l.request == r.request
	}
	for _, h := range r.sortedHosts() {
		switch span := r.spans[h]; {
		case !part[h] && span.last.Before(to) && span.last.After(from):
			list = append(list, fmt.Sprintf("the log of host %s ends at %s, before the request did", h, span.last.Format(time.RFC3339Nano)))
		case !part[h] && span.first.After(from) && span.first.Before(to):
			list = append(list, fmt.Sprintf("the log of host %s begins at %s, after the request", h, span.first.Format(time.RFC3339Nano)))
		}
	}
	return list
}
