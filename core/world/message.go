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

// Ticket matches a reply to a proposal or question of one incarnation of a host.
type Ticket uint64

// Proposal asks the leader to append a command. It may be resent with the same command, as applying a command twice has
// the same effect as applying it once.
type Proposal struct {
	Ticket  Ticket        `json:"ticket"`
	Command state.Command `json:"command"`
}

// Proposed is the leader's reply to a Proposal, sent once the command is applied.
type Proposed struct {
	Ticket Ticket       `json:"ticket"`
	Result state.Result `json:"result"`
}

// Question asks the leader for the claim record of an idempotency key.
type Question struct {
	Ticket Ticket     `json:"ticket"`
	Name   claim.Name `json:"name"`
}

// Asked is the leader's reply to a Question, as of log index Index; Record is nil when the key is unknown.
type Asked struct {
	Ticket Ticket        `json:"ticket"`
	Index  ident.Index   `json:"index"`
	Record *claim.Record `json:"record,omitempty"`
}

// Wants lists all adapter loads that the endpoints of one owner need; a new list replaces the previous one.
type Wants struct {
	List []place.LoadRequest `json:"list"`
}

// Outbound is a message to another host.
type Outbound struct {
	To      ident.HostID `json:"to"`
	Message Message      `json:"message"`
}

// Inbound is a message received from a host.
type Inbound struct {
	From    ident.HostID `json:"from"`
	Message Message      `json:"message"`
}
