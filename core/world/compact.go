package world

import "shallotgap/core/state"

// compact asks for a snapshot once the log is long. The copy is taken here; encoding it would hold up heartbeats
// for too long, so the edge does that and comes back with Compacted.
func (w *World) compact() {
	if w.compacting || w.node.Length() < w.Params.CompactAfter {
		return
	}
	w.compacting = true
	w.emit(Effect{Compact: &Compact{State: w.state.Snapshot(true)}})
}

// compacted replaces the log up to the snapshot's index.
func (w *World) compacted(c Compacted) {
	w.compacting = false
	if c.Err != "" || w.node == nil {
		return
	}
	if snap, ok := w.node.Compact(c.Index, c.Data); ok {
		w.emit(Effect{Write: &Write{Snapshot: &snap}})
	}
}

// Compact asks for the encoded form of a snapshot; Compacted follows.
type Compact struct {
	State state.Snapshot `json:"state"`
}
