// Package work defines requests and the ways in which a request can end.
package work

import (
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

// Urgency is the scheduling class of a request; requests of a higher urgency are dispatched first.
type Urgency uint8

// The urgencies of a request.
const (
	Bulk   Urgency = iota // may be delayed, is never dropped
	Normal                // the default urgency
	Urgent                // dispatched before all others
)

// Request is the part of a request that scheduling needs; the body stays at the entry host.
type Request struct {
	ID        ident.RequestID `json:"id"`
	Workspace ident.Workspace `json:"workspace"`
	// Service is the requested plain service; it is empty for a model request.
	Service ident.Service `json:"service,omitempty"`
	// Model is the adapter and version of a model request.
	Model ident.Model `json:"model,omitempty"`
	// Base is the base model that the adapter's row names; empty when the row allows any.
	Base ident.Service `json:"base,omitempty"`
	// Key is the caller's idempotency key; it is set for a request that must run at most once.
	Key    ident.Key    `json:"key,omitempty"`
	Digest claim.Digest `json:"digest,omitempty"`
	// Reroutes is how often the request was sent back to its entry host and routed again.
	Reroutes uint32 `json:"try,omitempty"`
	// TimeLeft is the time that was left to the deadline when the request reached this host.
	TimeLeft time.Duration `json:"left"`
	// StartBefore is the wall-clock second (Unix) from which on no host may start the request. It also limits time that TimeLeft
	// does not count: in the send queue of a broken link, or while a process was suspended.
	StartBefore int64 `json:"ends,omitempty"`
	// KeyEnds is the wall-clock second (Unix) from which on the key is no longer valid; 0 when the caller gave none.
	KeyEnds int64   `json:"key-ends,omitempty"`
	Urgency Urgency `json:"urgency"`
	// Tokens is the maximum number of tokens to generate; 0 when not stated.
	Tokens int `json:"tokens,omitempty"`
	// Parts identify the prompt and its prefixes, or the content of a request to a plain service.
	Parts []poison.Part `json:"parts,omitempty"`
}

// AtMostOnce reports whether the request must run at most once.
func (r Request) AtMostOnce() bool { return r.Key != "" }

// ClaimName returns the name of the request's claim.
func (r Request) ClaimName() claim.Name { return claim.Name{Workspace: r.Workspace, Key: r.Key} }

// Outcome tells a caller whether a failed request may have run.
type Outcome string

// The outcomes of a request that got no answer.
const (
	NotRun  Outcome = "not-run"  // the request was not sent and can't be sent any more
	InDoubt Outcome = "in-doubt" // the request may have run
)

// Reason is the stable, machine-readable reason for which a request got no answer.
type Reason string

// The reasons for which a request is rejected or abandoned.
const (
	NoLease        Reason = "no-lease"        // this host holds no valid lease
	UnknownAdapter Reason = "unknown-adapter" // no row lets the workspace run the adapter and version
	NoEndpoint     Reason = "no-endpoint"     // no endpoint can take the request
	NotOwner       Reason = "not-owner"       // another host owns the endpoint
	Late           Reason = "late"            // the deadline cannot be met
	Overload       Reason = "overload"        // a queue is full or a limit is reached
	LoadFailed     Reason = "load-failed"     // the adapter could not be loaded
	KeyReused      Reason = "key-reused"      // the idempotency key was used for a different request
	KeyRunning     Reason = "key-running"     // the request with this key is still running
	KeyInDoubt     Reason = "key-in-doubt"    // the request with this key may have run; only the endpoint can tell whether it did
	KeyExpired     Reason = "key-expired"     // the idempotency key is no longer valid
	Canceled       Reason = "canceled"        // the caller disconnected or cancelled
	NoQuorum       Reason = "no-quorum"       // the claim could not be committed before the deadline
	LinkLost       Reason = "link-lost"       // the link to the owner or the endpoint broke
	EndpointFailed Reason = "endpoint-failed" // the endpoint's answer was missing or incomplete
	WrongModel     Reason = "wrong-model"     // the endpoint answered for another adapter
	WrongAnswer    Reason = "wrong-answer"    // the endpoint answered for another request
	WrongToken     Reason = "wrong-token"     // the request has no token that is valid for its path
	Stopping       Reason = "stopping"        // the host or endpoint is stopping
	Poison         Reason = "poison"          // endpoints crash with the request's content, which is blocked
	EndpointLimit  Reason = "endpoint-limit"  // the endpoint takes no more requests a second
)

// Refusal is the final answer to a request that the system rejects or abandons.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	// Step and Peer are the step and the peer at which the request failed.
	Step string `json:"step"`
	Peer string `json:"peer,omitempty"`
	// Detail describes the error, such as the invalid field; it is empty if Reason needs no details.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is the time after which the caller should retry; 0 when a retry is of no use.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Waited is how long the request waited at the owner of its endpoint; nil if it did not get there.
	Waited *Waited `json:"waited,omitempty"`
	// Record is the stored claim when the key was used before.
	Record *claim.Record `json:"record,omitempty"`
}

// EndState is how a dispatched request ended at the entry host.
type EndState string

// The end states of a dispatched request.
const (
	Answered EndState = "answered" // the whole answer was received
	NotSent  EndState = "not-sent" // no byte of the request was sent
	Broken   EndState = "broken"   // bytes were sent, but no whole answer was received
)
