// Package relay carries requests and the pieces of their answers between hosts and to callers.
package relay

import (
	"sync"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// Call is the part of a request that only the edge needs.
type Call struct {
	Method      string `json:"method"`
	Path        string `json:"path"` // with the query, as the endpoint gets it
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Stream      bool   `json:"stream,omitempty"`
}

// Forward hands a request to the owner of its endpoint.
type Forward struct {
	Request  work.Request     `json:"request"`
	Endpoint ident.EndpointID `json:"endpoint"`
	Call     Call             `json:"call"`
}

// Chunk is one piece of an answer. Seq counts from 0; only the chunk with End completes the answer.
type Chunk struct {
	ID          ident.RequestID `json:"id"`
	Seq         uint32          `json:"seq"`
	Status      int             `json:"status,omitempty"` // HTTP status, in the first chunk
	ContentType string          `json:"content-type,omitempty"`
	Data        []byte          `json:"data,omitempty"`
	End         bool            `json:"end,omitempty"`
	// Waited is set in the first chunk of an answer.
	Waited *work.Waited `json:"waited,omitempty"`
	// Received is when the chunk reached the caller's host; it is not sent.
	Received time.Time `json:"-"`
	// Refusal ends a request that has no answer, or whose answer broke off.
	Refusal *work.Refusal `json:"refusal,omitempty"`
}

// Frame is one message of the data plane; exactly one field is set.
type Frame struct {
	Forward *Forward         `json:"forward,omitempty"`
	Chunk   *Chunk           `json:"chunk,omitempty"`
	Cancel  *ident.RequestID `json:"cancel,omitempty"`
}

// window is the number of chunks that may wait for a slow caller.
const window = 1024

// Exchange is a caller's request waiting for its answer at this host.
type Exchange struct {
	ID     ident.RequestID
	Chunks chan Chunk
	next   uint32
	// Owner is the host that the request was forwarded to, or "".
	owner ident.HostID
	over  bool
	// cut is set when this host broke the answer off while its owner may go on.
	cut bool
}

// Table holds the open exchanges and the bodies of requests that wait at this host.
type Table struct {
	mu        sync.Mutex
	exchanges map[ident.RequestID]*Exchange
	calls     map[ident.RequestID]Call
}

// New returns an empty table.
func New() *Table {
	return &Table{exchanges: map[ident.RequestID]*Exchange{}, calls: map[ident.RequestID]Call{}}
}

// Open starts an exchange for a caller.
func (t *Table) Open(id ident.RequestID, c Call) *Exchange {
	x := &Exchange{ID: id, Chunks: make(chan Chunk, window)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchanges[id] = x
	t.calls[id] = c
	return x
}

// Close ends an exchange. It returns the host that the request was forwarded to, or "", and whether work may go on
// for it.
func (t *Table) Close(id ident.RequestID) (owner ident.HostID, working bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.exchanges[id]
	delete(t.exchanges, id)
	delete(t.calls, id)
	if x == nil {
		return "", false
	}
	return x.owner, x.cut || !x.over
}

// StoreCall stores the call of a request that another host forwarded.
func (t *Table) StoreCall(id ident.RequestID, c Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[id] = c
}

// LookupCall returns a stored call.
func (t *Table) LookupCall(id ident.RequestID) (Call, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.calls[id]
	return c, ok
}

// DropCall forgets a stored call.
func (t *Table) DropCall(id ident.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, id)
}

// SetOwner notes the owner that an exchange's request went to.
func (t *Table) SetOwner(id ident.RequestID, owner ident.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.exchanges[id]; x != nil {
		x.owner = owner
	}
}

// Deliver passes a chunk to its exchange. A chunk out of sequence, or one too many for the window, breaks
// the answer off: a part is never passed as the whole.
func (t *Table) Deliver(c Chunk) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.exchanges[c.ID]
	if x == nil || x.over {
		return
	}
	if c.Refusal == nil && c.Seq != x.next {
		c = broken(c.ID, "sequence")
		x.cut = true
	}
	c.Received = time.Now()
	x.next++
	if len(x.Chunks) >= window-1 && !c.End && c.Refusal == nil {
		c = broken(c.ID, "slow-caller")
		x.cut = true
	}
	x.over = c.End || c.Refusal != nil
	x.Chunks <- c
}

// FailOwnedBy breaks off all exchanges that wait for an answer from a host.
func (t *Table) FailOwnedBy(h ident.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.exchanges {
		if x.owner == h && !x.over {
			x.over = true
			x.Chunks <- broken(x.ID, "link")
		}
	}
}

// retryAfterLoss is when a caller may ask again after its answer broke off.
const retryAfterLoss = time.Second

func broken(id ident.RequestID, step string) Chunk {
	return Chunk{ID: id, Refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: step, RetryAfter: retryAfterLoss}}
}
