// Package claim records the requests that must run at most once.
//
// A claim is committed before the first byte goes to an endpoint; its outcome is recorded afterwards.
package claim

import (
	"cmp"
	"container/heap"
	"slices"

	"shallotgap/core/ident"
)

// State is how far a claimed request has come.
type State string

// The states of a claim.
const (
	Claimed  State = "claimed"  // it may be running
	Released State = "released" // it did not run and cannot run any more under this claim
	Done     State = "done"     // it ran; the answer is stored
	InDoubt  State = "in-doubt" // it may have run; only the endpoint can tell
)

// Name identifies a claim: keys of two workspaces never meet.
type Name struct {
	Workspace ident.Workspace `json:"workspace"`
	Key       ident.Key       `json:"key"`
}

// Digest is the SHA-256 of a request's path and body.
type Digest [32]byte

// Holder is the run of a host that may dispatch the request.
type Holder struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Answer is a stored answer. Body holds at most MaxBody bytes.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxBody is the largest answer in bytes that a claim stores.
const MaxBody = 256 << 10

// Open asks for the right to run a request once.
type Open struct {
	Name
	Digest  Digest          `json:"digest"`
	Request ident.RequestID `json:"request"`
	Holder  Holder          `json:"holder"`
	// Try counts how often the request was sent back to its entry host and routed again.
	Try uint32 `json:"try,omitempty"`
	// Ends is the wall-clock second (Unix) from which the request may not be claimed, and after which an open
	// claim counts as in doubt; 0 for never.
	Ends int64 `json:"ends,omitempty"`
	// Expires is the wall-clock second (Unix) at which the key is forgotten. It is not before Ends.
	Expires int64 `json:"expires"`
}

// Close records the outcome of a claimed request.
type Close struct {
	Name
	Request ident.RequestID `json:"request"`
	// Holder and Try are those of the claim: the same request may have been claimed again by another host, or by a
	// later try.
	Holder Holder  `json:"holder"`
	Try    uint32  `json:"try,omitempty"`
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Abandon turns all open claims of a host's earlier runs into in-doubt ones.
type Abandon struct {
	Host ident.HostID `json:"host"`
	// Current is the run whose claims stay open; 0 abandons those of all runs.
	Current ident.Incarnation `json:"current"`
}

// Record is what is kept of one claim.
type Record struct {
	Open
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Result is the answer to Open: Granted, or the record that stands in the way.
type Result struct {
	Granted bool `json:"granted"`
	// Mismatch is set when the key was used before for another request.
	Mismatch bool `json:"mismatch,omitempty"`
	// Late is set when the request's time was over before it could be claimed.
	Late   bool    `json:"late,omitempty"`
	Record *Record `json:"record,omitempty"`
}

// Registry is the deterministic state machine of claims.
type Registry struct {
	records map[Name]*Record
	// byHost holds the names of claims that are still open.
	byHost map[ident.HostID]map[Name]struct{}
	ends   expiries
	// clock is the latest wall-clock second that a command carried. It never falls, whatever the leaders' clocks
	// say: a record that was forgotten as expired cannot be claimed by a leader whose clock is behind.
	clock int64
}

// New returns an empty book.
func New() *Registry {
	return &Registry{records: map[Name]*Record{}, byHost: map[ident.HostID]map[Name]struct{}{}}
}

// Get returns the record under a name and whether there is one.
func (b *Registry) Get(n Name) (Record, bool) {
	r, ok := b.records[n]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (b *Registry) Len() int { return len(b.records) }

// Open grants the claim unless the key has been used; a released one may be claimed again by another request, or by a
// later try of the same one. A resent Open of a try that was released finds the released record: nobody waits for it.
func (b *Registry) Open(o Open) Result {
	if r, ok := b.records[o.Name]; ok {
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
	if o.Ends != 0 && b.clock >= o.Ends {
		return Result{Late: true}
	}
	b.put(&Record{Open: o, State: Claimed})
	return Result{Granted: true}
}

// Close records an outcome; only the request that holds the claim can, and only once. An in-doubt claim may
// still be settled by its holder: it alone knows that nothing was sent, or what the endpoint answered.
func (b *Registry) Close(c Close) bool {
	r, ok := b.records[c.Name]
	if !ok || r.Request != c.Request || r.Holder != c.Holder || r.Try != c.Try || (r.State != Claimed && r.State != InDoubt) {
		return false
	}
	r.State = c.State
	r.Answer = c.Answer
	b.unlist(r)
	return true
}

// Abandon marks the open claims of a host's earlier runs as in doubt and returns their number.
func (b *Registry) Abandon(a Abandon) int {
	n := 0
	for name := range b.byHost[a.Host] {
		r := b.records[name]
		if a.Current != 0 && r.Holder.Incarnation == a.Current {
			continue
		}
		r.State = InDoubt
		b.unlist(r)
		n++
	}
	return n
}

// HasStaleClaims reports whether host h has open claims of runs other than current; 0 counts all runs.
func (b *Registry) HasStaleClaims(h ident.HostID, current ident.Incarnation) bool {
	for name := range b.byHost[h] {
		if current == 0 || b.records[name].Holder.Incarnation != current {
			return true
		}
	}
	return false
}

// Holders returns the hosts with open claims, sorted.
func (b *Registry) Holders() []ident.HostID {
	list := make([]ident.HostID, 0, len(b.byHost))
	for h := range b.byHost {
		list = append(list, h)
	}
	slices.Sort(list)
	return list
}

func (b *Registry) put(r *Record) {
	b.records[r.Name] = r
	heap.Push(&b.ends, expiry{at: r.Expires, name: r.Name, request: r.Request})
	if r.State != Claimed {
		return
	}
	if r.Ends != 0 {
		heap.Push(&b.ends, expiry{at: r.Ends, name: r.Name, request: r.Request})
	}
	names := b.byHost[r.Holder.Host]
	if names == nil {
		names = map[Name]struct{}{}
		b.byHost[r.Holder.Host] = names
	}
	names[r.Name] = struct{}{}
}

func (b *Registry) unlist(r *Record) {
	delete(b.byHost[r.Holder.Host], r.Name)
	if len(b.byHost[r.Holder.Host]) == 0 {
		delete(b.byHost, r.Holder.Host)
	}
}

// List returns all records in the order of their names.
func (b *Registry) List() []Record {
	list := make([]Record, 0, len(b.records))
	for _, r := range b.records {
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

// Restore returns the book that List was taken from.
func Restore(list []Record) *Registry {
	b := New()
	for _, r := range list {
		b.put(&r)
	}
	return b
}
