package host

import (
	"context"
	"fmt"
	"sync"
	"time"

	"shallotgap/core/world"
)

// maxWrites is the largest number of writes that share one sync.
const maxWrites = 1024

// writeQueue holds the writes that wait for the disk. It has no bound, because the loop must never wait for the disk:
// the disk's goroutine hands its results to the loop.
type writeQueue struct {
	mu   sync.Mutex
	list []world.Write
	wake chan struct{}
}

func newWriteQueue() *writeQueue { return &writeQueue{wake: make(chan struct{}, 1)} }

func (q *writeQueue) add(w world.Write) {
	q.mu.Lock()
	q.list = append(q.list, w)
	q.mu.Unlock()
	q.signal()
}

func (q *writeQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the oldest writes, at most maxWrites.
func (q *writeQueue) take() []world.Write {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.list), maxWrites)
	batch := q.list[:n:n]
	q.list = q.list[n:]
	if len(q.list) > 0 {
		q.signal()
	}
	return batch
}

// writeAll makes writes durable in order, with one sync for those that wait together.
func (h *Host) writeAll(ctx context.Context) error {
	defer func() { _ = h.store.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.writes.wake:
			if err := h.writeBatch(h.writes.take()); err != nil {
				h.Log.WithField("step", "write").WithField("folder", h.Settings.DataFolder).WithError(err).Error("disk-failed")
				return fmt.Errorf("disk failed, the host stops: %w", err)
			}
		}
	}
}

// writeBatch makes writes durable, sends what waited for them and tells the loop.
func (h *Host) writeBatch(batch []world.Write) error {
	begun := time.Now()
	if err := h.store.Write(batch...); err != nil {
		return err
	}
	h.Meter.Time("shallotgap_disk_write_seconds", time.Since(begun))
	last := uint64(0)
	for _, w := range batch {
		for _, out := range w.Then {
			h.network.SendControl(out.To, out.Message)
		}
		last = max(last, w.Seq)
	}
	if last != 0 {
		h.post(world.Event{Written: &world.Written{Seq: last}})
	}
	return nil
}

func (q *writeQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list)
}
