// Package grant decides, in one place, which endpoint runs each request for a model: who waits, who is turned away,
// which adapters are loaded and dropped.
//
// Entry hosts ask for a place and send the request themselves. The package is pure: asks, ends, heartbeats and results
// of orders go in with the time; replies and orders come out of Step.
package grant

import (
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// ID names one ask; it is unique over all hosts and their restarts.
type ID string

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string       `json:"id"`
	Tokens ident.Tokens `json:"tokens"`
}

// Ask is a request for a place on an engine.
type Ask struct {
	ID      ID              `json:"id"`
	Request string          `json:"request"` // the caller's id, for logs
	Host    ident.HostID    `json:"host"`
	Domain  ident.DomainID  `json:"domain,omitempty"`
	Service ident.Service   `json:"service"`
	Ref     book.AdapterRef `json:"ref"`
	// Prompt and Output are the tokens to read and, at most, to generate.
	Prompt ident.Tokens `json:"prompt"`
	Output ident.Tokens `json:"output"`
	Parts  []Part       `json:"parts,omitempty"`
	// Priority is 0 for the most urgent.
	Priority int           `json:"priority,omitempty"`
	Target   time.Duration `json:"target,omitempty"`
	// Gap is the longest pause between two events that is on time.
	Gap time.Duration `json:"gap,omitempty"`
	// Left is how long the caller will still wait.
	Left time.Duration `json:"left"`
	// Silence is how long the caller will still wait for the next event; 0 for as long as Left.
	Silence time.Duration `json:"silence,omitempty"`
	// Sends counts the endpoints that the request was sent to before.
	Sends int `json:"sends,omitempty"`
	// Avoid are endpoints at which it failed.
	Avoid []ident.EndpointID `json:"avoid,omitempty"`
}

// Place is where a request may be sent.
type Place struct {
	Instance ident.Instance `json:"instance"`
	Address  string         `json:"address"`
	// Version is the newest version of the adapter; 0 when the endpoint need not check it.
	Version book.WeightsVersion `json:"version,omitempty"`
}

// Cause tells why a request was turned away.
type Cause string

// The causes for turning a request away.
const (
	TooLate     Cause = "too-late"        // no place is expected before the caller stops waiting
	NoEndpoint  Cause = "no-endpoint"     // no ready endpoint holds the model
	BudgetSpent Cause = "budget-spent"    // the shared budget for sending again is used up
	TooLarge    Cause = "too-large"       // more tokens than any endpoint's memory
	NoAuthority Cause = "no-authority"    // no leader answers and no endpoint is known to hold the adapter
	NoService   Cause = "unknown-service" // the layout has no such service
)

// Reply answers an ask: a place, or a refusal.
type Reply struct {
	ID    ID     `json:"id"`
	Place *Place `json:"place,omitempty"`
	Cause Cause  `json:"cause,omitempty"`
	// After is when a refused caller may come back.
	After time.Duration `json:"after,omitempty"`
}

// Outcome is how a request ended at its endpoint.
type Outcome uint8

// The outcomes of a request.
const (
	Served      Outcome = iota + 1 // a whole answer came
	Failed                         // an answer of failure came, or it broke off
	NotRun                         // the endpoint said that it did not run the request
	Unreachable                    // no connection could be made
	Cancelled                      // the caller left, or its time was over
)

// End tells the authority that a place is free again.
type End struct {
	ID      ID      `json:"id"`
	Outcome Outcome `json:"outcome"`
	// First is the time from sending to the first event; 0 when none came.
	First time.Duration `json:"first,omitempty"`
	// Gap is the longest pause between two events.
	Gap time.Duration `json:"gap,omitempty"`
}

// RunningRequest is a place in use, as an entry host tells a new authority.
type RunningRequest struct {
	Ask      Ask            `json:"ask"`
	Instance ident.Instance `json:"instance"`
	// Prefilled is true when its first event came, so that the engine has read its prompt. Hosts of earlier versions do not
	// tell.
	Prefilled bool `json:"read,omitempty"`
}

// Residency is an adapter that an entry host saw served at an engine.
type Residency struct {
	Ref      book.AdapterRef `json:"ref"`
	Instance ident.Instance  `json:"instance"`
}

// Order is a command to an engine.
type Order struct {
	Instance ident.Instance
	Address  string
	Load     bool // else unload
	Ref      book.AdapterRef
	// Version to load; 0 for the newest.
	Version book.WeightsVersion
	// Expect is the number of orders that the engine must have accepted before.
	Expect uint64
	Cause  string
}

// Result is how an engine answered an order.
type Result uint8

// The results of an order.
const (
	Accepted   Result = iota + 1 // it is being carried out
	Holds                        // it holds already, or was carried out at once
	Conflict                     // another order came before
	Superseded                   // the engine knows a later holder
	Misplaced                    // another engine has the address
	Unknown                      // no answer came; it may be carried out later
)

// Report is what an engine says of itself when asked.
type Report struct {
	Orders uint64 // accepted so far
	Held   []HeldAdapter
	Models []string
}

// HeldAdapter is an adapter on an engine, or on its way there.
type HeldAdapter struct {
	Ref     book.AdapterRef
	Version book.WeightsVersion
	Loading bool
}

// Effects are what Step wants done.
type Effects struct {
	Replies []Routed
	Orders  []Order
	// Reports are the engines to ask for their state.
	Reports []Target
	Notes   []Note
}

// Routed is a reply with the host that it goes to.
type Routed struct {
	Host  ident.HostID
	Reply Reply
}

// Target is an engine with its address.
type Target struct {
	Instance ident.Instance
	Address  string
}

// Note is one decision with the inputs that decided it, for the log.
type Note struct {
	Step     string
	Request  string
	Peer     ident.HostID // the entry host that asked
	Endpoint ident.EndpointID
	Outcome  string
	Inputs   string
}
