package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/logs"
)

// Story is what logs tell of one request.
type Story struct {
	Request string `json:"request"`
	// From is the time of the first line that names the request.
	From time.Time `json:"from"`
	// Lines are in the order of their clocks; those of one host keep their order, also when its clock was set back.
	Lines []Line `json:"lines"`
	// Gaps name what the logs do not tell.
	Gaps []string `json:"gaps"`
}

// Times around the lines of a request in which changes of leaders, hosts and its endpoints are told.
const (
	before = 2 * time.Second        // a lost leader is replaced within one
	after  = 200 * time.Millisecond // a lost link is noticed later than what it cut
)

// events are the messages that tell of changes which touch many requests.
var events = map[string]bool{
	"leading": true, "stopped-leading": true, "authority": true, "authority-lost": true, "started": true, "stopped": true,
	"stopping": true, "disk-slow": true, "disk-failed": true, logs.LinesDropped: true, "link-lost": true,
}

// Reader collects the lines that can belong to the story of a request.
type Reader struct {
	request string
	own     []Line
	around  []Line
	spans   map[ident.HostID]*span
}

// span is the part of time that the log of a host covers.
type span struct {
	first, last time.Time
	lines       int
}

// NewReader returns a reader for a request's id.
func NewReader(request string) *Reader {
	return &Reader{request: request, spans: map[ident.HostID]*span{}}
}

// longestLine bounds a line of a log, in bytes; longer ones are not the product's.
const longestLine = 1 << 20

// Read takes a log, of one or several hosts.
func (r *Reader) Read(log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			r.take(l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (r *Reader) take(l Line) {
	s := r.spans[l.Host]
	if s == nil {
		s = &span{first: l.At, last: l.At}
		r.spans[l.Host] = s
	}
	s.last = latest(s.last, l.At)
	s.lines++
	l.order = s.lines
	switch {
	case l.request == r.request:
		r.own = append(r.own, l)
	case events[l.Message] || l.Message == "endpoint" || l.Message == "place" && l.request == "":
		r.around = append(r.around, l)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Story puts the lines in order and names the gaps.
func (r *Reader) Story() Story {
	s := Story{Request: r.request, Lines: []Line{}, Gaps: []string{}}
	if len(r.own) == 0 {
		return s
	}
	from, to := r.own[0].At, r.own[0].At
	endpoints, hosts := map[ident.EndpointID]bool{}, map[ident.HostID]bool{}
	for _, l := range r.own {
		if l.At.Before(from) {
			from = l.At
		}
		to = latest(to, l.At)
		endpoints[l.Endpoint] = l.Endpoint != ""
		hosts[l.Host], hosts[l.Peer] = true, true
	}
	s.Lines = append(s.Lines, r.own...)
	s.From = from
	to = r.openEnd(to)
	for _, l := range r.around {
		if l.At.Before(from.Add(-before)) || l.At.After(to.Add(after)) {
			continue
		}
		if r.touches(l, hosts) || endpoints[l.Endpoint] {
			s.Lines = append(s.Lines, l)
		}
	}
	keepOrder(s.Lines)
	s.Gaps = append(s.Gaps, r.gaps(s, from, to)...)
	return s
}

// touches reports whether an event concerns the hosts of a request: one of their own, or a change of leader.
func (r *Reader) touches(l Line, hosts map[ident.HostID]bool) bool {
	return events[l.Message] && (hosts[l.Host] || l.Message == "leading" || l.Message == "stopped-leading")
}

// openEnd returns until when events matter to a request whose last line is of time to: longer when its end is missing.
func (r *Reader) openEnd(to time.Time) time.Time {
	for _, l := range r.own {
		if l.Step == stepEnd {
			return to
		}
	}
	return to.Add(before)
}

// keepOrder sorts lines by their clocks; a line of a clock that was set back is given the time of the one before it.
func keepOrder(list []Line) {
	slices.SortStableFunc(list, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.order, b.order))
	})
	for i := 1; i < len(list); i++ {
		if list[i].Host == list[i-1].Host {
			list[i].At = latest(list[i].At, list[i-1].At)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.At.Compare(b.At) })
}

// sortedHosts returns the hosts whose logs were read.
func (r *Reader) sortedHosts() []ident.HostID { return slices.Sorted(maps.Keys(r.spans)) }
