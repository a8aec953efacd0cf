// Package link carries messages between hosts over WebSocket connections. Entry hosts dial the control hosts, control
// hosts dial each other, and each link is used in both directions. Hosts learn of each other through these messages:
// there is no central list of them.
package link

import (
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/heed"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/core/quorum"
	"shallotgap/core/reach"
	"shallotgap/core/resume"
)

// Hello identifies the sending host; it is the first message in each direction of a link.
type Hello struct {
	// Host is the id of the host. For a control host it is also the address at which it accepts links.
	Host    ident.HostID   `json:"host"`
	Domain  ident.DomainID `json:"domain"`
	Control bool           `json:"control,omitempty"`
	// Address is the address at which an entry host accepts links; empty if it accepts none.
	Address ident.HostID `json:"address,omitempty"`
	// ShortHeartbeats is true for a control host that accepts heartbeats in the short form; hosts of earlier versions do not.
	ShortHeartbeats bool `json:"beats,omitempty"`
	// Operators is the address at which a control host takes the calls of operators; empty for other hosts and for hosts of earlier
	// versions.
	Operators string `json:"operators,omitempty"`
	// Packed is true for a host that accepts compressed messages; hosts of earlier versions do not.
	Packed bool `json:"packed,omitempty"`
}

// Message is the union of all messages on a link; exactly one field is set.
type Message struct {
	Hello           *Hello                  `json:"hello,omitempty"`
	Status          *Status                 `json:"status,omitempty"`
	Presence        *Presence               `json:"presence,omitempty"`
	Quorum          *quorum.Message         `json:"quorum,omitempty"`
	Census          []census.Entry          `json:"census,omitempty"`
	ShortHeartbeats []census.ShortHeartbeat `json:"beats,omitempty"`
	Alive           []ident.Instance        `json:"alive,omitempty"` // endpoints that gave another sign of life than a heartbeat, for control hosts
	Ask             *grant.Ask              `json:"ask,omitempty"`
	Reply           *grant.Reply            `json:"reply,omitempty"`
	End             *grant.End              `json:"end,omitempty"`
	Withdraw        grant.ID                `json:"withdraw,omitempty"`
	Written         grant.ID                `json:"written,omitempty"`
	Live            *ActiveGrants           `json:"live,omitempty"`
	Fetch           *Fetch                  `json:"fetch,omitempty"`
	Endpoints       *Endpoints              `json:"endpoints,omitempty"`
	Change          *layout.Change          `json:"change,omitempty"`
	Newest          *Newest                 `json:"newest,omitempty"`
	Poison          *poison.Snapshot        `json:"poison,omitempty"`
	Crashed         *CrashReport            `json:"crashed,omitempty"`
	LimitSeen       *limit.Seen             `json:"limit-seen,omitempty"`
	Limits          *Limits                 `json:"limits,omitempty"`
	Begun           []resume.Record         `json:"begun,omitempty"`
	Relays          *Relays                 `json:"relays,omitempty"`
	Said            *heed.Report            `json:"said,omitempty"`
	Call            *Call                   `json:"call,omitempty"`
	EndpointCall    *EndpointCall           `json:"endpoint-call,omitempty"`
	Answer          *Answer                 `json:"answer,omitempty"`
	// Packed is a compressed message (RFC 1951).
	Packed []byte `json:"packed,omitempty"`
}

// Status is a control host's role and the versions of the state that it has applied. An entry host sends only Control.
type Status struct {
	Leader ident.HostID `json:"leader,omitempty"`
	Term   ident.Term   `json:"term,omitempty"`
	// Leads is true while the sender is the leader that issues grants.
	Leads   bool           `json:"leads,omitempty"`
	Layout  layout.Version `json:"layout,omitempty"`
	Changes uint64         `json:"changes,omitempty"` // number of adapter version changes applied
	Poison  uint64         `json:"poison,omitempty"`  // number of changes to the suspected and blocked parts
	Limits  uint64         `json:"limits,omitempty"`  // number of changes to the limits of endpoints
	// Control lists the control hosts known to the sender.
	Control []ident.HostID `json:"control,omitempty"`
	// EntryHosts is the number of ready entry hosts that recently announced themselves to the sender.
	EntryHosts int `json:"entries,omitempty"`
	// Endpoints identifies the endpoints that entry hosts need, as a leader knows them; nil from other senders and from hosts of
	// earlier versions.
	Endpoints *census.Digest `json:"endpoints,omitempty"`
}

// Presence announces an entry host to the control hosts.
type Presence struct {
	// Address is the address for callers.
	Address string `json:"address"`
	// Ready is true while the host accepts new callers.
	Ready bool `json:"ready,omitempty"`
	// Lost are the paths to endpoints that the host has lost; nil for none.
	Lost *reach.Faults `json:"lost,omitempty"`
}

// Relays lists hosts that can send to endpoints for a host that has lost paths.
type Relays struct {
	List []reach.Relay `json:"list"`
}

// ActiveGrants lists the grants in use on an entry host; it is sent to a new leader.
type ActiveGrants struct {
	Term   ident.Term             `json:"term"` // term of the new leader
	Places []grant.RunningRequest `json:"places"`
	// LastServed lists the engine that last served each adapter for this entry host.
	LastServed []grant.Residency `json:"lately,omitempty"`
	// Written lists the parts of prompts that engines wrote on lately for this entry host.
	Written []poison.Part `json:"written,omitempty"`
	// Limits are the limits of endpoints that this entry host knows.
	Limits []limit.Seen `json:"limits,omitempty"`
	// Crashes are the endpoint crashes known to this entry host, with the requests that were running.
	Crashes []poison.Crash `json:"crashes,omitempty"`
	// SendCounts holds, for each service, the first sends to engines and the retries within the window of the retry budget.
	SendCounts map[ident.Service]grant.Sends `json:"sent,omitempty"`
	// Begun lists the builds that wrote to the streams of this entry host.
	Begun []resume.Record `json:"begun,omitempty"`
}

// Fetch requests the layout, the adapter versions, the suspected and blocked parts and the limits of endpoints from a control host,
// each only if the state there is newer than that of the sender, which the fields name.
type Fetch struct {
	Layout  layout.Version `json:"layout,omitempty"`
	Changes uint64         `json:"changes,omitempty"`
	Poison  uint64         `json:"poison,omitempty"`
	Limits  uint64         `json:"limits,omitempty"`
	// Endpoints requests the endpoints that entry hosts need.
	Endpoints bool `json:"endpoints,omitempty"`
}

// Endpoints lists all endpoints that entry hosts need.
type Endpoints struct {
	List []census.Entry `json:"list"`
	// Settled is true if the sender has received heartbeats for so long that an endpoint missing from List is gone.
	Settled bool `json:"settled,omitempty"`
}

// Newest lists the newest version of each adapter.
type Newest struct {
	Changes uint64        `json:"changes"` // number of adapter version changes applied
	List    []book.Newest `json:"list"`
}

// CrashReport reports that an endpoint crashed while it ran requests of the sender. Control hosts forward it to all entry hosts, with or
// without a leader.
type CrashReport struct {
	poison.Crash
	// Relayed is true for a report that a control host passed on.
	Relayed bool `json:"relayed,omitempty"`
}

// Limits lists the limits of endpoints.
type Limits struct {
	limit.Snapshot
	// Rank is the receiver's position among Hosts entry hosts. While no leader is known, each of them sends its share of a limit, and
	// hosts with different ranks send at different times.
	Rank  int `json:"rank,omitempty"`
	Hosts int `json:"hosts,omitempty"`
}

// Call is an operator's command or read that a host forwards to the leader.
type Call struct {
	ID      uint64       `json:"id"`
	Command book.Command `json:"command"`
	// Read requests the current layout instead of running a command.
	Read bool `json:"read,omitempty"`
	// Stream asks at which build a stream may go on instead of running a command.
	Stream *resume.Query `json:"stream,omitempty"`
}

// EndpointCall is an endpoint's heartbeat or deregistration that an entry host forwards to the leader; one field is set.
type EndpointCall struct {
	ID        uint64          `json:"id"`
	Heartbeat *census.Entry   `json:"heartbeat,omitempty"`
	Left      *ident.Instance `json:"left,omitempty"`
	// Chosen is true if the call named no incarnation, and the host that took it has chosen the one in Left. Hosts of earlier versions neither
	// send nor read it and what follows.
	Chosen bool `json:"chosen,omitempty"`
	// Age is how long the connection of the call had been open; 0 if that is not known. Announced is the incarnation whose heartbeat came last
	// over it; 0 for none.
	Age       time.Duration     `json:"age,omitempty"`
	Announced ident.Incarnation `json:"announced,omitempty"`
}

// Answer is the leader's response to a Call or an EndpointCall.
type Answer struct {
	ID uint64 `json:"id"`
	// Done is true when a majority has committed the command, when Source is the newest layout, or when the leader has recorded
	// the heartbeat or deregistration.
	Done  bool   `json:"done,omitempty"`
	Cause string `json:"cause,omitempty"`
	// Source is the operator's source text of the layout that a read requested.
	Source []byte `json:"source,omitempty"`
	// Stream answers the question at which build a stream may go on.
	Stream *resume.Verdict `json:"stream,omitempty"`
}

// Timeouts and limits of a link.
const (
	// PingInterval is the longest time between two sends on a connection. A connection that receives nothing for
	// SilenceTimeout is closed, so that a silent connection is detected within a third of the time that a leader election
	// and an endpoint heartbeat take together.
	PingInterval   = 400 * time.Millisecond
	SilenceTimeout = 1300 * time.Millisecond

	maxQueuedMessages = 8192     // further messages to a slow peer are dropped
	maxMessageBytes   = 64 << 20 // read limit of one WebSocket message, which holds a batch
	redialDelay       = 100 * time.Millisecond
	// A host that has been down for longDown may have been replaced for good and is dialled seldom.
	longDown            = time.Minute
	longDownRedialDelay = 2 * time.Second
	// connectTimeout bounds the TCP handshake. The kernel of a running host answers at once. A host that is down does not
	// answer, and a short timeout lets the mesh redial the host soon after its restart.
	connectTimeout   = 200 * time.Millisecond
	dialTimeout      = 800 * time.Millisecond  // limit of the WebSocket handshake, which the peer's process must answer
	writeTimeout     = 1200 * time.Millisecond // limit of the time in which a connection takes no bytes
	maxBatchMessages = 64                      // limit of messages per WebSocket message
	maxBatchBytes    = 64 << 10                // no further message joins a batch of this size
)
