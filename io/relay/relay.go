// Package relay holds the requests that are in progress at a host and carries the chunks of their answers between hosts
// and to callers.
package relay

import (
	"sync"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/io/quota"
)

// Call is the HTTP part of a request, which the decision core does not need.
type Call struct {
	Method      string `json:"method"`
	Path        string `json:"path"` // with the query string, as sent to the endpoint
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Stream      bool   `json:"stream,omitempty"`
}

// Forward passes a request to the host that owns its endpoint.
type Forward struct {
	Request  work.Request     `json:"request"`
	Endpoint ident.EndpointID `json:"endpoint"`
	Call     Call             `json:"call"`
}

// Chunk is one part of an answer. Seq counts from 0; an answer without a chunk that has End set is incomplete.
type Chunk struct {
	ID          ident.RequestID `json:"id"`
	Seq         uint32          `json:"seq"`
	Status      int             `json:"status,omitempty"` // HTTP status, in the first chunk
	ContentType string          `json:"content-type,omitempty"`
	Data        []byte          `json:"data,omitempty"`
	End         bool            `json:"end,omitempty"`
	// Waited holds how long the request waited before it was sent to its endpoint; set only in the first chunk of an answer.
	Waited *work.Waited `json:"waited,omitempty"`
	// Received is when the chunk arrived at the caller's entry host; it is not sent.
	Received time.Time `json:"-"`
	// Refusal ends a request that was rejected or whose answer broke off.
	Refusal *work.Refusal `json:"refusal,omitempty"`
}

// Frame is one data message between hosts: a forwarded request, a chunk of an answer or a cancellation. Exactly one field
// is set.
type Frame struct {
	Forward *Forward         `json:"forward,omitempty"`
	Chunk   *Chunk           `json:"chunk,omitempty"`
	Cancel  *ident.RequestID `json:"cancel,omitempty"`
}

// chunkWindow is the number of chunks that are buffered for a slow caller.
const chunkWindow = 1024

// Exchange is a caller's request at its entry host, until the answer is complete or the caller disconnects.
type Exchange struct {
	ID      ident.RequestID
	Chunks  chan *Chunk // pointers, as the whole window is allocated before the answer begins
	nextSeq uint32      // sequence number of the next chunk
	// owner is the host that the request was forwarded to, or "".
	owner ident.HostID
	// ended is set once the last chunk or a rejection has been delivered.
	ended bool
	// aborted is set when this host ended the answer while an endpoint may still be working on the request.
	aborted bool
	backlog backlog
}

// Config holds the settings of a Table.
type Config struct {
	// Memory bounds the chunks that wait for slow callers, of all exchanges together; nil for no bound.
	Memory *quota.Pool
}

// Table holds the open exchanges and the calls that are stored at this host.
type Table struct {
	Config
	mu        sync.Mutex
	exchanges map[ident.RequestID]*Exchange
	calls     map[ident.RequestID]Call
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{Config: c, exchanges: map[ident.RequestID]*Exchange{}, calls: map[ident.RequestID]Call{}}
}

// Open starts the exchange of a caller's request and stores its call.
func (t *Table) Open(id ident.RequestID, c Call) *Exchange {
	x := &Exchange{ID: id, Chunks: make(chan *Chunk, chunkWindow)}
	x.backlog.lease = t.Memory.Open(func() { go t.breakOff(id) }) // not at once: the table may be locked
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchanges[id] = x
	t.calls[id] = c
	return x
}

// Close ends an exchange. It returns the host that the request was forwarded to, or "", and whether an endpoint may
// still be working on the request.
func (t *Table) Close(id ident.RequestID) (owner ident.HostID, working bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.exchanges[id]
	delete(t.exchanges, id)
	delete(t.calls, id)
	if x == nil {
		return "", false
	}
	x.backlog.lease.Close()
	return x.owner, x.aborted || !x.ended
}

// StoreCall stores the call of a request that another host forwarded.
func (t *Table) StoreCall(id ident.RequestID, c Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[id] = c
}

// LookupCall returns the stored call of a request and whether there is one.
func (t *Table) LookupCall(id ident.RequestID) (Call, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.calls[id]
	return c, ok
}

// DropCall removes the stored call of a request.
func (t *Table) DropCall(id ident.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, id)
}

// SetOwner records the host that an exchange's request was forwarded to; "" means none.
func (t *Table) SetOwner(id ident.RequestID, owner ident.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.exchanges[id]; x != nil {
		x.owner = owner
	}
}

// Deliver passes a chunk to its exchange. A chunk that is out of sequence or exceeds the window ends the exchange with
// a rejection, so that a partial answer never passes for a complete one.
func (t *Table) Deliver(c Chunk) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.exchanges[c.ID]
	if x == nil || x.ended {
		return
	}
	if c.Refusal == nil && c.Seq != x.nextSeq {
		c = brokenChunk(c.ID, "sequence")
		x.aborted = true
	}
	c.Received = time.Now()
	x.nextSeq++
	if len(x.Chunks) >= chunkWindow-1 && !c.End && c.Refusal == nil {
		c = brokenChunk(c.ID, "slow-caller")
		x.aborted = true
	}
	if x.backlog.add(len(c.Data)) != nil {
		x.breakOff()
		return
	}
	x.ended = c.End || c.Refusal != nil
	x.Chunks <- &c
}

// FailOwnedBy ends all exchanges whose request was forwarded to host h, with a rejection.
func (t *Table) FailOwnedBy(h ident.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.exchanges {
		if x.owner == h && !x.ended {
			x.ended = true
			broken := brokenChunk(x.ID, "link")
			x.Chunks <- &broken
		}
	}
}

// retryAfterLoss is the Retry-After for a request whose answer broke off.
const retryAfterLoss = time.Second

// brokenChunk returns a chunk that rejects a request whose answer broke off. Its outcome is in doubt, because the request may
// have run.
func brokenChunk(id ident.RequestID, step string) Chunk {
	return Chunk{ID: id, Refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: step, RetryAfter: retryAfterLoss}}
}
