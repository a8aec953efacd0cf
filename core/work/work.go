// Package work holds the plain model of a request and of how it can end.
package work

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
)

// Urgency orders requests; a larger one goes first.
type Urgency uint8

// The urgencies of a request.
const (
	Bulk   Urgency = iota // may wait, is never dropped
	Normal                // the default
	Urgent                // goes before all others
)

// Request is what the decisions need to know of a request; its body stays at the edge.
type Request struct {
	ID        ident.RequestID `json:"id"`
	Workspace ident.Workspace `json:"workspace"`
	// Service names the plain service; it is empty for a model request.
	Service ident.Service `json:"service,omitempty"`
	// Model is the adapter and version of a model request.
	Model ident.Model `json:"model,omitempty"`
	// Base is the base model that the adapter's row names; empty for any.
	Base ident.Service `json:"base,omitempty"`
	// Key is set for a request that must run at most once.
	Key    ident.Key    `json:"key,omitempty"`
	Digest claim.Digest `json:"digest,omitempty"`
	// Reroutes counts how often the request was sent back to its entry host and routed again.
	Reroutes uint32 `json:"try,omitempty"`
	// TimeLeft is the time to the deadline when the request reached this host.
	TimeLeft time.Duration `json:"left"`
	// StartBefore is the wall-clock second (Unix) from which no host starts the request any more. It covers the time that
	// Left can't see: in the queue of a broken link, or of a process that stood still.
	StartBefore int64 `json:"ends,omitempty"`
	// KeyEnds is the caller's wall-clock second (Unix) from which the key may not be used; 0 where it gave none.
	KeyEnds int64   `json:"key-ends,omitempty"`
	Urgency Urgency `json:"urgency"`
	// Tokens is the largest number of tokens to generate; 0 when not stated.
	Tokens int `json:"tokens,omitempty"`
}

// AtMostOnce reports whether the request must run at most once.
func (r Request) AtMostOnce() bool { return r.Key != "" }

// ClaimName returns the name of the request's claim.
func (r Request) ClaimName() claim.Name { return claim.Name{Workspace: r.Workspace, Key: r.Key} }

// Outcome tells a caller whether a failed request may have run.
type Outcome string

// The outcomes of a request that got no answer.
const (
	NotRun  Outcome = "not-run"  // nothing was sent and nothing later can send it
	InDoubt Outcome = "in-doubt" // it may have run
)

// Reason names why a request got no answer; it is stable and machine-readable.
type Reason string

// The reasons for which a request is refused or given up.
const (
	NoLease        Reason = "no-lease"        // this host may not serve now
	UnknownAdapter Reason = "unknown-adapter" // no row lets the workspace run the adapter and version
	NoEndpoint     Reason = "no-endpoint"     // no endpoint can take the request
	NotOwner       Reason = "not-owner"       // the endpoint belongs to another host
	Late           Reason = "late"            // the deadline cannot be met
	Overload       Reason = "overload"        // a queue or limit is full
	LoadFailed     Reason = "load-failed"     // the adapter could not be loaded
	KeyReused      Reason = "key-reused"      // the key belongs to another request
	KeyRunning     Reason = "key-running"     // the request with this key has not ended
	KeyInDoubt     Reason = "key-in-doubt"    // the request with this key may have run; the endpoint has to be asked
	KeyExpired     Reason = "key-expired"     // the key's life is over
	Canceled       Reason = "canceled"        // the caller has gone
	NoQuorum       Reason = "no-quorum"       // the claim could not be committed in time
	LinkLost       Reason = "link-lost"       // the link to the owner or the endpoint broke
	EndpointFailed Reason = "endpoint-failed" // the endpoint gave no whole answer
	WrongModel     Reason = "wrong-model"     // the endpoint answered for another adapter
	WrongAnswer    Reason = "wrong-answer"    // the endpoint answered for another request
	WrongToken     Reason = "wrong-token"     // the request bears no token that opens its path
	Stopping       Reason = "stopping"        // the host or endpoint is stopping
)

// Refusal is the final answer to a request that the system gives up.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	// Step and Peer tell where it arose.
	Step string `json:"step"`
	Peer string `json:"peer,omitempty"`
	// RetryAfter tells the caller when to come back; 0 when coming back is of no use.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Waited tells how long the request waited at the owner of its endpoint, if it came that far.
	Waited *Waited `json:"waited,omitempty"`
	// Record is the stored claim when the key was used before.
	Record *claim.Record `json:"record,omitempty"`
}

// EndState tells how a dispatched request ended at the edge.
type EndState string

// The ends of a dispatched request.
const (
	Answered EndState = "answered" // the whole answer came
	NotSent  EndState = "not-sent" // no byte of the request left this host
	Broken   EndState = "broken"   // bytes left, no whole answer came
)
