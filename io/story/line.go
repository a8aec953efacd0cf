// Package story reconstructs the course of one request from the logs of all hosts.
package story

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"shallotgap/core/ident"
)

// Line is a log line of a host, about one decision or event.
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
	// Inputs are the values that a decision was based on, with their age or version, and all other keys of the line.
	Inputs  string `json:"inputs,omitempty"`
	request string
	// position is the number of the line in the log of its host, from 1.
	position int
}

// linePrefix is the first key of each log line. A log collector may insert text before it.
const linePrefix = "timestamp="

// parseLine parses a log line; it returns false for other text.
func parseLine(text string) (Line, bool) {
	begin := strings.Index(text, linePrefix)
	if begin < 0 {
		return Line{}, false
	}
	var l Line
	var rest []string
	d := logfmt.NewDecoder(strings.NewReader(text[begin:]))
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

// set stores the value of a key that has its own field; it returns false for other keys.
func (l *Line) set(key, value string) bool {
	switch key {
	case "timestamp":
		l.At, _ = time.Parse(time.RFC3339Nano, value) // parseLine rejects a line whose time is zero
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
