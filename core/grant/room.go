package grant

import (
	"shallotgap/core/book"
	"shallotgap/core/layout"
)

// weightsMB returns the size of the models and adapters that an engine holds or loads. What the layout does not name counts as nothing.
func (e *engine) weightsMB(l *layout.Engine) float64 {
	total := 0.0
	for _, name := range e.entry.Models {
		m, _ := l.Model(name)
		total += m.WeightsMB
	}
	for ref := range e.slots {
		m, _ := l.Model(ref.Model)
		total += m.AdapterMB
	}
	return total
}

// fitsAdapter reports whether an engine can load another adapter without an eviction: it has a slot and memory for it.
func (e *engine) fitsAdapter(l *layout.Engine, ref book.AdapterRef) bool {
	return len(e.slots) < l.AdapterSlots && e.fitsReplacement(l, ref)
}

// fitsReplacement reports whether an engine has memory for a newer version beside the one that it holds, which it keeps until no request uses it.
func (e *engine) fitsReplacement(l *layout.Engine, ref book.AdapterRef) bool {
	if l.SlotsBind() {
		return true
	}
	m, _ := l.Model(ref.Model)
	return l.HasRoom(e.weightsMB(l) + m.AdapterMB)
}

// adapterPlaces returns how many adapters an engine can hold: as many as it has slots or, if that is less, memory for.
func (e *engine) adapterPlaces(l *layout.Engine) int {
	if l.SlotsBind() {
		return l.AdapterSlots
	}
	room, largest := l.RoomMB, 0.0
	for _, name := range e.entry.Models {
		m, _ := l.Model(name)
		room -= m.WeightsMB
		largest = max(largest, m.AdapterMB)
	}
	if largest <= 0 {
		return l.AdapterSlots
	}
	return max(0, min(l.AdapterSlots, int(room/largest)))
}
