package grant

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// option is one engine that a request could go to.
type option struct {
	engine *engine
	// cost is the expected time to the first event, with what the choice costs others.
	cost time.Duration
	// first is the expected time to the first event.
	first time.Duration
	// wait is how long until the request can be sent.
	wait time.Duration
	// read is the time that its prompt needs.
	read   time.Duration
	unread ident.Tokens
	// held is how long nothing can be ordered at the engine, or brought from the store, for this request.
	held time.Duration
	// load is true when the adapter must be loaded first; evict names one to drop for it.
	load   bool
	evict  book.AdapterRef
	stored bool
}

// serve sends a waiting request to the engine that answers it first, orders a load for it, or turns it away.
//
// Load: requests for few popular and very many rare adapters, more of them than all engines have places.
func (t *Authority) serve(w *waiter, now ident.Time) {
	s, ok := t.layout.Service(w.ask.Service)
	if !ok || s.Engine == nil {
		t.drop(w, NoService, retrySoon)
		return
	}
	if w.ask.Prompt+w.ask.Output > s.Engine.Memory {
		t.drop(w, TooLarge, 0)
		return
	}
	if e := t.engines[w.preparing]; e != nil && e.ordering && e.resent == 0 && now.Sub(w.since) < w.ask.Left/4 {
		return
	}
	w.nextTry = now.Add(tryEvery)
	w.planFor(nil, 0)
	best, found := t.best(w, s.Engine, now)
	left := w.since.Add(w.patience).Sub(now)
	switch {
	case !found:
		t.waitOrDrop(w, now)
	case best.wait+best.read > left:
		w.last = best.text()
		t.drop(w, TooLate, best.wait)
	case best.held > 0:
		// It waits here, where any engine can still be chosen, and not in the queue of a busier one.
		w.nextTry = now.Add(min(max(best.held/tryPart, tryEvery), tryAtLeast))
		t.waitOrTurnAway(w, best, now)
	case best.load:
		t.load(best, w, now)
		w.planFor(best.engine, best.read)
	case best.wait == 0:
		t.grant(best, w, now)
	default:
		t.waitOrTurnAway(w, best, now)
	}
}

// waitOrTurnAway keeps a request that its best engine can't take yet, unless that would use up its caller's patience.
func (t *Authority) waitOrTurnAway(w *waiter, best option, now ident.Time) {
	w.last = ""
	if now.Sub(w.since)+best.wait > time.Duration(t.MaxWaitShare*float64(w.patience)) {
		w.last = best.text()
		t.drop(w, TooLate, best.wait)
		return
	}
	w.planFor(best.engine, best.read)
}

// tryEvery is how often a waiting request is looked at: a fraction of the shortest load.
const tryEvery = 6 * time.Millisecond

// A request whose turn is far off is looked at less often: in a rush hundreds wait, and each look is one at all engines.
const (
	tryPart    = 8                     // of the time until its turn
	tryAtLeast = 40 * time.Millisecond // a small part of the shortest target
)

// retrySoon is the pause for callers when the layout or the endpoints are not known yet.
const retrySoon = 500 * time.Millisecond

// waitOrDrop keeps a request that no engine can take for an eighth of its time, and not beyond its caller's patience.
func (t *Authority) waitOrDrop(w *waiter, now ident.Time) {
	if now.Sub(w.since) > min(w.ask.Left/8, time.Duration(t.MaxWaitShare*float64(w.patience))) {
		cause := TooLate
		if !t.anyUsable(w.ask, now) {
			cause = NoEndpoint
		}
		t.drop(w, cause, retrySoon)
	}
}

func (t *Authority) anyUsable(a Ask, now ident.Time) bool {
	for _, e := range t.engines {
		if e.entry.Service == a.Service && e.usable(now, t.Params) && e.holdsModel(a.Ref.Model) {
			return true
		}
	}
	return false
}

func (t *Authority) drop(w *waiter, c Cause, after time.Duration) {
	t.forget(w.ask.ID)
	t.refuse(w.ask, c, after, w.last)
}

// text describes an option for logs.
func (o option) text() string {
	return fmt.Sprintf("best=%s wait=%dms held=%dms cost=%dms load=%t ", o.engine.entry.Instance.ID, o.wait.Milliseconds(), o.held.Milliseconds(), o.cost.Milliseconds(), o.load)
}

func (t *Authority) grant(o option, w *waiter, now ident.Time) {
	a := w.ask
	a.Left = w.giveUp.Sub(now)
	p := t.place(o.engine, a)
	o.engine.start(a, now, o.unread, o.read)
	t.forget(a.ID)
	t.placed[a.ID] = o.engine.entry.Instance.ID
	if s := o.engine.slots[a.Ref]; s != nil && !s.proved {
		t.probe(s, a.ID, now)
	}
	t.reply(a, Reply{ID: a.ID, Place: p})
	t.note("grant", a, p.Instance.ID, "granted", fmt.Sprintf("waited=%dms cost=%dms running=%d tokens=%d version=%d adapter=%s", now.Sub(w.since).Milliseconds(), o.cost.Milliseconds(), len(o.engine.running), o.engine.tokens, p.Version, a.Ref.Adapter))
}

// best returns the engine with the lowest cost.
func (t *Authority) best(w *waiter, engine *layout.Engine, now ident.Time) (option, bool) {
	var best option
	found := false
	storeBusy := t.storeBusy()
	for _, e := range t.candidates(w.ask.Ref) {
		if e.entry.Service != w.ask.Service || !e.usable(now, t.Params) || !e.holdsModel(w.ask.Ref.Model) || slices.Contains(w.ask.Avoid, e.entry.Instance.ID) {
			continue
		}
		if e.trouble.avoided(now) {
			continue
		}
		o, ok := t.option(e, w, engine, storeBusy, now)
		if ok && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	return best, found
}

// option returns what sending a request to an engine would mean; false when it can't be sent there now.
func (t *Authority) option(e *engine, w *waiter, engine *layout.Engine, storeBusy bool, now ident.Time) (option, bool) {
	a := w.ask
	if len(e.running) >= engine.Slots || e.tokens+a.Prompt+a.Output > engine.Memory {
		return option{}, false
	}
	o := option{engine: e}
	o.unread = max(a.Prompt-e.prompts.cached(a, w.keys), 1)
	o.read = t.readTime(o.unread, a.Prompt)
	o.first = o.read + max(0, e.readUntil.Sub(now)) + e.planned
	o.cost += time.Duration(float64(len(e.running)) / float64(engine.Slots) * float64(batchCost))
	o.cost += e.pauseCost(a, o.read, t.strain(a.Service), now)
	o.cost += time.Duration(e.trouble.now(now) * float64(troubleCost))
	if e.entry.Domain != a.Domain {
		o.cost += t.CrossDomain
	}
	if a.Ref.Adapter == "" {
		return o.rated(w, now), true
	}
	s := e.slots[a.Ref]
	if s != nil && !s.placed && (e.resent > 0 || !e.known) {
		return option{}, false // its load was ordered and not answered
	}
	if s != nil && !s.leaving && t.current(a.Ref, s) {
		o.wait = max(0, s.readyAt.Sub(now))
		if !s.placed {
			o.wait = max(o.wait, s.span)
		}
		if o.wait == 0 && !s.proved && s.probe != "" {
			o.wait = max(0, s.probeAt.Add(probeWait).Sub(now))
		}
		if !e.known {
			// A heartbeat lists what the engine held up to some seconds ago; its report is on the way.
			o.wait = max(o.wait, t.began.Add(reportsWithin).Sub(now))
		}
		return o.rated(w, now), true
	}
	if s != nil {
		return option{}, false // it is being replaced or dropped
	}
	o, ok := t.withLoad(o, e, a, engine, storeBusy, now)
	return o.rated(w, now), ok
}

// rated adds to the cost when the first event is expected, and what it costs the caller when that is too late.
func (o option) rated(w *waiter, now ident.Time) option {
	o.first += o.wait
	o.cost += o.first
	if w.ask.Target > 0 && now.Sub(w.since)+o.first+firstOverhead > w.ask.Target {
		o.cost += lateCost
	}
	return o
}

// Costs of a choice.
const (
	lateCost    = 500 * time.Millisecond // a late answer is worth three tenths; half of a target is what one may wait to be in time
	batchCost   = 200 * time.Millisecond // a full batch slows each token; this is some tokens' worth
	troubleCost = 3 * time.Second        // what a failure costs the caller: most of a deadline
	evictCost   = 15 * time.Millisecond  // for each recent use of the adapter that is dropped: a fast load's part
)

// current reports whether a slot holds the newest version of its adapter.
func (t *Authority) current(ref book.AdapterRef, s *slot) bool {
	v := t.newest[ref]
	return v == 0 || s.version >= v
}

// withLoad adds the cost of loading the adapter first, and of what keeps it from being ordered now.
func (t *Authority) withLoad(o option, e *engine, a Ask, engine *layout.Engine, storeBusy bool, now ident.Time) (option, bool) {
	if t.superseded {
		return option{}, false
	}
	transit, _ := e.transit(now)
	switch {
	case !e.known && (e.reported || now.Sub(e.unknownAt) > unknownFor), e.ordering && e.resent > 0:
		return option{}, false // it is in doubt, or leaves questions unanswered
	case !e.known:
		o.held = knownWithin // its first report is on the way
	case e.ordering:
		o.held = orderedWithin
	case transit >= t.MaxEngineLoads:
		o.held = t.AdapterLoadTime / 2 // on average, until one of them is complete
	}
	o.load = true
	o.stored = !e.dropped.has(a.Ref)
	wait := t.AdapterLoadTime
	if !o.stored {
		wait = time.Duration(float64(wait) * t.FastLoadShare)
	} else {
		o.cost += t.LoadCost
		if t.copies[a.Ref] > 0 {
			// A further copy takes a place from another adapter.
			o.cost += time.Duration(t.pressures[a.Service].now * float64(t.CopyCost))
		}
		if storeBusy {
			o.held = max(o.held, t.storeWait(a.Ref))
		}
	}
	o.wait = wait + o.held
	if e.free(engine.AdapterSlots) > 0 {
		return o, true
	}
	ref, weight, ok := t.victim(e, now)
	if !ok {
		return option{}, false
	}
	o.evict = ref
	o.cost += time.Duration(weight * float64(evictCost))
	return o, true
}

// How long it takes at most until something can be ordered at an engine.
const (
	reportsWithin = 60 * time.Millisecond  // some round trips after an authority begins
	knownWithin   = 150 * time.Millisecond // a question and its answer, and those of other engines before it
	unknownFor    = 900 * time.Millisecond // the pause before a report, and two questions
	orderedWithin = 10 * time.Millisecond  // some round trips
)

// victim returns the adapter to drop: not in use and with the fewest recent requests.
func (t *Authority) victim(e *engine, now ident.Time) (book.AdapterRef, float64, bool) {
	var best book.AdapterRef
	weight, found := 0.0, false
	if now.Sub(t.began) < t.SettleTime {
		return best, 0, false
	}
	for ref, s := range e.slots {
		if s.pins > 0 || s.leaving || s.readyAt > now || t.wanted(ref) {
			continue
		}
		v := s.weight(now)
		if !found || v < weight || (v == weight && ref.Adapter < best.Adapter) {
			best, weight, found = ref, v, true
		}
	}
	return best, weight, found
}

// wanted reports whether a request waits for an adapter.
func (t *Authority) wanted(ref book.AdapterRef) bool {
	return t.wants[ref] > 0
}

// countCopies counts the engines and what they hold.
func (t *Authority) countCopies() {
	t.ready = 0
	clear(t.copies)
	for _, e := range t.engines {
		if e.entry.State == census.Ready {
			t.ready++
		}
		for ref, s := range e.slots {
			if !s.leaving {
				t.copies[ref]++
			}
		}
	}
}
