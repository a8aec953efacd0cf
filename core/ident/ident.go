// Package ident defines the types of identifiers and units that the other packages share.
package ident

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// HostID names an entry host or control host; it is unique within one deployment.
type HostID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a group of failure domains that may be lost as a whole.
type RegionID string

// EndpointID names an endpoint (an engine replica or a plain service replica).
type EndpointID string

// Workspace names a customer; the customer's requests share weights and limits.
type Workspace string

// Adapter names a LoRA adapter, without its version.
type Adapter string

// Version names one version of an adapter.
type Version string

// Service names a plain service, or the base model of engines, that requests are routed to.
type Service string

// Build is the version of the software that an endpoint runs, not of its weights. Builds have no order.
type Build string

// Index is a position in the replicated log; the first entry has index 1.
type Index uint64

// Term is an election term; a host's term never decreases.
type Term uint64

// Fence is a fencing token; a larger token supersedes a smaller one.
type Fence uint64

// Incarnation identifies one run of a host or endpoint; a later run has a larger one.
type Incarnation uint64

// RowVersion is the log index of the edit that wrote a row; 0 means that the row does not exist.
type RowVersion uint64

// EditID identifies one edit by an operator; a resent edit has the same id.
type EditID string

// Key is the Idempotency-Key of a request that must run at most once.
type Key string

// Time is a reading of a host's monotonic clock in nanoseconds; readings of different hosts cannot be compared.
type Time int64

// Add returns t plus d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from earlier to t.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Model is an adapter at one version; requests name it in the form "adapter@version".
type Model struct {
	Adapter Adapter `json:"adapter"`
	Version Version `json:"version"`
}

// String returns the form "adapter@version".
func (m Model) String() string { return string(m.Adapter) + "@" + string(m.Version) }

// ParseModel parses the form "adapter@version".
func ParseModel(s string) (Model, error) {
	name, version, found := strings.Cut(s, "@")
	if !found || name == "" || version == "" || strings.Contains(version, "@") {
		return Model{}, fmt.Errorf("model %q: want adapter@version", s)
	}
	return Model{Adapter: Adapter(name), Version: Version(version)}, nil
}

// RequestID identifies one request across hosts and host restarts.
type RequestID struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"`
}

// String returns the form "host.incarnation.seq" with hexadecimal numbers.
func (r RequestID) String() string {
	return fmt.Sprintf("%s.%x.%x", r.Host, uint64(r.Incarnation), r.Seq)
}

// ParseRequestID parses the form that RequestID.String returns.
func ParseRequestID(s string) (RequestID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 || parts[0] == "" {
		return RequestID{}, fmt.Errorf("request id %q: want host.incarnation.seq", s)
	}
	id := RequestID{Host: HostID(parts[0])}
	if _, err := fmt.Sscanf(parts[1]+" "+parts[2], "%x %x", &id.Incarnation, &id.Seq); err != nil {
		return RequestID{}, fmt.Errorf("request id %q: %w", s, err)
	}
	return id, nil
}

// StepError is an error with the step of request handling in which it occurred and the peer that was involved.
type StepError struct {
	Step string
	Peer string
	Err  error
}

// Error returns "step peer: cause".
func (e *StepError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Tokens is a number of tokens in a prompt, an output or an engine's KV cache.
type Tokens int64

// Instance identifies one start of an endpoint. A restarted endpoint may keep its id; Born is then larger.
type Instance struct {
	ID   EndpointID  `json:"id"`
	Born Incarnation `json:"born,omitempty"`
}

// Compare orders instances by id, then by birth.
func (i Instance) Compare(other Instance) int {
	return cmp.Or(cmp.Compare(i.ID, other.ID), cmp.Compare(i.Born, other.Born))
}
