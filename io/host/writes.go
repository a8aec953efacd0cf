package host

import (
	"context"
	"fmt"
	"time"

	"shallotgap/core/world"
)

// maxWrites is the largest number of writes that share one sync.
const maxWrites = 1024

// writeAll makes writes durable in order, with one sync for those that wait together.
func (h *Host) writeAll(ctx context.Context) error {
	defer func() { _ = h.store.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.writes.Wake():
			if err := h.writeBatch(h.writes.Take(maxWrites)); err != nil {
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
	h.Meter.ObserveDuration("shallotgap_disk_write_seconds", time.Since(begun))
	last := uint64(0)
	for _, w := range batch {
		for _, out := range w.SendAfter {
			h.network.SendControl(out.To, out.Message)
		}
		last = max(last, w.Seq)
	}
	if last != 0 {
		h.post(world.Event{Written: &world.Written{Seq: last}})
	}
	return nil
}
