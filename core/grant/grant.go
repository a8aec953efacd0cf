// Package grant schedules requests for models in one place, on the leader: it decides which engine runs each request, which
// requests wait or are rejected, and which adapters are loaded and evicted.
//
// Entry hosts ask for a place and send the request to the engine themselves. The package does no I/O: asks, ends of requests,
// heartbeats and order results are passed in with the current time; Step returns replies and orders.
package grant

import (
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/core/resume"
)

// ID identifies one ask; it is unique across hosts and their restarts.
type ID string

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string       `json:"id"`
	Tokens ident.Tokens `json:"tokens"`
}

// Ask is an entry host's request to the authority for a place on an engine, for one request of a caller.
type Ask struct {
	ID      ID              `json:"id"`
	Request string          `json:"request"` // the caller's request id, for logs
	Host    ident.HostID    `json:"host"`
	Domain  ident.DomainID  `json:"domain,omitempty"`
	Service ident.Service   `json:"service"`
	Ref     book.AdapterRef `json:"ref"`
	// Prompt is the length of the prompt, Output the largest number of tokens to generate.
	Prompt ident.Tokens `json:"prompt"`
	Output ident.Tokens `json:"output"`
	Parts  []Part       `json:"parts,omitempty"`
	// Priority is 0 for the most urgent class.
	Priority int `json:"priority,omitempty"`
	// Target is the time within which the first event should arrive; 0 for no target.
	Target time.Duration `json:"target,omitempty"`
	// Gap is the longest pause between two events of the stream that counts as on time.
	Gap time.Duration `json:"gap,omitempty"`
	// Left is the remaining time until the caller's deadline.
	Left time.Duration `json:"left"`
	// Silence is the remaining time for which the caller waits for the next event; 0 for no limit besides Left.
	Silence time.Duration `json:"silence,omitempty"`
	// Sends is the number of endpoints that the request has already been sent to.
	Sends int `json:"sends,omitempty"`
	// Avoid lists endpoints at which the request failed.
	Avoid []ident.EndpointID `json:"avoid,omitempty"`
	// Permit lists endpoints of a plain service with limits, one of which may be sent the request; empty for a request for a model.
	// The request waits for at most Left.
	Permit []ident.Instance `json:"permit,omitempty"`
	// Whole are the parts that stand for the whole request; always set for a stream. A request for a plain service has them once it is
	// suspected, as it needs a permit then.
	Whole []poison.Part `json:"whole,omitempty"`
	// Resumable is true for a stream that may go on at another endpoint of the build that began it.
	Resumable bool `json:"resumable,omitempty"`
	// Bound is true for a stream that has begun: only endpoints of Build may go on with it.
	Bound bool        `json:"bound,omitempty"`
	Build ident.Build `json:"build,omitempty"`
}

// Place is the engine that a request was granted.
type Place struct {
	Instance ident.Instance `json:"instance"`
	Address  string         `json:"address"`
	Build    ident.Build    `json:"build,omitempty"` // what the endpoint runs
	// Version is the adapter version that the request must run with; 0 when the endpoint need not check it.
	Version book.WeightsVersion `json:"version,omitempty"`
	// Verify asks the entry host to verify the instance before it sends the request, as an engine may have started again under its id
	// with another build.
	Verify bool `json:"verify,omitempty"`
	// Watch asks the entry host to tell when the engine has written for WrittenAfter, as a part of the prompt is suspected.
	Watch bool `json:"watch,omitempty"`
}

// Cause is the reason for a rejection.
type Cause string

// Causes of a rejection.
const (
	TooLate     Cause = "too-late"        // no engine can answer before the caller stops waiting
	NoEndpoint  Cause = "no-endpoint"     // no ready endpoint holds the model
	BudgetSpent Cause = "budget-spent"    // the retry budget of the service is used up
	TooLarge    Cause = "too-large"       // more tokens than the memory of any endpoint holds
	NoAuthority Cause = "no-authority"    // no leader answers and no endpoint is known to hold the adapter
	NoService   Cause = "unknown-service" // the layout has no such service
	Poison      Cause = "poison"          // a part of the prompt crashes engines and is blocked
	Suspected   Cause = "suspected"       // an engine crashed with the request, which may be why
	Limited     Cause = "endpoint-limit"  // the endpoints take no more requests a second
	// VersionGone and VersionUnknown reject streams that have begun.
	VersionGone    Cause = "version-gone"    // no ready endpoint runs the build that began the stream
	VersionUnknown Cause = "version-unknown" // it is not known which of several builds began the stream
)

// Reply answers an ask with a place or a rejection.
type Reply struct {
	ID    ID     `json:"id"`
	Place *Place `json:"place,omitempty"`
	Cause Cause  `json:"cause,omitempty"`
	// After is the delay after which a rejected caller may retry.
	After time.Duration `json:"after,omitempty"`
}

// Outcome is how a request ended at its endpoint.
type Outcome uint8

// Outcomes of a request.
const (
	Served      Outcome = iota + 1 // the answer is complete
	Failed                         // the endpoint answered with an error, or the answer broke off
	NotRun                         // the endpoint rejected the request without running it
	Unreachable                    // no connection could be made
	Cancelled                      // the caller left, or its deadline passed
)

// End reports the end of a granted request.
type End struct {
	ID      ID      `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Alone is true for an endpoint that is unreachable from the sender, which could ask no other host: it may be a matter of the path.
	Alone bool `json:"alone,omitempty"`
	// Full is true for an endpoint that rejected the request for want of room.
	Full bool `json:"full,omitempty"`
	// First is the time from sending the request to its first event; 0 when no event arrived.
	First time.Duration `json:"first,omitempty"`
	// Gap is the longest pause between two events.
	Gap time.Duration `json:"gap,omitempty"`
	// Broken is true when the connection to the endpoint broke, Begun when the endpoint had begun to answer before, and Wrote is how
	// long it had sent events.
	Broken bool          `json:"broken,omitempty"`
	Begun  bool          `json:"begun,omitempty"`
	Wrote  time.Duration `json:"wrote,omitempty"`
	// Whole are the parts that stand for the whole request, Label names it, if the connection broke.
	Whole []poison.Part `json:"whole,omitempty"`
	Label string        `json:"label,omitempty"`
}

// RunningRequest is a running request, reported by an entry host to a new authority.
type RunningRequest struct {
	Ask      Ask            `json:"ask"`
	Instance ident.Instance `json:"instance"`
	// Prefilled is true when the first event has arrived, which shows that the prefill is complete. Entry hosts of earlier
	// releases leave the field out.
	Prefilled bool `json:"read,omitempty"`
	// Build is what the engine runs.
	Build ident.Build `json:"build,omitempty"`
	// Wrote is how long the engine has sent events.
	Wrote time.Duration `json:"wrote,omitempty"`
}

// Residency is an adapter that an entry host saw served on an engine.
type Residency struct {
	Ref      book.AdapterRef `json:"ref"`
	Instance ident.Instance  `json:"instance"`
}

// Order is a load or unload command to an engine.
type Order struct {
	Instance ident.Instance
	Service  ident.Service
	Address  string
	Load     bool // false for an unload
	Ref      book.AdapterRef
	// Version is the version to load; 0 for the newest.
	Version book.WeightsVersion
	// Expect is the number of orders that the engine must have accepted so far; any other number is answered with Conflict.
	Expect uint64
	Cause  string
}

// Result is how an engine answered an order.
type Result uint8

// Results of an order.
const (
	Accepted   Result = iota + 1 // the engine has accepted the order and executes it
	Holds                        // the engine already held the adapter, or completed the order at once
	Conflict                     // the order was not carried out, usually because the order count differs from Expect
	Superseded                   // the engine refuses the fencing token; the next order needs a higher one
	Misplaced                    // another engine now listens at the order's address
	Unknown                      // no answer came; the engine may still carry the order out
)

// Report is an engine's own report of its state.
type Report struct {
	Orders uint64 // number of orders accepted by the engine
	Held   []HeldAdapter
	Models []string
	// Limit is what the answer says about the engine's limit.
	Limit limit.Signal
}

// HeldAdapter is an adapter that an engine holds or is loading.
type HeldAdapter struct {
	Ref     book.AdapterRef
	Version book.WeightsVersion
	Loading bool
}

// Effects are the messages to send and the log entries to write after a Step.
type Effects struct {
	Replies []Routed
	Orders  []Order
	// Reports lists the engines whose reports are requested, Probes those to check for a crash.
	Reports []Target
	Probes  []Target
	// Poison lists changes to the replicated table of suspected and blocked parts.
	Poison []poison.Command
	// Limits lists changes to the replicated table of limits, Sends the sends to endpoints with limits that were decided on.
	Limits []limit.Command
	Sends  []LimitedSend
	// Alive lists engines that gave a sign of life though their heartbeats are overdue.
	Alive []ident.Instance
	// Granted tells the builds to which resumable streams were sent.
	Granted []resume.Record
	Notes   []Note
}

// Routed is a reply with the entry host that it goes to.
type Routed struct {
	Host  ident.HostID
	Reply Reply
}

// Target is an engine with its address.
type Target struct {
	Instance ident.Instance
	Service  ident.Service
	Address  string
}

// Note is a log entry for one decision and its inputs.
type Note struct {
	Step     string
	Request  string
	Peer     ident.HostID // the entry host that sent the ask
	Endpoint ident.EndpointID
	Outcome  string
	Inputs   string
}
