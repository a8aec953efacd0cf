package matrix

import (
	"fmt"
	"time"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/rows"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// The users' bounds.
const (
	inForce  = 3 * time.Second // from the acceptance of an edit until no host serves without it
	noNewFor = 3 * time.Second // from an endpoint's word that it leaves until nothing new comes
)

// Invariant is one of the users' eight points of what must always hold.
type Invariant string

// The promises.
const (
	RightAdapter  Invariant = "right-adapter"
	NoEviction    Invariant = "no-eviction"
	WholeAnswer   Invariant = "whole-answer"
	TrueNotRun    Invariant = "true-not-run"
	AtMostOnce    Invariant = "at-most-once"
	NoWorkLeaving Invariant = "no-work-leaving"
	NoCutByStop   Invariant = "no-cut-by-stop"
	EditsStay     Invariant = "edits-stay"
	// Recovers is no promise: the deployment serves again after the faults.
	Recovers Invariant = "recovers"
)

// maxBroken is the number of broken promises that are kept of one run.
const maxBroken = 20

// Checker looks at every step whether the promises hold.
type Checker struct {
	bench *Bench
	// ran counts the runs of each request, keys those of each key.
	ran  map[ident.RequestID]int
	keys map[ident.Key]int
	// told is what the callers of refused requests were told.
	told       map[ident.RequestID]work.Outcome
	applied    map[*world.World]ident.Index
	accepted   []acceptance
	rows       map[rows.RowKey]acceptedRow
	Violations []string
	// Answered and Refused count the ends of requests.
	Answered, Refused int
	// Evictions counts the orders to give up an adapter.
	Evictions int
	// Refusals tells of the requests that were refused.
	Refusals []string
}

type acceptance struct {
	at    time.Duration
	index ident.Index
}

func (c *Checker) broken(p Invariant, format string, args ...any) {
	if len(c.Violations) < maxBroken {
		c.Violations = append(c.Violations, fmt.Sprintf("%s at %v: %s", p, c.bench.Now, fmt.Sprintf(format, args...)))
	}
}

// runs takes the start of a request at an endpoint.
func (c *Checker) runs(e *endpoint, d world.Dispatch) {
	r := d.Request
	asked := c.bench.exchanges[r.ID]
	if asked != nil && (asked.request.Model != r.Model || asked.request.Service != r.Service || asked.request.Key != r.Key) {
		c.broken(RightAdapter, "request %s asked for %v and runs %v", r.ID, asked.request.Model, r.Model)
	}
	if r.Service != "" && (e.Kind != lease.Plain || e.Service != r.Service) {
		c.broken(RightAdapter, "request %s for service %s runs at %s", r.ID, r.Service, e.ID)
	}
	c.ran[r.ID]++
	if r.Key != "" {
		c.keys[r.Key]++
		if c.keys[r.Key] > 1 {
			c.broken(AtMostOnce, "key %s ran %d times, last as %s at %s", r.Key, c.keys[r.Key], r.ID, e.ID)
		}
	}
	if c.told[r.ID] == work.NotRun {
		c.broken(TrueNotRun, "request %s runs at %s after its caller was told not-run", r.ID, e.ID)
	}
	if e.leftAt > 0 && c.bench.Now-e.leftAt > noNewFor {
		c.broken(NoWorkLeaving, "endpoint %s gets %s %v after it began to leave", e.ID, r.ID, c.bench.Now-e.leftAt)
	}
}

// evicts takes an order to give up an adapter.
func (c *Checker) evicts(e *endpoint, m ident.Model) {
	c.Evictions++
	for _, r := range e.running {
		if r.dispatch.Request.Model == m {
			c.broken(NoEviction, "%s is evicted from %s under request %s", m, e.ID, r.dispatch.Request.ID)
		}
	}
}

// answered takes the final answer of a caller's request.
func (c *Checker) answered(r work.Request, a reply) {
	if a.refusal == nil {
		c.Answered++
		if a.body != bodyOf(r) {
			c.broken(WholeAnswer, "request %s got the answer %q", r.ID, a.body)
		}
		return
	}
	c.Refused++
	c.told[r.ID] = a.refusal.Outcome
	c.Refusals = append(c.Refusals, fmt.Sprintf("%v %s %s %s %s", c.bench.Now, r.ID, a.refusal.Outcome, a.refusal.Reason, a.refusal.Step))
	if a.refusal.Outcome == work.NotRun && c.ran[r.ID] > 0 {
		c.broken(TrueNotRun, "request %s ran and its caller is told not-run (%s)", r.ID, a.refusal.Reason)
	}
}

// look compares a host's state with what was accepted and with what it reports as safe.
func (c *Checker) look(h *vtime.Host) {
	s := h.World.State()
	if s.Applied < c.applied[h.World] {
		c.broken(EditsStay, "host %s went back from index %d to %d", h.Name, c.applied[h.World], s.Applied)
	}
	if s.Applied == c.applied[h.World] && !h.World.Serving() {
		return
	}
	changed := s.Applied != c.applied[h.World]
	c.applied[h.World] = s.Applied
	for n := len(c.accepted) - 1; n >= 0 && h.World.Serving(); n-- {
		if a := c.accepted[n]; c.bench.Now-a.at > inForce && s.Applied < a.index {
			c.broken(EditsStay, "host %s serves at index %d without the edit %d", h.Name, s.Applied, a.index)
			break
		}
	}
	if !changed {
		return
	}
	for _, stop := range s.Stops.List() {
		if stop.Phase == drain.Safe {
			c.safe(stop)
		}
	}
}

// safe looks for work that switching the target off would cut.
func (c *Checker) safe(s drain.Stop) {
	for _, x := range c.bench.open {
		if x.entry.World == x.run && s.CoversHost(x.entry.Name) && x.entry.World != nil && c.current(s) {
			c.broken(NoCutByStop, "stop %s is safe and host %s still serves %s", s.ID(), x.entry.Name, x.request.ID)
		}
	}
	for _, e := range c.bench.endpoints {
		for _, r := range e.running {
			if (s.CoversEndpoint(e.Endpoint) || s.CoversHost(r.host.Name)) && c.current(s) {
				c.broken(NoCutByStop, "stop %s is safe and %s still runs %s", s.ID(), e.ID, r.dispatch.Request.ID)
			}
		}
	}
}

// current reports whether the stop stands on all living hosts: one that lags may still show a stop that was withdrawn.
func (c *Checker) current(s drain.Stop) bool {
	for _, h := range c.bench.Hosts {
		if h.World == nil {
			continue
		}
		if now, ok := h.World.State().Stops.Get(s.ID()); !ok || now.Phase != drain.Safe || now.Edit != s.Edit {
			return false
		}
	}
	return true
}

// accept takes the acceptance of an edit; of two edits from one version one is accepted.
func (c *Checker) accept(e rows.Edit, i ident.Index) {
	if other, ok := c.rows[e.Key]; ok && other.id != e.ID {
		c.broken(EditsStay, "row %s: both %s and %s were accepted from one version", e.Key, other.id, e.ID)
	}
	c.rows[e.Key] = acceptedRow{id: e.ID, version: e.Row.Version}
	c.accepted = append(c.accepted, acceptance{at: c.bench.Now, index: i})
}

type acceptedRow struct {
	id      ident.EditID
	version ident.Version
}

// final compares the rows of all living hosts with all accepted edits.
func (c *Checker) final() {
	for _, h := range c.bench.Hosts {
		if h.World == nil || !h.World.Serving() {
			continue
		}
		for key, want := range c.rows {
			row, ok := h.World.State().Rows.Get(key)
			if age := c.bench.Now - c.acceptedAt(row.RowVersion); !ok && age < inForce {
				continue
			}
			if row.Version != want.version && ok {
				c.broken(EditsStay, "host %s has %s in row %s instead of the accepted %s", h.Name, row.Version, key, want.version)
			}
		}
	}
}

func (c *Checker) acceptedAt(v ident.RowVersion) time.Duration {
	for _, a := range c.accepted {
		if a.index == ident.Index(v) {
			return a.at
		}
	}
	return c.bench.Now
}
