package grant

import (
	"fmt"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// load orders an adapter for a waiting request; when no place is free, one is emptied first.
func (t *Authority) load(o option, w *waiter, now ident.Time) {
	w.preparing = o.engine.entry.Instance.ID
	if o.evict.Adapter != "" {
		t.order(o.engine, Order{Ref: o.evict, Cause: "room for " + string(w.ask.Ref.Adapter)})
		return
	}
	v := t.newest[w.ask.Ref]
	s := &slot{version: v, span: o.wait, stored: o.stored, usedAt: now, loadedAt: now}
	if o.stored {
		s.span, s.early = t.loadSpan()
	}
	s.readyAt = now.Add(s.span)
	if s.stored {
		t.fetch(s, s.readyAt)
	}
	o.engine.hold(w.ask.Ref, s)
	t.order(o.engine, Order{Load: true, Ref: w.ask.Ref, Version: v, Cause: "request " + w.ask.Request})
}

func (t *Authority) order(e *engine, o Order) {
	o.Instance, o.Address, o.Expect = e.entry.Instance, e.entry.Address, e.orders
	e.ordering = true
	if s := e.slots[o.Ref]; s != nil && !o.Load {
		s.leaving = true
	}
	t.out.Orders = append(t.out.Orders, o)
	verb := "unload"
	if o.Load {
		verb = "load"
	}
	t.out.Notes = append(t.out.Notes, Note{Step: verb, Endpoint: e.entry.Instance.ID, Outcome: "ordered", Inputs: fmt.Sprintf("adapter=%s version=%d expect=%d slots=%d cause=%q", o.Ref.Adapter, o.Version, o.Expect, len(e.slots), o.Cause)})
}

// ApplyOrderResult takes the result of an order.
func (t *Authority) ApplyOrderResult(o Order, r Result, now ident.Time) {
	e := t.engines[o.Instance.ID]
	if e == nil || e.entry.Instance != o.Instance {
		return
	}
	s := e.slots[o.Ref]
	if r == Unknown && e.resent < maxResends && !t.superseded {
		// The same order with the same expectation: whichever copy comes first is carried out, and the other is refused.
		e.resent++
		e.unclearAt = now
		t.out.Orders = append(t.out.Orders, o)
		return
	}
	resent := e.resent > 0
	e.ordering, e.orderAt, e.resent = false, now, 0
	switch {
	case r == Superseded:
		t.superseded = true
	case r == Conflict || r == Unknown || r == Misplaced:
		if r == Unknown {
			e.trouble.note(true, now) // several copies of the order had no answer
		}
		if s != nil {
			s.leaving = false
		}
		if o.Ref.Adapter == "" {
			e.modelUntil = now
		}
		t.doubt(e, now.Add(reportAge), "order "+r.String())
		if s != nil && o.Load && r != Unknown && !resent {
			e.letGo(o.Ref)
		}
	case o.Load:
		e.orders++
		if s != nil {
			s.loadedAt, s.readyAt, s.placed = now, now.Add(s.span), true
			s.fetchedBy = s.readyAt
		}
	default:
		e.orders++
		if s != nil && r == Holds {
			e.letGo(o.Ref)
			e.remember(o.Ref)
		}
	}
	if r == Accepted && !o.Load {
		// The engine waits for runs of the adapter; its report tells when it is dropped.
		t.doubt(e, now.Add(reportAge), "drops an adapter in use")
	}
	t.out.Notes = append(t.out.Notes, Note{Step: "ordered", Endpoint: o.Instance.ID, Outcome: r.String(), Inputs: fmt.Sprintf("adapter=%s load=%t expect=%d", o.Ref.Adapter, o.Load, o.Expect)})
}

// maxResends is how often an order without an answer is sent again at once.
const maxResends = 3

// reportAge: reports show the state of some hundred ms earlier.
const reportAge = 300 * time.Millisecond

// String returns the name of a result for logs.
func (r Result) String() string {
	names := [...]string{Accepted: "accepted", Holds: "holds", Conflict: "conflict", Superseded: "superseded", Misplaced: "misplaced", Unknown: "unknown"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// followVersions replaces the adapters on engines of which a newer version was announced.
func (t *Authority) followVersions(now ident.Time) {
	if len(t.newest) == 0 {
		return
	}
	for _, e := range t.inOrder() {
		if !t.mayOrder(e, now) {
			continue
		}
		if ref, ok := t.outdated(e, now); ok {
			v := t.newest[ref]
			s := e.slots[ref]
			s.version, s.readyAt, s.span, s.stored, s.loadedAt, s.misses = v, now.Add(t.AdapterLoadTime), t.AdapterLoadTime, true, now, 0
			s.placed, s.proved, s.probe = false, false, ""
			t.fetch(s, s.readyAt)
			t.order(e, Order{Load: true, Ref: ref, Version: v, Cause: "newer version"})
		}
	}
}

// outdated returns an adapter of which the engine holds an older version and that no request uses: a replacement waits
// for those, and refuses new ones meanwhile.
func (t *Authority) outdated(e *engine, now ident.Time) (book.AdapterRef, bool) {
	var found book.AdapterRef
	for ref, s := range e.slots {
		if !t.current(ref, s) && !s.leaving && s.pins == 0 && s.readyAt <= now && (found.Adapter == "" || ref.Adapter < found.Adapter) {
			found = ref
		}
	}
	return found, found.Adapter != ""
}
