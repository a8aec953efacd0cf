package place

import (
	"time"

	"shallotgap/core/ident"
)

// Bounds of the wait after a failed load, which doubles with each failure.
const (
	firstBackOff = 500 * time.Millisecond
	maxBackOff   = 30 * time.Second
)

// failure is what is known of an adapter whose latest load failed.
type failure struct {
	count int
	until ident.Time
}

// failures are the adapters whose latest load failed.
type failures map[ident.Model]failure

// add notes a failed load; the first free ones have no wait.
func (f failures) add(m ident.Model, now ident.Time, free int) {
	x := f[m]
	x.count++
	x.until = now
	if n := x.count - free; n > 0 {
		x.until = now.Add(min(maxBackOff, firstBackOff<<min(n-1, 6)))
	}
	f[m] = x
}

// waits reports whether an adapter is not to be tried yet.
func (f failures) waits(m ident.Model, now ident.Time) bool { return now < f[m].until }

// MarkLoadFailed notes that a load failed here; the adapter is not asked for again before a growing wait.
func (s *Site) MarkLoadFailed(m ident.Model, now ident.Time) {
	delete(s.Slots, m)
	s.failed.add(m, now, 0)
}

// MarkNotResident notes that the engine does not hold an adapter that it should. Requests that run on it keep their pins on the
// forgotten slot; the engine itself refuses a load for which it has no room.
func (s *Site) MarkNotResident(m ident.Model) { delete(s.Slots, m) }

// MarkLoaded notes that an adapter is resident.
func (s *Site) MarkLoaded(slot *Slot, now ident.Time) {
	slot.Loading = false
	slot.ResidentAt = now
	delete(s.failed, slot.Model)
}

// WaitingFor returns the requests that wait for an adapter, as a copy in their order.
func (s *Site) WaitingFor(m ident.Model) []*Item { return append([]*Item(nil), s.groups[m]...) }
