package place

import (
	"time"

	"shallotgap/core/ident"
)

// Bounds of the backoff after a failed load. The backoff doubles with each further failure.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// failure counts the consecutive failed loads of an adapter and holds the end of its backoff.
type failure struct {
	count   int
	retryAt ident.Time
}

// failures holds the adapters whose latest load failed.
type failures map[ident.Model]failure

// add records a failed load; the first free failures cause no backoff.
func (f failures) add(m ident.Model, now ident.Time, free int) {
	updated := f[m]
	updated.count++
	updated.retryAt = now
	if n := updated.count - free; n > 0 {
		updated.retryAt = now.Add(min(maxBackoff, minBackoff<<min(n-1, 6)))
	}
	f[m] = updated
}

// backingOff reports whether an adapter is in backoff and must not be loaded now.
func (f failures) backingOff(m ident.Model, now ident.Time) bool { return now < f[m].retryAt }

// MarkLoadFailed frees the slot of a failed load and starts the adapter's backoff on this engine.
func (s *Site) MarkLoadFailed(m ident.Model, now ident.Time) {
	delete(s.Slots, m)
	s.failed.add(m, now, 0)
}

// MarkNotResident removes the slot of an adapter that the engine turned out not to hold. Running requests keep their pins on
// the removed slot; the engine itself rejects a load for which it has no free slot.
func (s *Site) MarkNotResident(m ident.Model) { delete(s.Slots, m) }

// MarkLoaded records that the load into a slot succeeded, and ends the adapter's backoff.
func (s *Site) MarkLoaded(slot *Slot, now ident.Time) {
	slot.Loading = false
	slot.ResidentAt = now
	delete(s.failed, slot.Model)
}

// WaitingFor returns a copy of the requests that wait for an adapter, in dispatch order.
func (s *Site) WaitingFor(m ident.Model) []*Item { return append([]*Item(nil), s.waiting[m]...) }
