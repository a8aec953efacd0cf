package relay

import (
	"sync"

	"shallotgap/core/ident"
	"shallotgap/io/quota"
)

// backlog is the memory of the chunks that wait for a slow caller.
type backlog struct {
	mu    sync.Mutex
	size  quota.Bytes
	lease *quota.Lease
}

// add changes the size of the waiting chunks. It fails if they were evicted, by then or for this.
func (b *backlog) add(n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size += quota.Bytes(n)
	return b.lease.Hold(b.size)
}

// Taken gives back the memory of a chunk that was received from Chunks.
func (x *Exchange) Taken(c *Chunk) {
	_ = x.backlog.add(-len(c.Data)) // fails only once the chunks were evicted, and then breakOff tells the caller
}

// breakOff drops the waiting chunks of an answer for want of memory, and ends it with a rejection.
func (t *Table) breakOff(id ident.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.exchanges[id]; x != nil {
		x.breakOff()
	}
}

// breakOff is called with the lock of the table held.
func (x *Exchange) breakOff() {
	for len(x.Chunks) > 0 {
		select {
		case <-x.Chunks:
		default: // the caller's connection was faster
		}
	}
	x.aborted = x.aborted || !x.ended
	x.ended = true
	broken := brokenChunk(x.ID, "memory")
	x.Chunks <- &broken
}
