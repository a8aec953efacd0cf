// Package drain holds the planned stops of hosts, endpoints and whole failure domains.
package drain

import (
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
)

// Target tells what is stopped.
type Target string

// The targets of a planned stop.
const (
	Host     Target = "host"     // one entry host
	Endpoint Target = "endpoint" // one endpoint
	// EndpointHost is all endpoints at one IP number.
	EndpointHost Target = "endpoint-host"
	// Domain is a whole failure domain: its entry hosts and its endpoints.
	Domain Target = "domain"
)

// Phase is how far a stop has come.
type Phase string

// The phases of a stop.
const (
	Planned  Phase = "planned"  // its time has not come
	Draining Phase = "draining" // no new work; running work ends
	Safe     Phase = "safe"     // nothing depends on the target any more: safe to stop
)

// StopID names a stop in the form "host/NAME" or "endpoint/NAME".
type StopID string

// IDOf returns the id of the stop of a target.
func IDOf(t Target, name string) StopID { return StopID(string(t) + "/" + name) }

// Stop is a planned stop.
type Stop struct {
	Target Target `json:"target"`
	Name   string `json:"name"`
	// At is the wall-clock second (Unix) at which the drain starts; 0 means at once.
	At int64 `json:"at,omitempty"`
	// Until is the wall-clock second (Unix) at which the stop is planned to end; 0 means that its end is open.
	Until int64 `json:"until,omitempty"`
	Phase Phase `json:"phase"`
	// Waiting tells what the drain still waits for, for operators.
	Waiting string `json:"waiting,omitempty"`
	// Edit is the id of the mark that planned the stop.
	Edit ident.EditID `json:"edit,omitempty"`
	// Hosts are the entry hosts that the stop takes away.
	Hosts []ident.HostID `json:"hosts,omitempty"`
	// Since is the log index at which the drain started, 0 before.
	Since ident.Index `json:"since,omitempty"`
}

// ID returns the stop's id.
func (s Stop) ID() StopID { return IDOf(s.Target, s.Name) }

// CoversHost reports whether the stop takes an entry host away.
func (s Stop) CoversHost(h ident.HostID) bool { return slices.Contains(s.Hosts, h) }

// CoversEndpoint reports whether the stop takes an endpoint away.
func (s Stop) CoversEndpoint(e lease.Endpoint) bool {
	switch s.Target {
	case Endpoint:
		return s.Name == string(e.ID)
	case EndpointHost:
		return s.Name == e.Address()
	case Domain:
		return s.Name == string(e.Domain)
	}
	return false
}

// Mark plans a stop, or withdraws it.
type Mark struct {
	ID       ident.EditID `json:"id"`
	Target   Target       `json:"target"`
	Name     string       `json:"name"`
	At       int64        `json:"at,omitempty"`
	Until    int64        `json:"until,omitempty"`
	Withdraw bool         `json:"withdraw,omitempty"`
	// Hosts is set by the leader when it appends the mark.
	Hosts []Member `json:"hosts,omitempty"`
}

// Progress moves a stop on; the leader proposes it.
type Progress struct {
	Stop StopID `json:"stop"`
	// Edit and From name the state that the step starts from; another one voids it.
	Edit    ident.EditID `json:"edit,omitempty"`
	From    Phase        `json:"from"`
	Phase   Phase        `json:"phase"`
	Waiting string       `json:"waiting,omitempty"`
	// Hosts is set when the drain is to start.
	Hosts []Member `json:"hosts,omitempty"`
}

// Result is the answer to a Mark; a resent edit id gets the first result again.
type Result struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Stop     *Stop  `json:"stop,omitempty"`
}
