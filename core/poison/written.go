package poison

import (
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Retention is how long a part counts as sound after an engine has written on it.
const Retention = 5 * time.Minute

// maxWritten limits the parts that are remembered.
const maxWritten = 1 << 15

// Written remembers the parts that engines have written on lately. Such a part is sound, as a poison part crashes each engine that
// begins to write on it.
type Written struct {
	at map[Part]ident.Time
}

// NewWritten returns an empty memory.
func NewWritten() *Written { return &Written{at: map[Part]ident.Time{}} }

// Add records that an engine has written on a part.
func (w *Written) Add(p Part, now ident.Time) {
	if _, known := w.at[p]; !known && len(w.at) >= maxWritten {
		w.trim(now)
	}
	w.at[p] = max(w.at[p], now)
}

// Has reports whether an engine has written on a part within Retention.
func (w *Written) Has(p Part, now ident.Time) bool {
	at, known := w.at[p]
	return known && now.Sub(at) <= Retention
}

// Latest returns up to limit parts, those written on last first.
func (w *Written) Latest(limit int, now ident.Time) []Part {
	var list []Part
	for p := range w.at {
		if w.Has(p, now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Part) int { return int(w.at[b] - w.at[a]) })
	return list[:min(limit, len(list))]
}

// trim drops what is older than Retention, and the older half if that is not enough.
func (w *Written) trim(now ident.Time) {
	for p := range w.at {
		if !w.Has(p, now) {
			delete(w.at, p)
		}
	}
	if len(w.at) < maxWritten {
		return
	}
	kept := map[Part]ident.Time{}
	for _, p := range w.Latest(maxWritten/2, now) {
		kept[p] = w.at[p]
	}
	w.at = kept
}
