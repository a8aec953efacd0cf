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

// Story is the course of one request as found in the logs.
type Story struct {
	Request string `json:"request"`
	// From is the time of the first line that names the request.
	From time.Time `json:"from"`
	// Lines are in the order of their timestamps. Lines of one host keep their order even if its clock was set back.
	Lines []Line `json:"lines"`
	// Gaps describe what the logs leave unexplained.
	Gaps []string `json:"gaps"`
}

// Margins before the first and after the last line of a request within which a Story includes events of leaders, hosts and the
// request's endpoints.
const (
	contextBefore = 2 * time.Second        // covers the loss of a leader, which is replaced within 1 s
	contextAfter  = 200 * time.Millisecond // covers a lost link, which is detected after the request that it interrupted
)

// contextMessages are the log messages about events of a host that affect many requests.
var contextMessages = map[string]bool{
	"leading": true, "stopped-leading": true, "authority": true, "authority-lost": true, "started": true, "stopped": true,
	"stopping": true, "disk-slow": true, "disk-failed": true, logs.LinesDropped: true, "link-lost": true,
}

// Reader collects the log lines that may belong to the Story of a request.
type Reader struct {
	request      string
	requestLines []Line
	contextLines []Line
	spans        map[ident.HostID]*span
}

// span is the period that the log of a host covers, and the number of its lines.
type span struct {
	first, last time.Time
	lineCount   int
}

// NewReader returns a Reader for the request with this ID.
func NewReader(request string) *Reader {
	return &Reader{request: request, spans: map[ident.HostID]*span{}}
}

// longestLine limits a log line, in bytes. No line of shallotgap is longer.
const longestLine = 1 << 20

// Read reads a log of one or several hosts.
func (r *Reader) Read(log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			r.addLine(l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (r *Reader) addLine(l Line) {
	s := r.spans[l.Host]
	if s == nil {
		s = &span{first: l.At, last: l.At}
		r.spans[l.Host] = s
	}
	s.last = later(s.last, l.At)
	s.lineCount++
	l.position = s.lineCount
	switch {
	case l.request == r.request:
		r.requestLines = append(r.requestLines, l)
	case contextMessages[l.Message] || l.Message == "endpoint" || l.Message == "place" && l.request == "":
		r.contextLines = append(r.contextLines, l)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Story returns the ordered lines of the request and its gaps.
func (r *Reader) Story() Story {
	s := Story{Request: r.request, Lines: []Line{}, Gaps: []string{}}
	if len(r.requestLines) == 0 {
		return s
	}
	from, to := r.requestLines[0].At, r.requestLines[0].At
	endpoints, hosts := map[ident.EndpointID]bool{}, map[ident.HostID]bool{}
	for _, l := range r.requestLines {
		if l.At.Before(from) {
			from = l.At
		}
		to = later(to, l.At)
		endpoints[l.Endpoint] = l.Endpoint != ""
		hosts[l.Host], hosts[l.Peer] = true, true
	}
	s.Lines = append(s.Lines, r.requestLines...)
	s.From = from
	to = r.contextEnd(to)
	for _, l := range r.contextLines {
		if l.At.Before(from.Add(-contextBefore)) || l.At.After(to.Add(contextAfter)) {
			continue
		}
		if r.isRelevant(l, hosts) || endpoints[l.Endpoint] {
			s.Lines = append(s.Lines, l)
		}
	}
	sortLines(s.Lines)
	s.Gaps = append(s.Gaps, r.gaps(s, from, to)...)
	return s
}

// isRelevant reports whether an event affects a request on the given hosts: an event of these hosts or a change of leader.
func (r *Reader) isRelevant(l Line, hosts map[ident.HostID]bool) bool {
	return contextMessages[l.Message] && (hosts[l.Host] || l.Message == "leading" || l.Message == "stopped-leading")
}

// contextEnd returns the time up to which events are relevant, given the time of the request's last line. It is later if the
// end of the request was not logged.
func (r *Reader) contextEnd(to time.Time) time.Time {
	for _, l := range r.requestLines {
		if l.Step == stepEnd {
			return to
		}
	}
	return to.Add(contextBefore)
}

// sortLines sorts lines by time. A line whose clock was set back gets the time of the previous line of its host.
func sortLines(list []Line) {
	slices.SortStableFunc(list, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.position, b.position))
	})
	for i := 1; i < len(list); i++ {
		if list[i].Host == list[i-1].Host {
			list[i].At = later(list[i].At, list[i-1].At)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.At.Compare(b.At) })
}

// sortedHosts returns the hosts whose logs were read.
func (r *Reader) sortedHosts() []ident.HostID { return slices.Sorted(maps.Keys(r.spans)) }
