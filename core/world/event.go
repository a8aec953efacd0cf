package world

import (
	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/limit"
	"shallotgap/core/quorum"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// Event is one input of the decision core. At most one field is set; an Event without any is a clock tick.
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

// Compacted returns the encoded snapshot that a Compact effect asked for: the state at Index.
type Compacted struct {
	Index ident.Index `json:"index"`
	Data  []byte      `json:"data"`
	Err   string      `json:"err,omitempty"`
}

// Written reports that the Write effect with number Seq is durable.
type Written struct {
	Seq uint64 `json:"seq"`
}

// Arrive is a new request. From is this host for a caller's request, or the entry host that forwarded the request.
type Arrive struct {
	Request work.Request `json:"request"`
	From    ident.HostID `json:"from"`
	// Endpoint is the endpoint that the entry host chose; empty for a caller's request.
	Endpoint ident.EndpointID `json:"endpoint,omitempty"`
}

// Cancel reports that the caller of a request has disconnected.
type Cancel struct {
	ID ident.RequestID `json:"id"`
}

// Ended reports that a dispatched request no longer uses this host's connection to the endpoint.
type Ended struct {
	ID     ident.RequestID `json:"id"`
	State  work.EndState   `json:"state"`
	Reason work.Reason     `json:"reason,omitempty"`
	// Answer is the answer to store for an at-most-once request; nil if the request got no answer.
	Answer *claim.Answer `json:"answer,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Limit is what the answer says about the endpoint's limit; nil without an answer.
	Limit *limit.Signal `json:"limit,omitempty"`
}

// Loaded reports the outcome of a load order; Err is empty on success.
type Loaded struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Fence    ident.Fence      `json:"fence"`
	Model    ident.Model      `json:"model"`
	// Evicted is the adapter that the engine unloaded to make room, if any.
	Evicted *ident.Model `json:"evicted,omitempty"`
	Err     string       `json:"err,omitempty"`
}

// Inspected answers an Inspect effect with the adapters and requests at an engine, or with an error.
type Inspected struct {
	Endpoint ident.EndpointID  `json:"endpoint"`
	Fence    ident.Fence       `json:"fence"`
	Instance ident.Incarnation `json:"instance"`
	Models   []ident.Model     `json:"models,omitempty"`
	// Running is the number of requests in progress at the engine.
	Running int    `json:"running"`
	Err     string `json:"err,omitempty"`
}

// LinkUp reports a new connection to a host; messages sent to the host before may be lost.
type LinkUp struct {
	Host ident.HostID `json:"host"`
}

// LinkLost reports that the connection to a host broke; messages on it may be lost.
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

// Write is data to be made durable on disk, in the order of the Write effects. Once it is durable, the messages in SendAfter
// are sent and, unless Seq is 0, a Written event follows.
type Write struct {
	Seq      uint64            `json:"seq"`
	Hard     *quorum.HardState `json:"hard,omitempty"`
	Snapshot *quorum.Snapshot  `json:"snapshot,omitempty"`
	// Replace drops all entries written before; without Replace, the entries after the snapshot are kept.
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

// Dispatch sends a request to an endpoint. It must not be sent at or after Until, the end of this host's lease.
type Dispatch struct {
	Request  work.Request `json:"request"`
	From     ident.HostID `json:"from"`
	Endpoint lease.Owned  `json:"endpoint"`
	Until    ident.Time   `json:"until"`
	// Waited is the time that the request spent waiting, by cause; it is returned with the start of the answer.
	Waited work.Waited `json:"waited"`
}

// Abort cancels a dispatched request; an Ended event follows.
type Abort struct {
	ID ident.RequestID `json:"id"`
}

// Refuse rejects a request that got no answer from an endpoint; To is the request's entry host.
type Refuse struct {
	ID      ident.RequestID `json:"id"`
	To      ident.HostID    `json:"to"`
	Refusal work.Refusal    `json:"refusal"`
}

// Load orders an engine to load Model after evicting Evict, if set. It must not be sent at or after Until, the end of
// this host's lease. A Loaded event follows.
type Load struct {
	Endpoint lease.Owned  `json:"endpoint"`
	Model    ident.Model  `json:"model"`
	Evict    *ident.Model `json:"evict,omitempty"`
	Until    ident.Time   `json:"until"`
}

// Inspect queries an engine for its resident adapters and running requests; an Inspected event follows.
type Inspect struct {
	Endpoint lease.Owned `json:"endpoint"`
}

// Note records a step in the handling of a request and its cause, for operators who ask how the request was handled.
type Note struct {
	Request ident.RequestID `json:"request"`
	At      ident.Time      `json:"at"`
	Step    string          `json:"step"`
	Cause   string          `json:"cause"`
	Peer    string          `json:"peer,omitempty"`
}

// Input is an event with the clock readings at which it is handled: Now is monotonic, Wall is in Unix seconds.
type Input struct {
	Now   ident.Time `json:"now"`
	Wall  int64      `json:"wall"`
	Event Event      `json:"event"`
}

// commandOf decodes the command of a log entry; it returns false for an entry without a command.
func commandOf(e quorum.Entry, decode func([]byte, any) error) (state.Command, bool, error) {
	var c state.Command
	if e.Kind != quorum.Normal {
		return c, false, nil
	}
	err := decode(e.Data, &c)
	return c, err == nil, err
}
