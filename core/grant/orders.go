package grant

import (
	"fmt"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// orderLoad orders a load of a waiting request's adapter. When the engine has no free slot, an eviction is ordered first.
func (t *Authority) orderLoad(o option, w *waiter, now ident.Time) {
	w.orderedOn = o.engine.entry.Instance.ID
	if o.evict.Adapter != "" {
		t.sendOrder(o.engine, Order{Ref: o.evict, Cause: "room for " + string(w.ask.Ref.Adapter)}, now)
		return
	}
	v := t.newestVersions[w.ask.Ref]
	s := &slot{version: v, loadTime: o.startDelay, fromStore: o.fromStore, usedAt: now, loadStartedAt: now}
	if o.fromStore {
		s.loadTime, s.probedEarly = t.nextLoadTime()
	}
	s.readyAt = now.Add(s.loadTime)
	if s.fromStore {
		t.trackStoreLoad(s, s.readyAt)
	}
	o.engine.hold(w.ask.Ref, s)
	t.sendOrder(o.engine, Order{Load: true, Ref: w.ask.Ref, Version: v, Cause: "request " + w.ask.Request}, now)
}

// sendOrder sends an order with the engine's expected order count and marks it as pending.
func (t *Authority) sendOrder(e *engine, o Order, now ident.Time) {
	t.takeSend(e.entry.Instance, OrderSend, now)
	o.Instance, o.Service, o.Address, o.Expect = e.entry.Instance, e.entry.Service, e.entry.Address, e.acceptedOrders
	e.orderPending = true
	t.shut.lastOrder = now
	if s := e.slots[o.Ref]; s != nil && !o.Load {
		s.unloading = true
	}
	t.effects.Orders = append(t.effects.Orders, o)
	verb := "unload"
	if o.Load {
		verb = "load"
	}
	t.effects.Notes = append(t.effects.Notes, Note{Step: verb, Endpoint: e.entry.Instance.ID, Outcome: "ordered", Inputs: fmt.Sprintf("adapter=%s version=%d expect=%d slots=%d cause=%q", o.Ref.Adapter, o.Version, o.Expect, len(e.slots), o.Cause)})
}

// ApplyOrderResult applies the result of an order. An unanswered order is resent up to maxResends times.
func (t *Authority) ApplyOrderResult(o Order, r Result, now ident.Time) {
	e := t.engines[o.Instance.ID]
	if e == nil || e.entry.Instance != o.Instance {
		return
	}
	s := e.slots[o.Ref]
	if r == Unknown && e.resends < maxResends {
		// All copies of the order have the same expected count: the engine carries out the first to arrive and rejects the rest.
		e.resends++
		e.unansweredAt = now
		t.takeSend(o.Instance, OrderSend, now)
		t.effects.Orders = append(t.effects.Orders, o)
		return
	}
	resent := e.resends > 0
	e.orderPending, e.lastOrderAt, e.resends = false, now, 0
	switch {
	case r == Conflict || r == Unknown || r == Misplaced || r == Superseded:
		switch r {
		case Unknown:
			e.failures.record(true, now) // neither the order nor any resend was answered
		case Superseded:
			t.holdOrders(e, now)
		default:
		}
		if s != nil {
			s.unloading = false
		}
		if o.Ref.Adapter == "" {
			e.modelLoadUntil = now
		}
		t.requestReport(e, now.Add(reportDelay), "order "+r.String())
		if s != nil && o.Load && r != Unknown && !resent {
			e.release(o.Ref)
		}
	case o.Load:
		e.acceptedOrders++
		e.fenceRefusals = 0
		if s != nil {
			s.loadStartedAt, s.readyAt, s.accepted = now, now.Add(s.loadTime), true
			s.storeLoadUntil = s.readyAt
		}
	default:
		e.acceptedOrders++
		e.fenceRefusals = 0
		if s != nil && r == Holds {
			e.release(o.Ref)
			e.remember(o.Ref)
		}
	}
	if r == Accepted && !o.Load {
		// A request still uses the adapter. The engine unloads it later; the next report shows whether that is done.
		t.requestReport(e, now.Add(reportDelay), "drops an adapter in use")
	}
	t.effects.Notes = append(t.effects.Notes, Note{Step: "ordered", Endpoint: o.Instance.ID, Outcome: r.String(), Inputs: fmt.Sprintf("adapter=%s load=%t expect=%d", o.Ref.Adapter, o.Load, o.Expect)})
}

// holdOrders sends an engine no orders for a while, as it has refused one for its fencing token. It says nothing of other engines: a leader that
// is superseded learns that from the log.
func (t *Authority) holdOrders(e *engine, now ident.Time) {
	e.ordersNotBefore = now.Add(min(firstFencePause<<min(e.fenceRefusals, maxFencePauses), longestFencePause))
	if e.fenceRefusals == 0 {
		e.fenceRefusedSince = now
	}
	e.fenceRefusals++
}

// Pauses after orders that one engine has refused in a row for their fencing token; each next order has a higher one.
const (
	firstFencePause   = 100 * time.Millisecond // the next order is sent once the report has come
	maxFencePauses    = 10                     // doublings, up to longestFencePause
	longestFencePause = time.Minute            // the tokens of a term last for hours
)

// maxResends is how often an unanswered order is resent at once.
const maxResends = 3

// reportDelay is the delay from the result of an order to a report request, as a report shows the state some hundred ms earlier.
const reportDelay = 300 * time.Millisecond

// String returns the name of a result for logs.
func (r Result) String() string {
	names := [...]string{Accepted: "accepted", Holds: "holds", Conflict: "conflict", Superseded: "superseded", Misplaced: "misplaced", Unknown: "unknown"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// replaceOutdated orders loads of newer versions for adapters that engines hold in an older version.
func (t *Authority) replaceOutdated(now ident.Time) {
	if len(t.newestVersions) == 0 {
		return
	}
	for _, e := range t.enginesByID() {
		if !t.mayOrder(e, now) {
			continue
		}
		if ref, ok := t.findOutdated(e, now); ok {
			if s, known := t.layout.Service(e.entry.Service); known && s.Engine != nil && !e.fitsReplacement(s.Engine, ref) {
				t.sendOrder(e, Order{Ref: ref, Cause: "room for its newer version"}, now)
				continue
			}
			v := t.newestVersions[ref]
			s := e.slots[ref]
			s.version, s.readyAt, s.loadTime, s.fromStore, s.loadStartedAt, s.rejections = v, now.Add(t.AdapterLoadTime), t.AdapterLoadTime, true, now, 0
			s.accepted, s.confirmed, s.probeID = false, false, ""
			t.trackStoreLoad(s, s.readyAt)
			t.sendOrder(e, Order{Load: true, Ref: ref, Version: v, Cause: "newer version"}, now)
		}
	}
}

// findOutdated returns an adapter that an engine holds in an older version and that no request uses. Adapters in use are skipped:
// the engine would reject new requests for such an adapter until the running ones have ended and the adapter is replaced.
func (t *Authority) findOutdated(e *engine, now ident.Time) (book.AdapterRef, bool) {
	var found book.AdapterRef
	for ref, s := range e.slots {
		if !t.isCurrent(ref, s) && !s.unloading && s.pins == 0 && s.readyAt <= now && (found.Adapter == "" || ref.Adapter < found.Adapter) {
			found = ref
		}
	}
	return found, found.Adapter != ""
}
