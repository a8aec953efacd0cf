package grant

import (
	"fmt"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// engine is what the authority knows of one engine.
type engine struct {
	entry census.Entry
	index *holding // of all engines
	// known is false until the engine's own report was read under this authority, and again after an order whose
	// result is not clear.
	known     bool
	reported  bool       // it has reported under this authority
	unknownAt ident.Time // when the authority first heard of it
	askedAt   ident.Time // when its report was last asked for
	asking    bool       // its report is on the way
	reportAt  ident.Time // not before this
	ordering  bool       // an order is under way
	orders    uint64     // accepted by the engine so far
	orderAt   ident.Time // when the last order was answered
	slots     map[book.AdapterRef]*slot
	dropped   *recent // adapters that it held before and loads faster
	prompts   *prompts
	running   map[ID]*run
	tokens    ident.Tokens // memory that running requests need
	// readUntil is when the prompts that were sent are expected to be read.
	readUntil ident.Time
	// planned is what the prompts of the requests need that wait for the engine.
	planned time.Duration
	// reading is the decayed time spent on prompts, as of readAt.
	reading time.Duration
	readAt  ident.Time
	trouble trouble
	// modelUntil is when a load of a base model should be complete; it is not ordered again before.
	modelUntil ident.Time
	// resent is how often the order under way was sent again for want of an answer.
	resent int
	// unclearAt is when an order last got no answer.
	unclearAt ident.Time
}

// slot is a place for an adapter on an engine.
type slot struct {
	version book.WeightsVersion
	readyAt ident.Time // when a load under way is expected to be complete
	leaving bool
	pins    int
	usedAt  ident.Time
	uses    float64 // decayed count of requests
	stored  bool    // the load under way comes from the store
	// fetchedBy is until when a load from the store counts as under way, unless a request proves it before.
	fetchedBy ident.Time
	// span is the time that its load takes, and placed is false until the engine has accepted the order.
	span   time.Duration
	placed bool
	// probe is the first request after a load; the others follow when it was not refused at once.
	probe    ID
	probeAt  ident.Time
	proved   bool
	early    bool // tried earlier than expected, to learn
	misses   int  // refusals since the load should have been complete
	loadedAt ident.Time
}

// run is a request on an engine.
type run struct {
	ask   Ask
	endBy ident.Time
	// unread are the tokens that the engine had to read; alone is true when it read nothing else then.
	unread ident.Tokens
	alone  bool
}

func newEngine(e census.Entry, index *holding, remembered int) *engine {
	n := &engine{entry: e, index: index, slots: map[book.AdapterRef]*slot{}, dropped: newRecent(remembered), prompts: newPrompts(), running: map[ID]*run{}}
	for _, h := range e.Held {
		// Enough to send requests there; orders wait for the engine's report.
		s := &slot{version: book.WeightsVersion(h.Version), usedAt: e.LastHeartbeat, readyAt: e.LastHeartbeat, placed: true, proved: true}
		n.hold(book.AdapterRef{Model: h.Model, Adapter: h.Adapter}, s)
	}
	return n
}

// usable reports whether new requests may be sent to the engine.
func (e *engine) usable(now ident.Time, p Params) bool {
	return e.entry.State == census.Ready && now.Sub(e.entry.LastHeartbeat) < p.HeartbeatTimeout
}

// disturbed reports whether orders to the engine were lost a moment ago, so that times of loads say little.
func (e *engine) disturbed(now ident.Time) bool {
	return e.unclearAt != 0 && now.Sub(e.unclearAt) < disturbedFor
}

// disturbedFor: an order without an answer is carried out up to some seconds later.
const disturbedFor = 5 * time.Second

func (e *engine) holdsModel(model string) bool {
	for _, m := range e.entry.Models {
		if m == model {
			return true
		}
	}
	return false
}

// learn takes an engine's own report.
func (e *engine) learn(r Report, now ident.Time, p Params) {
	e.orders = r.Orders
	e.known, e.reported = true, true
	e.entry.Models = r.Models
	seen := map[book.AdapterRef]bool{}
	for _, h := range r.Held {
		s := e.slots[h.Ref]
		if s == nil {
			s = &slot{usedAt: now, readyAt: now, placed: true, proved: !h.Loading}
			s.pins = e.users(h.Ref) // an entry host may have told of them before the engine did
			e.hold(h.Ref, s)
		}
		if h.Loading {
			s.readyAt = max(s.readyAt, now.Add(p.AdapterLoadTime/2))
		}
		// A replacement under way is listed beside what it replaces.
		if !seen[h.Ref] || h.Loading {
			s.version = h.Version
		}
		s.placed = true
		seen[h.Ref] = true
	}
	for ref, s := range e.slots {
		if !seen[ref] && s.pins == 0 {
			e.letGo(ref)
		}
	}
}

// users counts the running requests for an adapter.
func (e *engine) users(ref book.AdapterRef) int {
	n := 0
	for _, r := range e.running {
		if r.ask.Ref == ref {
			n++
		}
	}
	return n
}

// compare returns how a heartbeat, made well after the last order, differs from what the orders should have led to; empty
// when it doesn't.
func (e *engine) compare(held []census.HeldAdapter, now ident.Time, p Params) string {
	if !e.known || e.ordering || now.Sub(e.orderAt) < p.HeartbeatLag {
		return ""
	}
	listed := map[book.AdapterRef]book.WeightsVersion{}
	for _, h := range held {
		listed[book.AdapterRef{Model: h.Model, Adapter: h.Adapter}] = book.WeightsVersion(h.Version)
	}
	for ref, s := range e.slots {
		if now.Sub(s.readyAt) < p.HeartbeatLag {
			continue
		}
		version, ok := listed[ref]
		if !ok || (version != s.version && s.version != 0) {
			return fmt.Sprintf("heartbeat lists %s at version %d, orders gave %d", ref.Adapter, version, s.version)
		}
		s.version = version
	}
	for ref := range listed {
		if e.slots[ref] == nil {
			return fmt.Sprintf("heartbeat lists %s, which was not ordered", ref.Adapter)
		}
	}
	return ""
}

// free returns how many adapters can be loaded without dropping one.
func (e *engine) free(limit int) int { return limit - len(e.slots) }

func (e *engine) transit(now ident.Time) (all, stored int) {
	for _, s := range e.slots {
		if s.readyAt > now {
			all++
			if s.stored {
				stored++
			}
		}
	}
	return all, stored
}

// start puts a request on the engine.
func (e *engine) start(a Ask, now ident.Time, unread ident.Tokens, read time.Duration) {
	e.running[a.ID] = &run{ask: a, endBy: now.Add(a.Left), unread: unread, alone: e.readUntil <= now}
	e.tokens += a.Prompt + a.Output
	e.readUntil = max(e.readUntil, now).Add(read)
	e.reading = e.readingAt(now) + read
	e.readAt = now
	e.prompts.add(a, now)
	if s := e.slots[a.Ref]; s != nil && a.Ref.Adapter != "" {
		s.pins++
		s.use(now)
	}
}

// end takes a request off the engine.
func (e *engine) end(id ID) (*run, bool) {
	r, ok := e.running[id]
	if !ok {
		return nil, false
	}
	delete(e.running, id)
	e.tokens -= r.ask.Prompt + r.ask.Output
	if s := e.slots[r.ask.Ref]; s != nil && s.pins > 0 {
		s.pins--
	}
	return r, true
}

// useHalfLife is the half-life of the count of an adapter's requests; the product's own residency uses the same.
const useHalfLife = 20 * time.Second

func (s *slot) use(now ident.Time) {
	s.uses = s.weight(now) + 1
	s.usedAt = now
}

// weight returns the decayed count of requests.
func (s *slot) weight(now ident.Time) float64 {
	return s.uses * halve(now.Sub(s.usedAt), useHalfLife)
}
