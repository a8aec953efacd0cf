// Package story tells what happened to one request from the logs of all hosts.
package story

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"shallotgap/core/ident"
)

// Line is one decision or event in the log of a host.
type Line struct {
	At      time.Time    `json:"at"`
	Host    ident.HostID `json:"host"`
	Step    string       `json:"step"`
	Message string       `json:"message"`
	Outcome string       `json:"outcome,omitempty"`
	// Endpoint is the endpoint that the line is about.
	Endpoint ident.EndpointID `json:"endpoint,omitempty"`
	// Peer is the other host that the line is about.
	Peer ident.HostID `json:"peer,omitempty"`
	// Inputs are what decided, with their age or version.
	Inputs  string `json:"inputs,omitempty"`
	request string
	// order is the place of the line among those of its host.
	order int
}

// start is the key that each line of a log begins with; a collector of logs may put something before it.
const start = "timestamp="

// parse returns the line that a text holds, and false for a text of another kind.
func parse(text string) (Line, bool) {
	at := strings.Index(text, start)
	if at < 0 {
		return Line{}, false
	}
	var l Line
	var rest []string
	d := logfmt.NewDecoder(strings.NewReader(text[at:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			if !l.set(key, value) && value != "" {
				rest = append(rest, key+"="+value)
			}
		}
	}
	if d.Err() != nil || l.At.IsZero() {
		return Line{}, false
	}
	l.Inputs = strings.TrimSpace(l.Inputs + " " + strings.Join(rest, " "))
	return l, true
}

// set takes a value that has a field of its own.
func (l *Line) set(key, value string) bool {
	switch key {
	case "timestamp":
		l.At, _ = time.Parse(time.RFC3339Nano, value) // the line of a wrong one is not taken
	case "level":
	case "host":
		l.Host = ident.HostID(value)
	case "step":
		l.Step = value
	case "message":
		l.Message = value
	case "outcome":
		l.Outcome = value
	case "endpoint":
		l.Endpoint = ident.EndpointID(value)
	case "peer":
		l.Peer = ident.HostID(value)
	case "request":
		l.request = value
	case "inputs":
		l.Inputs = value
	default:
		return false
	}
	return true
}
