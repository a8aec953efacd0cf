package host

import (
	"sync"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/world"
)

// maxNotes is the number of decision notes that a host keeps.
const maxNotes = 50_000

// Note is a decision note with the host that took the decision and its wall clock, so that the notes of several
// hosts can be put in order.
type Note struct {
	world.Note
	Host ident.HostID `json:"host"`
	Wall time.Time    `json:"wall"`
}

// notebook keeps the latest decision notes.
type notebook struct {
	mu    sync.Mutex
	notes []Note
	next  int
}

func (n *notebook) add(note Note) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.notes) < maxNotes {
		n.notes = append(n.notes, note)
		return
	}
	n.notes[n.next] = note
	n.next = (n.next + 1) % maxNotes
}

// Notes returns what this host decided on a request, in order.
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
