package world

import (
	"shallotgap/core/claim"
	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/quorum"
	"shallotgap/core/state"
)

// Message is a control message between two hosts; exactly one field is set.
type Message struct {
	Quorum   *quorum.Message     `json:"quorum,omitempty"`
	Renew    *lease.RenewRequest `json:"renew,omitempty"`
	Renewed  *lease.RenewReply   `json:"renewed,omitempty"`
	Update   *feed.Update        `json:"update,omitempty"`
	Propose  *Proposal           `json:"propose,omitempty"`
	Proposed *Proposed           `json:"proposed,omitempty"`
	Ask      *Question           `json:"ask,omitempty"`
	Asked    *Asked              `json:"asked,omitempty"`
	Reports  []place.Report      `json:"reports,omitempty"`
	Wants    *Wants              `json:"wants,omitempty"`
	Grant    *place.Grant        `json:"grant,omitempty"`
	Done     *place.GrantEnd     `json:"done,omitempty"`
	Alive    *lease.Endpoint     `json:"alive,omitempty"`
	Handover *Handover           `json:"handover,omitempty"`
}

// Ticket ties an answer to the question of one host's run.
type Ticket uint64

// Proposal asks the leader to append a command. A resent proposal carries the same command;
// all commands that hosts propose may be applied twice without harm.
type Proposal struct {
	Ticket  Ticket        `json:"ticket"`
	Command state.Command `json:"command"`
}

// Proposed is the leader's answer after the command was applied.
type Proposed struct {
	Ticket Ticket       `json:"ticket"`
	Result state.Result `json:"result"`
}

// Question asks the leader for the record of a claim.
type Question struct {
	Ticket Ticket     `json:"ticket"`
	Name   claim.Name `json:"name"`
}

// Asked answers a Question as of Index; Record is nil when the key is unknown.
type Asked struct {
	Ticket Ticket        `json:"ticket"`
	Index  ident.Index   `json:"index"`
	Record *claim.Record `json:"record,omitempty"`
}

// Wants are all wishes for loads of one owner; a new list replaces the former one.
type Wants struct {
	List []place.LoadRequest `json:"list"`
}

// Outbound is a message to send.
type Outbound struct {
	To      ident.HostID `json:"to"`
	Message Message      `json:"message"`
}

// Inbound is a message received.
type Inbound struct {
	From    ident.HostID `json:"from"`
	Message Message      `json:"message"`
}
