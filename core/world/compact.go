package world

import "shallotgap/core/state"

// compact starts a snapshot once the log has CompactAfter entries. It copies the state but leaves the encoding to the
// process that runs the World, as encoding here would delay heartbeats; a Compacted event returns the encoded data.
func (w *World) compact() {
	if w.compacting || w.node.Length() < w.Params.CompactAfter {
		return
	}
	w.compacting = true
	w.emit(Effect{Compact: &Compact{State: w.state.Snapshot(true)}})
}

// compacted replaces the log up to the snapshot's index by the snapshot.
func (w *World) compacted(c Compacted) {
	w.compacting = false
	if c.Err != "" || w.node == nil {
		return
	}
	if snap, ok := w.node.Compact(c.Index, c.Data); ok {
		w.emit(Effect{Write: &Write{Snapshot: &snap}})
	}
}

// Compact requests the encoding of a snapshot outside the World; a Compacted event follows.
type Compact struct {
	State state.Snapshot `json:"state"`
}
