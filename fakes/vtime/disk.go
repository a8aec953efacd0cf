package vtime

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/quorum"
	"shallotgap/core/world"
)

// Disk simulates a host's data folder: the durable contents and the writes that are not yet durable.
type Disk struct {
	stored  world.Stored
	pending []world.Write
}

func (f *Fleet) newDisk(h *Host, n int) *Disk {
	return &Disk{stored: world.Stored{Disk: quorum.DiskID(fmt.Sprintf("%s-%d", h.Name, n))}}
}

// Stored returns a copy of the durable contents.
func (d *Disk) Stored() *world.Stored {
	s := d.stored
	s.Entries = append([]quorum.Entry(nil), s.Entries...)
	return &s
}

// write queues a write. After a random delay of up to MaxSyncDelay, the oldest queued write becomes durable, its
// messages are sent and the host is notified.
func (f *Fleet) write(h *Host, w world.Write) {
	disk, starts := h.Disk, h.starts
	disk.pending = append(disk.pending, w)
	var delay time.Duration
	if f.MaxSyncDelay > 0 {
		delay = time.Duration(f.Rand.Int64N(int64(f.MaxSyncDelay)))
	}
	f.After(delay, func() {
		if h.starts != starts || h.World == nil || len(disk.pending) == 0 {
			return
		}
		next := disk.pending[0]
		disk.pending = disk.pending[1:]
		disk.apply(next)
		for _, out := range next.SendAfter {
			f.send(h, out)
		}
		if next.Seq != 0 {
			f.Handle(h, world.Event{Written: &world.Written{Seq: next.Seq}})
		}
	})
}

// crash makes a random number of the queued writes durable, oldest first, and loses the rest.
func (d *Disk) crash(r *rand.Rand) {
	for _, w := range d.pending[:r.IntN(len(d.pending)+1)] {
		d.apply(w)
	}
	d.pending = nil
}

// apply adds a write to the durable contents. The result is what io/disk would read back after a restart.
func (d *Disk) apply(w world.Write) {
	if w.Hard != nil {
		d.stored.Hard = *w.Hard
	}
	if w.Snapshot != nil {
		d.compact(w)
	}
	for _, e := range w.Entries {
		if e.Index <= d.stored.Snapshot.Index {
			continue
		}
		keep := e.Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(d.stored.Entries[:keep], e)
	}
}

// compact stores the snapshot of a write and drops the log entries that the snapshot covers, or all entries if w.Replace
// is set.
func (d *Disk) compact(w world.Write) {
	var rest []quorum.Entry
	for _, e := range d.stored.Entries {
		if e.Index > w.Snapshot.Index && !w.Replace {
			rest = append(rest, e)
		}
	}
	d.stored.Snapshot = *w.Snapshot
	d.stored.Entries = rest
}
