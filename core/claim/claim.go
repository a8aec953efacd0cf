// Package claim records the requests that must run at most once: those with an Idempotency-Key.
//
// A claim is committed to the replicated log before the first byte of its request goes to an endpoint; the outcome of
// the request is recorded afterwards.
package claim

import (
	"cmp"
	"container/heap"
	"slices"

	"shallotgap/core/ident"
)

// State is the progress of a claimed request.
type State string

// The states of a claim.
const (
	Claimed  State = "claimed"  // the request may be running
	Released State = "released" // the request did not run and can no longer run under this claim
	Done     State = "done"     // the request ran; its answer is stored
	InDoubt  State = "in-doubt" // the request may have run; only the endpoint can tell whether it did
)

// Name identifies a claim. It has the workspace, so that equal keys of two workspaces are two claims.
type Name struct {
	Workspace ident.Workspace `json:"workspace"`
	Key       ident.Key       `json:"key"`
}

// Digest is the SHA-256 of a request's path and body.
type Digest [32]byte

// Holder identifies the host, and its incarnation, that may dispatch the request.
type Holder struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Answer is the stored answer to a request. Body has at most MaxBody bytes.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxBody is the largest answer body, in bytes, that a claim stores.
const MaxBody = 256 << 10

// Open requests the claim under Name, which permits Holder to run the request once.
type Open struct {
	Name
	Digest  Digest          `json:"digest"`
	Request ident.RequestID `json:"request"`
	Holder  Holder          `json:"holder"`
	// Try is the number of times that the request was returned to its entry host and routed again.
	Try uint32 `json:"try,omitempty"`
	// Ends is the wall-clock second (Unix) at which the claim ends: from then on it is not granted, and an open claim becomes
	// in-doubt afterwards; 0 if the claim has no end.
	Ends int64 `json:"ends,omitempty"`
	// Expires is the wall-clock second (Unix) after which the record is deleted; not before Ends.
	Expires int64 `json:"expires"`
}

// Close records the outcome of a claimed request.
type Close struct {
	Name
	Request ident.RequestID `json:"request"`
	// Holder and Try must equal those of the claim, as the same request may have been claimed again by another host or
	// with a higher Try.
	Holder Holder  `json:"holder"`
	Try    uint32  `json:"try,omitempty"`
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Abandon marks the open claims of a host's earlier incarnations as in-doubt.
type Abandon struct {
	Host ident.HostID `json:"host"`
	// Current is the incarnation whose claims stay open; 0 abandons the claims of all incarnations.
	Current ident.Incarnation `json:"current"`
}

// Record is a claim with its state and, if the request was answered, the answer.
type Record struct {
	Open
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Result is the reply to Open. If Granted is false, the other fields tell why; Record is the existing record of the
// key.
type Result struct {
	Granted bool `json:"granted"`
	// Mismatch is set when the key was used before for a request with another digest.
	Mismatch bool `json:"mismatch,omitempty"`
	// Late is set when the wall-clock second Open.Ends was reached before the claim could be granted.
	Late   bool    `json:"late,omitempty"`
	Record *Record `json:"record,omitempty"`
}

// Registry is the replicated state machine of claims.
type Registry struct {
	records map[Name]*Record
	// openByHost holds the names of the claims in state Claimed, by the host that holds them.
	openByHost map[ident.HostID]map[Name]struct{}
	expiries   expiries
	// clock is the latest wall-clock second (Unix) that a command carried. It never goes back: otherwise a new leader
	// whose clock is behind could grant a claim again after its record was deleted as expired.
	clock int64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[Name]*Record{}, openByHost: map[ident.HostID]map[Name]struct{}{}}
}

// Get returns the record of a claim and whether there is one.
func (reg *Registry) Get(n Name) (Record, bool) {
	r, ok := reg.records[n]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (reg *Registry) Len() int { return len(reg.records) }

// Open grants the claim unless the key has been used. A released claim may be granted again to another request, or to the
// same request with a higher Try. A resent Open of the released claim itself gets the released record, as no host waits for
// the result of that Open any more.
func (reg *Registry) Open(o Open) Result {
	if r, ok := reg.records[o.Name]; ok {
		if r.Digest != o.Digest {
			return Result{Mismatch: true}
		}
		if r.Request == o.Request && r.Try == o.Try && r.Holder == o.Holder && r.State == Claimed {
			return Result{Granted: true}
		}
		if r.State != Released || (r.Request == o.Request && o.Try <= r.Try) {
			found := *r
			return Result{Record: &found}
		}
	}
	if o.Ends != 0 && reg.clock >= o.Ends {
		return Result{Late: true}
	}
	reg.put(&Record{Open: o, State: Claimed})
	return Result{Granted: true}
}

// Close records the outcome of a request and reports whether it did: the sender must hold the claim, and later outcomes are
// ignored. The holder may still close an in-doubt claim, as it alone knows whether the request was sent and what the
// endpoint answered.
func (reg *Registry) Close(c Close) bool {
	r, ok := reg.records[c.Name]
	if !ok || r.Request != c.Request || r.Holder != c.Holder || r.Try != c.Try || (r.State != Claimed && r.State != InDoubt) {
		return false
	}
	r.State = c.State
	r.Answer = c.Answer
	reg.removeOpen(r)
	return true
}

// Abandon marks the open claims of a host's earlier incarnations as in-doubt and returns their number.
func (reg *Registry) Abandon(a Abandon) int {
	n := 0
	for name := range reg.openByHost[a.Host] {
		r := reg.records[name]
		if a.Current != 0 && r.Holder.Incarnation == a.Current {
			continue
		}
		r.State = InDoubt
		reg.removeOpen(r)
		n++
	}
	return n
}

// HasStaleClaims reports whether host h has open claims of incarnations other than current; with current 0, of any incarnation.
func (reg *Registry) HasStaleClaims(h ident.HostID, current ident.Incarnation) bool {
	for name := range reg.openByHost[h] {
		if current == 0 || reg.records[name].Holder.Incarnation != current {
			return true
		}
	}
	return false
}

// Holders returns the hosts with open claims, sorted.
func (reg *Registry) Holders() []ident.HostID {
	list := make([]ident.HostID, 0, len(reg.openByHost))
	for h := range reg.openByHost {
		list = append(list, h)
	}
	slices.Sort(list)
	return list
}

// put stores a record, schedules its expiries, and adds an open claim to openByHost.
func (reg *Registry) put(r *Record) {
	reg.records[r.Name] = r
	heap.Push(&reg.expiries, expiry{at: r.Expires, name: r.Name, request: r.Request})
	if r.State != Claimed {
		return
	}
	if r.Ends != 0 {
		heap.Push(&reg.expiries, expiry{at: r.Ends, name: r.Name, request: r.Request})
	}
	names := reg.openByHost[r.Holder.Host]
	if names == nil {
		names = map[Name]struct{}{}
		reg.openByHost[r.Holder.Host] = names
	}
	names[r.Name] = struct{}{}
}

// removeOpen removes a record from the open claims of its host.
func (reg *Registry) removeOpen(r *Record) {
	delete(reg.openByHost[r.Holder.Host], r.Name)
	if len(reg.openByHost[r.Holder.Host]) == 0 {
		delete(reg.openByHost, r.Holder.Host)
	}
}

// List returns all records, sorted by workspace and key.
func (reg *Registry) List() []Record {
	list := make([]Record, 0, len(reg.records))
	for _, r := range reg.records {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(x, y Record) int {
		if x.Workspace != y.Workspace {
			return cmp.Compare(x.Workspace, y.Workspace)
		}
		return cmp.Compare(x.Key, y.Key)
	})
	return list
}

// Restore returns a registry with the records that List returned.
func Restore(list []Record) *Registry {
	reg := New()
	for _, r := range list {
		reg.put(&r)
	}
	return reg
}
