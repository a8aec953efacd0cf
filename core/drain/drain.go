// Package drain keeps the planned stops of hosts, endpoints and failure domains.
package drain

import (
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
)

// Target is the kind of component that a planned stop takes out of service.
type Target string

// The targets of a planned stop.
const (
	Host     Target = "host"     // one entry host
	Endpoint Target = "endpoint" // one endpoint
	// EndpointHost is all endpoints at one IP address.
	EndpointHost Target = "endpoint-host"
	// Domain is a failure domain with its entry hosts and endpoints.
	Domain Target = "domain"
)

// Phase is the progress of a planned stop.
type Phase string

// The phases of a stop.
const (
	Planned  Phase = "planned"  // the drain has not started
	Draining Phase = "draining" // the target gets no new requests; running ones end
	Safe     Phase = "safe"     // the target is drained and may be switched off
)

// StopID identifies a stop in the form "TARGET/NAME", such as "host/e1" or "endpoint/g1".
type StopID string

// IDOf returns the id of the stop of a target.
func IDOf(t Target, name string) StopID { return StopID(string(t) + "/" + name) }

// Stop is a planned stop.
type Stop struct {
	Target Target `json:"target"`
	Name   string `json:"name"`
	// At is the wall-clock second (Unix) at which the drain starts; 0 means at once.
	At int64 `json:"at,omitempty"`
	// Until is the wall-clock second (Unix) at which the stop is planned to end; 0 means that no end is planned.
	Until int64 `json:"until,omitempty"`
	Phase Phase `json:"phase"`
	// Waiting names what the drain waits for, as text for operators.
	Waiting string `json:"waiting,omitempty"`
	// Edit is the id of the mark that planned the stop.
	Edit ident.EditID `json:"edit,omitempty"`
	// Hosts are the entry hosts that the stop covers.
	Hosts []ident.HostID `json:"hosts,omitempty"`
	// Since is the log index at which the drain started; 0 before that.
	Since ident.Index `json:"since,omitempty"`
}

// ID returns the stop's id.
func (s Stop) ID() StopID { return IDOf(s.Target, s.Name) }

// CoversHost reports whether the stop covers an entry host.
func (s Stop) CoversHost(h ident.HostID) bool { return slices.Contains(s.Hosts, h) }

// CoversEndpoint reports whether the stop covers an endpoint.
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

// Mark is an operator's command to plan or withdraw a stop.
type Mark struct {
	ID       ident.EditID `json:"id"`
	Target   Target       `json:"target"`
	Name     string       `json:"name"`
	At       int64        `json:"at,omitempty"`
	Until    int64        `json:"until,omitempty"`
	Withdraw bool         `json:"withdraw,omitempty"`
	// Hosts is filled in by the leader when it appends the mark to the log.
	Hosts []Member `json:"hosts,omitempty"`
}

// Progress moves a stop to its next phase; the leader proposes it.
type Progress struct {
	Stop StopID `json:"stop"`
	// Edit and From are the mark and phase of the stop when the step was proposed. The step has no effect if they have changed.
	Edit    ident.EditID `json:"edit,omitempty"`
	From    Phase        `json:"from"`
	Phase   Phase        `json:"phase"`
	Waiting string       `json:"waiting,omitempty"`
	// Hosts are the current entry hosts; the field is set in the step that starts the drain.
	Hosts []Member `json:"hosts,omitempty"`
}

// Result is the answer to a Mark. A mark that is resent under the same edit id gets its first result.
type Result struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Stop     *Stop  `json:"stop,omitempty"`
}
