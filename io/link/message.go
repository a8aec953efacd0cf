// Package link carries messages between the hosts of a deployment that is not listed anywhere: entry hosts dial the
// control hosts, control hosts dial each other, and each link is used in both directions.
package link

import (
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
)

// Hello introduces a host; it is the first message on a link.
type Hello struct {
	// Host is the address at which a control host takes links, and names every host.
	Host    ident.HostID   `json:"host"`
	Domain  ident.DomainID `json:"domain"`
	Control bool           `json:"control,omitempty"`
	// ShortHeartbeats is true for a control host that takes heartbeats in their short form; earlier versions do not.
	ShortHeartbeats bool `json:"beats,omitempty"`
}

// Message is what travels on a link; one field is set.
type Message struct {
	Hello           *Hello                  `json:"hello,omitempty"`
	Status          *Status                 `json:"status,omitempty"`
	Presence        *Presence               `json:"presence,omitempty"`
	Quorum          *quorum.Message         `json:"quorum,omitempty"`
	Census          []census.Entry          `json:"census,omitempty"`
	ShortHeartbeats []census.ShortHeartbeat `json:"beats,omitempty"`
	Ask             *grant.Ask              `json:"ask,omitempty"`
	Reply           *grant.Reply            `json:"reply,omitempty"`
	End             *grant.End              `json:"end,omitempty"`
	Withdraw        grant.ID                `json:"withdraw,omitempty"`
	Live            *ActiveGrants           `json:"live,omitempty"`
	Fetch           *Fetch                  `json:"fetch,omitempty"`
	Change          *layout.Change          `json:"change,omitempty"`
	Newest          *Newest                 `json:"newest,omitempty"`
	Call            *Call                   `json:"call,omitempty"`
	Answer          *Answer                 `json:"answer,omitempty"`
}

// Status is what a control host says of itself and of the state that it has applied.
type Status struct {
	Leader ident.HostID `json:"leader,omitempty"`
	Term   ident.Term   `json:"term,omitempty"`
	// Leads is true while the sender decides on places.
	Leads   bool           `json:"leads,omitempty"`
	Layout  layout.Version `json:"layout,omitempty"`
	Changes uint64         `json:"changes,omitempty"` // of adapter versions
	// Control are the control hosts that the sender knows.
	Control []ident.HostID `json:"control,omitempty"`
	// EntryHosts is the number of entry hosts that the sender hears.
	EntryHosts int `json:"entries,omitempty"`
}

// Presence is what an entry host says of itself.
type Presence struct {
	// Address is where callers connect.
	Address string `json:"address"`
	Ready   bool   `json:"ready,omitempty"`
}

// ActiveGrants lists the places that an entry host uses.
type ActiveGrants struct {
	Term   ident.Term             `json:"term"`
	Places []grant.RunningRequest `json:"places"`
	// LastServed are the places at which adapters were last served.
	LastServed []grant.Residency `json:"lately,omitempty"`
	// SendCounts is what the entry host sent to engines lately.
	SendCounts map[ident.Service]grant.Sends `json:"sent,omitempty"`
}

// Fetch asks for what is newer than the sender's state.
type Fetch struct {
	Layout  layout.Version `json:"layout,omitempty"`
	Changes uint64         `json:"changes,omitempty"`
}

// Newest holds all announced adapter versions.
type Newest struct {
	Changes uint64        `json:"changes"`
	List    []book.Newest `json:"list"`
}

// Call is an operator's order on its way to the leader.
type Call struct {
	ID      uint64       `json:"id"`
	Command book.Command `json:"command"`
	// Read asks for the layout in force.
	Read bool `json:"read,omitempty"`
}

// Answer is the leader's answer to a call.
type Answer struct {
	ID uint64 `json:"id"`
	// Done is true when the order is in force on a majority, or the read is the newest.
	Done   bool   `json:"done,omitempty"`
	Cause  string `json:"cause,omitempty"`
	Source []byte `json:"source,omitempty"`
}

// Bounds of a link.
const (
	// PingInterval is how often a host sends on each link; a link without messages for SilentAfter is given up. A silent
	// connection is noticed within a third of the election of a leader and a heartbeat of an endpoint together.
	PingInterval   = 400 * time.Millisecond
	SilenceTimeout = 1300 * time.Millisecond

	queueLength = 8192     // messages that wait for a slow link
	maxMessage  = 64 << 20 // bytes of one message
	redialAfter = 100 * time.Millisecond
	// connectTimeout bounds the opening of a connection, which the other host's kernel answers at once; one without power
	// does not answer, and may be up again a moment later.
	connectTimeout = 200 * time.Millisecond
	dialTimeout    = 800 * time.Millisecond // of the introduction, which needs the other process
	writeTimeout   = 1200 * time.Millisecond
	batchLength    = 64 // messages that travel together
)
