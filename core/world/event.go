package world

import (
	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/quorum"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// Event is one input of the decision core. At most one field is set; with none it is a tick.
type Event struct {
	Message   *Inbound        `json:"message,omitempty"`
	Written   *Written        `json:"written,omitempty"`
	Arrive    *Arrive         `json:"arrive,omitempty"`
	Cancel    *Cancel         `json:"cancel,omitempty"`
	Ended     *Ended          `json:"ended,omitempty"`
	Announced *lease.Endpoint `json:"announced,omitempty"`
	Loaded    *Loaded         `json:"loaded,omitempty"`
	Inspected *Inspected      `json:"inspected,omitempty"`
	Propose   *Proposal       `json:"propose,omitempty"`
	Ask       *Question       `json:"ask,omitempty"`
	LinkLost  *LinkLost       `json:"link-lost,omitempty"`
	LinkUp    *LinkUp         `json:"link-up,omitempty"`
	Compacted *Compacted      `json:"compacted,omitempty"`
	Bounced   *Bounced        `json:"bounced,omitempty"`
	Finished  *Finished       `json:"finished,omitempty"`
}

// Compacted is an encoded snapshot of the state at Index.
type Compacted struct {
	Index ident.Index `json:"index"`
	Data  []byte      `json:"data"`
	Err   string      `json:"err,omitempty"`
}

// Written tells that a Write effect is durable.
type Written struct {
	Seq uint64 `json:"seq"`
}

// Arrive is a request from a caller, or from the entry host From.
type Arrive struct {
	Request work.Request `json:"request"`
	From    ident.HostID `json:"from"`
	// Endpoint is the entry host's choice; empty for a caller's request.
	Endpoint ident.EndpointID `json:"endpoint,omitempty"`
}

// Cancel tells that the caller has gone.
type Cancel struct {
	ID ident.RequestID `json:"id"`
}

// Ended tells that nothing of a dispatched request runs on this host's link to the endpoint any more.
type Ended struct {
	ID     ident.RequestID `json:"id"`
	State  work.EndState   `json:"state"`
	Reason work.Reason     `json:"reason,omitempty"`
	// Answer is set for an answered unrepeatable request.
	Answer *claim.Answer `json:"answer,omitempty"`
	Detail string        `json:"detail,omitempty"`
}

// Loaded tells how a load order ended; Err is empty on success.
type Loaded struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Fence    ident.Fence      `json:"fence"`
	Model    ident.Model      `json:"model"`
	// Evicted is the adapter that the engine gave up for the load, if any.
	Evicted *ident.Model `json:"evicted,omitempty"`
	Err     string       `json:"err,omitempty"`
}

// Inspected tells what an engine holds.
type Inspected struct {
	Endpoint ident.EndpointID  `json:"endpoint"`
	Fence    ident.Fence       `json:"fence"`
	Instance ident.Incarnation `json:"instance"`
	Models   []ident.Model     `json:"models,omitempty"`
	// Running is the number of requests that the engine runs.
	Running int    `json:"running"`
	Err     string `json:"err,omitempty"`
}

// LinkUp tells that a host can be reached on a new link; earlier messages to it may be lost.
type LinkUp struct {
	Host ident.HostID `json:"host"`
}

// LinkLost tells that the link to a host broke; messages on it may be lost.
type LinkLost struct {
	Host ident.HostID `json:"host"`
}

// Effect is one output of the decision core; exactly one field is set.
type Effect struct {
	Send     *Outbound `json:"send,omitempty"`
	Write    *Write    `json:"write,omitempty"`
	Forward  *Forward  `json:"forward,omitempty"`
	Dispatch *Dispatch `json:"dispatch,omitempty"`
	Abort    *Abort    `json:"abort,omitempty"`
	Refuse   *Refuse   `json:"refuse,omitempty"`
	Load     *Load     `json:"load,omitempty"`
	Inspect  *Inspect  `json:"inspect,omitempty"`
	Proposed *Proposed `json:"proposed,omitempty"`
	Asked    *Asked    `json:"asked,omitempty"`
	Compact  *Compact  `json:"compact,omitempty"`
	Note     *Note     `json:"note,omitempty"`
}

// Write must become durable, in order; then Then is sent and, unless Seq is 0, Written comes back.
type Write struct {
	Seq      uint64            `json:"seq"`
	Hard     *quorum.HardState `json:"hard,omitempty"`
	Snapshot *quorum.Snapshot  `json:"snapshot,omitempty"`
	// Replace drops all entries written before; without it those after the snapshot stay.
	Replace   bool           `json:"replace,omitempty"`
	Entries   []quorum.Entry `json:"entries,omitempty"`
	SendAfter []Outbound     `json:"then,omitempty"`
}

// Forward passes a request to the owner of its endpoint.
type Forward struct {
	Request  work.Request     `json:"request"`
	To       ident.HostID     `json:"to"`
	Endpoint ident.EndpointID `json:"endpoint"`
}

// Dispatch sends a request to an endpoint. It must not be sent at or after Until.
type Dispatch struct {
	Request  work.Request `json:"request"`
	From     ident.HostID `json:"from"`
	Endpoint lease.Owned  `json:"endpoint"`
	Until    ident.Time   `json:"until"`
	// Waited is how long the request waited for the dispatch; the first piece of the answer carries it.
	Waited work.Waited `json:"waited"`
}

// Abort cancels a dispatched request; Ended follows.
type Abort struct {
	ID ident.RequestID `json:"id"`
}

// Refuse is the final answer to a request that got none from an endpoint; To is its entry host.
type Refuse struct {
	ID      ident.RequestID `json:"id"`
	To      ident.HostID    `json:"to"`
	Refusal work.Refusal    `json:"refusal"`
}

// Load orders an engine to load an adapter, after evicting another one. It must not be sent at or after Until.
type Load struct {
	Endpoint lease.Owned  `json:"endpoint"`
	Model    ident.Model  `json:"model"`
	Evict    *ident.Model `json:"evict,omitempty"`
	Until    ident.Time   `json:"until"`
}

// Inspect asks an engine what it holds and runs; Inspected follows.
type Inspect struct {
	Endpoint lease.Owned `json:"endpoint"`
}

// Note records a decision and its cause for explanations.
type Note struct {
	Request ident.RequestID `json:"request"`
	At      ident.Time      `json:"at"`
	Step    string          `json:"step"`
	Cause   string          `json:"cause"`
	Peer    string          `json:"peer,omitempty"`
}

// Input is an event with the clock readings at which it was handled; a trace is a list of inputs.
type Input struct {
	Now   ident.Time `json:"now"`
	Wall  int64      `json:"wall"`
	Event Event      `json:"event"`
}

// commandOf decodes a log entry's command; entries without one give false.
func commandOf(e quorum.Entry, decode func([]byte, any) error) (state.Command, bool, error) {
	var c state.Command
	if e.Kind != quorum.Normal {
		return c, false, nil
	}
	err := decode(e.Data, &c)
	return c, err == nil, err
}
