package host

import (
	"sync"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/world"
)

// maxNotes is the number of decision notes that a host keeps in memory.
const maxNotes = 50_000

// Note is a decision note with the host that recorded it and the wall-clock time on that host, so that notes of several
// hosts can be sorted.
type Note struct {
	world.Note
	Host ident.HostID `json:"host"`
	Wall time.Time    `json:"wall"`
}

// noteRing is a ring buffer of the latest decision notes.
type noteRing struct {
	mu    sync.Mutex
	notes []Note
	next  int // index of the oldest note once the ring is full
}

func (n *noteRing) add(note Note) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.notes) < maxNotes {
		n.notes = append(n.notes, note)
		return
	}
	n.notes[n.next] = note
	n.next = (n.next + 1) % maxNotes
}

// Notes returns this host's decision notes on a request, oldest first.
func (h *Host) Notes(id ident.RequestID) []Note {
	h.notes.mu.Lock()
	defer h.notes.mu.Unlock()
	var list []Note
	for i := range h.notes.notes {
		note := h.notes.notes[(h.notes.next+i)%len(h.notes.notes)]
		if note.Request == id {
			list = append(list, note)
		}
	}
	return list
}
