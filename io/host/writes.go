package host

import (
	"context"
	"fmt"
	"time"

	"shallotgap/core/world"
	"shallotgap/io/disk"
)

// wrapLog applies WrapLog to the file of the log.
func (h *Host) wrapLog(name string, f disk.File) disk.File {
	if h.WrapLog == nil || name != disk.LogFile {
		return f
	}
	return h.WrapLog(f)
}

// maxWriteBatch is the largest number of writes that share one fsync.
const maxWriteBatch = 1024

// writeLoop makes queued writes durable, in order; writes that are queued together share one fsync.
func (h *Host) writeLoop(ctx context.Context) error {
	defer func() { _ = h.store.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.writes.Wake():
			err := h.writeBatch(h.writes.Take(maxWriteBatch))
			if err != nil && ctx.Err() != nil {
				return nil // the host ends while the disk is full
			}
			if err != nil {
				h.Log.WithField("step", "write").WithField("folder", h.Settings.DataFolder).WithError(err).Error("disk-failed")
				return fmt.Errorf("disk failed, the host stops: %w", err)
			}
		}
	}
}

// writeBatch makes writes durable, sends the messages that had to wait for them and reports the last sequence number to
// the loop.
func (h *Host) writeBatch(batch []world.Write) error {
	start := time.Now()
	if err := h.store.Write(batch...); err != nil {
		return err
	}
	h.Meter.ObserveDuration("shallotgap_disk_write_seconds", time.Since(start))
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
