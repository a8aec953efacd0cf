package world

import (
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

// openWrite is a write that is not durable yet.
type openWrite struct {
	seq       uint64
	emittedAt ident.Time
}

// openWrites are the writes that are not durable yet, oldest first.
type openWrites []openWrite

// add records a write. Writes without a number are not reported when they are durable.
func (o *openWrites) add(seq uint64, now ident.Time) {
	if seq != 0 {
		*o = append(*o, openWrite{seq: seq, emittedAt: now})
	}
}

// written removes the writes up to the given number.
func (o *openWrites) written(seq uint64) {
	*o = slices.DeleteFunc(*o, func(w openWrite) bool { return w.seq <= seq })
}

// resignOnSlowDisk gives up the leadership while this host's disk is full or hangs, as nothing that this host proposes can be acknowledged
// by it. Half the length of a lease leaves the next leader time to renew the leases of all hosts. It reports whether it did.
func (w *World) resignOnSlowDisk() bool {
	if len(w.openWrites) == 0 || w.now.Sub(w.openWrites[0].emittedAt) < w.Params.Lease.Length/2 {
		return false
	}
	w.note(ident.RequestID{}, "lead", "disk-slow", "")
	w.node.StepDown(quorum.ExcludeNone)
	return true
}
