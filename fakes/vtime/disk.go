package vtime

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/quorum"
	"shallotgap/core/world"
)

// Disk is a data folder: what is durable, and the writes under way.
type Disk struct {
	stored world.Stored
	queue  []world.Write
}

func (f *Fleet) newDisk(h *Host, n int) *Disk {
	return &Disk{stored: world.Stored{Disk: quorum.DiskID(fmt.Sprintf("%s-%d", h.Name, n))}}
}

// Stored returns a copy of what is durable.
func (d *Disk) Stored() *world.Stored {
	s := d.stored
	s.Entries = append([]quorum.Entry(nil), s.Entries...)
	return &s
}

// write queues a write and makes it durable later, in order.
func (f *Fleet) write(h *Host, w world.Write) {
	disk, run := h.Disk, h.run
	disk.queue = append(disk.queue, w)
	var delay time.Duration
	if f.MaxSyncDelay > 0 {
		delay = time.Duration(f.Rand.Int64N(int64(f.MaxSyncDelay)))
	}
	f.After(delay, func() {
		if h.run != run || h.World == nil || len(disk.queue) == 0 {
			return
		}
		next := disk.queue[0]
		disk.queue = disk.queue[1:]
		disk.apply(next)
		for _, out := range next.SendAfter {
			f.send(h, out)
		}
		if next.Seq != 0 {
			f.Handle(h, world.Event{Written: &world.Written{Seq: next.Seq}})
		}
	})
}

func (d *Disk) crash(r *rand.Rand) {
	for _, w := range d.queue[:r.IntN(len(d.queue)+1)] {
		d.apply(w)
	}
	d.queue = nil
}

// apply does what io/disk does with a write and a start afterwards.
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
