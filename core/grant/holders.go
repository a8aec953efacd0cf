package grant

import (
	"slices"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// Residence tells entry hosts which adapters an engine has ready, by model.
type Residence struct {
	Instance ident.Instance             `json:"instance"`
	Held     map[string][]ident.Adapter `json:"held,omitempty"`
}

// refreshTurns is the number of calls of Residences in which each engine is told again although nothing changed, for
// entry hosts that have come since.
const refreshTurns = 10

// Residences returns the engines that hold other adapters than when they were last told, and a part of the others in turn.
func (t *Authority) Residences(now ident.Time) []Residence {
	t.turn++
	var list []Residence
	for i, e := range t.inOrder() {
		held := t.readyOn(e, now)
		if slices.Equal(held, e.told) && i%refreshTurns != t.turn%refreshTurns {
			continue
		}
		e.told = held
		r := Residence{Instance: e.entry.Instance, Held: map[string][]ident.Adapter{}}
		for _, ref := range held {
			r.Held[ref.Model] = append(r.Held[ref.Model], ref.Adapter)
		}
		list = append(list, r)
	}
	return list
}

// readyOn returns the adapters that requests can be sent for to an engine at once, in order.
func (t *Authority) readyOn(e *engine, now ident.Time) []book.AdapterRef {
	var list []book.AdapterRef
	if !e.usable(now, t.Params) {
		return nil
	}
	for ref, s := range e.slots {
		if s.placed && !s.leaving && s.readyAt <= now && t.current(ref, s) {
			list = append(list, ref)
		}
	}
	slices.SortFunc(list, book.AdapterRef.Compare)
	return list
}

// Holders is what an entry host knows of where adapters are, to go on while no authority answers.
//
// Load: all control hosts are lost at once, or the leader is, while engines hold most of what is asked for.
type Holders struct {
	engines map[ident.EndpointID]Residence
	at      map[book.AdapterRef][]ident.Instance
}

// NewHolders returns a Holders that knows of no engine.
func NewHolders() *Holders {
	return &Holders{engines: map[ident.EndpointID]Residence{}, at: map[book.AdapterRef][]ident.Instance{}}
}

// Take replaces what is known of the engines in a list.
func (h *Holders) Take(list []Residence) {
	for _, r := range list {
		old := h.engines[r.Instance.ID]
		old.each(func(ref book.AdapterRef) {
			h.at[ref] = slices.DeleteFunc(h.at[ref], func(i ident.Instance) bool { return i == old.Instance })
			if len(h.at[ref]) == 0 {
				delete(h.at, ref)
			}
		})
		delete(h.engines, r.Instance.ID)
		if len(r.Held) == 0 {
			continue
		}
		h.engines[r.Instance.ID] = r
		r.each(func(ref book.AdapterRef) { h.at[ref] = append(h.at[ref], r.Instance) })
	}
}

// each calls f for each adapter that the engine holds.
func (r Residence) each(f func(book.AdapterRef)) {
	for model, list := range r.Held {
		for _, a := range list {
			f(book.AdapterRef{Model: model, Adapter: a})
		}
	}
}

// Choose returns the engine that holds an adapter and has the most room for this host; room returns 0 for engines that
// can't be used.
func (h *Holders) Choose(ref book.AdapterRef, room func(ident.Instance) int) (ident.Instance, bool) {
	var best ident.Instance
	most := 0
	for _, i := range h.at[ref] {
		if n := room(i); n > most || (n == most && n > 0 && i.ID < best.ID) {
			best, most = i, n
		}
	}
	return best, most > 0
}
