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

// Bounds that the requirements state.
const (
	inForceLimit    = 3 * time.Second // from the acceptance of an edit until each serving host has applied the edit
	newRequestLimit = 3 * time.Second // from the start of an endpoint's shutdown until the endpoint gets no new requests
)

// Invariant is one of the eight properties that must always hold.
type Invariant string

// The invariants.
const (
	RightAdapter  Invariant = "right-adapter"   // a request runs with the adapter or service that its caller asked for
	NoEviction    Invariant = "no-eviction"     // no adapter is evicted while a request uses it
	WholeAnswer   Invariant = "whole-answer"    // an answer is complete and belongs to its request
	TrueNotRun    Invariant = "true-not-run"    // a request that was reported as not-run did not run and never will
	AtMostOnce    Invariant = "at-most-once"    // a request with an idempotency key runs at most once
	NoWorkLeaving Invariant = "no-work-leaving" // an endpoint that shuts down gets no new requests
	NoCutByStop   Invariant = "no-cut-by-stop"  // a stop that is reported as safe cuts off no request
	EditsStay     Invariant = "edits-stay"      // an accepted edit is never lost
	// Recovers is a liveness check beyond the eight invariants: the deployment serves again after the faults.
	Recovers Invariant = "recovers"
)

// maxViolations limits the number of violations that are kept for one run.
const maxViolations = 20

// Checker checks the invariants at every event of a run.
type Checker struct {
	bench *Bench
	// runsByRequest and runsByKey count how often endpoints ran each request and each idempotency key.
	runsByRequest map[ident.RequestID]int
	runsByKey     map[ident.Key]int
	// outcomes holds the outcome that the caller of each rejected request got.
	outcomes     map[ident.RequestID]work.Outcome
	applied      map[*world.World]ident.Index // last applied log index seen at each process
	accepted     []acceptedEdit
	acceptedRows map[rows.RowKey]acceptedRow
	Violations   []string
	// Answered and Refused count the requests that were answered and rejected.
	Answered, Refused int
	// Evictions counts the load orders that evicted an adapter.
	Evictions int
	// Refusals describes the requests that were rejected.
	Refusals []string
}

// acceptedEdit is the time and the log index at which an edit was accepted.
type acceptedEdit struct {
	at    time.Duration
	index ident.Index
}

// violation records that an invariant does not hold.
func (c *Checker) violation(i Invariant, format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf("%s at %v: %s", i, c.bench.Now, fmt.Sprintf(format, args...)))
	}
}

// requestStarted checks the start of a request at an endpoint.
func (c *Checker) requestStarted(e *endpoint, d world.Dispatch) {
	r := d.Request
	sent := c.bench.exchanges[r.ID]
	if sent != nil && (sent.request.Model != r.Model || sent.request.Service != r.Service || sent.request.Key != r.Key) {
		c.violation(RightAdapter, "request %s asked for %v and ran with %v", r.ID, sent.request.Model, r.Model)
	}
	if r.Service != "" && (e.Kind != lease.Plain || e.Service != r.Service) {
		c.violation(RightAdapter, "request %s for service %s ran at %s", r.ID, r.Service, e.ID)
	}
	c.runsByRequest[r.ID]++
	if r.Key != "" {
		c.runsByKey[r.Key]++
		if c.runsByKey[r.Key] > 1 {
			c.violation(AtMostOnce, "key %s ran %d times, last as %s at %s", r.Key, c.runsByKey[r.Key], r.ID, e.ID)
		}
	}
	if c.outcomes[r.ID] == work.NotRun {
		c.violation(TrueNotRun, "request %s ran at %s after its caller got the outcome not-run", r.ID, e.ID)
	}
	if e.leavingSince > 0 && c.bench.Now-e.leavingSince > newRequestLimit {
		c.violation(NoWorkLeaving, "endpoint %s got request %s %v after it announced its shutdown", e.ID, r.ID, c.bench.Now-e.leavingSince)
	}
}

// adapterEvicted checks that no running request uses an adapter that is evicted.
func (c *Checker) adapterEvicted(e *endpoint, m ident.Model) {
	c.Evictions++
	for _, r := range e.running {
		if r.dispatch.Request.Model == m {
			c.violation(NoEviction, "%s was evicted from %s while request %s used it", m, e.ID, r.dispatch.Request.ID)
		}
	}
}

// requestEnded checks the final answer of a caller's request.
func (c *Checker) requestEnded(r work.Request, a reply) {
	if a.refusal == nil {
		c.Answered++
		if a.body != answerBody(r) {
			c.violation(WholeAnswer, "request %s got the answer %q", r.ID, a.body)
		}
		return
	}
	c.Refused++
	c.outcomes[r.ID] = a.refusal.Outcome
	c.Refusals = append(c.Refusals, fmt.Sprintf("%v %s %s %s %s", c.bench.Now, r.ID, a.refusal.Outcome, a.refusal.Reason, a.refusal.Step))
	if a.refusal.Outcome == work.NotRun && c.runsByRequest[r.ID] > 0 {
		c.violation(TrueNotRun, "request %s ran, but its caller got the outcome not-run (%s)", r.ID, a.refusal.Reason)
	}
}

// checkHost compares a host's state with the accepted edits, and checks the stops that the host reports as safe.
func (c *Checker) checkHost(h *vtime.Host) {
	s := h.World.State()
	if s.Applied < c.applied[h.World] {
		c.violation(EditsStay, "host %s went back from index %d to %d", h.Name, c.applied[h.World], s.Applied)
	}
	if s.Applied == c.applied[h.World] && !h.World.Serving() {
		return
	}
	changed := s.Applied != c.applied[h.World]
	c.applied[h.World] = s.Applied
	for n := len(c.accepted) - 1; n >= 0 && h.World.Serving(); n-- {
		if a := c.accepted[n]; c.bench.Now-a.at > inForceLimit && s.Applied < a.index {
			c.violation(EditsStay, "host %s serves at index %d, before the accepted edit at index %d", h.Name, s.Applied, a.index)
			break
		}
	}
	if !changed {
		return
	}
	for _, stop := range s.Stops.List() {
		if stop.Phase == drain.Safe {
			c.checkSafeStop(stop)
		}
	}
}

// checkSafeStop checks that no open request would be cut off if the target of a safe stop were switched off.
func (c *Checker) checkSafeStop(s drain.Stop) {
	for _, x := range c.bench.unanswered {
		if x.entry.World == x.entryRun && s.CoversHost(x.entry.Name) && x.entry.World != nil && c.safeOnAllHosts(s) {
			c.violation(NoCutByStop, "stop %s is reported safe while host %s still serves request %s", s.ID(), x.entry.Name, x.request.ID)
		}
	}
	for _, e := range c.bench.endpoints {
		for _, r := range e.running {
			if (s.CoversEndpoint(e.Endpoint) || s.CoversHost(r.host.Name)) && c.safeOnAllHosts(s) {
				c.violation(NoCutByStop, "stop %s is reported safe while endpoint %s still runs request %s", s.ID(), e.ID, r.dispatch.Request.ID)
			}
		}
	}
}

// safeOnAllHosts reports whether all running hosts report the stop as safe. A single host that lags behind may still
// show a stop that was withdrawn.
func (c *Checker) safeOnAllHosts(s drain.Stop) bool {
	for _, h := range c.bench.Hosts {
		if h.World == nil {
			continue
		}
		if current, ok := h.World.State().Stops.Get(s.ID()); !ok || current.Phase != drain.Safe || current.Edit != s.Edit {
			return false
		}
	}
	return true
}

// editAccepted records an accepted edit. Of two edits from the same row version only one may be accepted.
func (c *Checker) editAccepted(e rows.Edit, index ident.Index) {
	if other, ok := c.acceptedRows[e.Key]; ok && other.id != e.ID {
		c.violation(EditsStay, "row %s: edits %s and %s were both accepted from the same row version", e.Key, other.id, e.ID)
	}
	c.acceptedRows[e.Key] = acceptedRow{id: e.ID, version: e.Row.Version}
	c.accepted = append(c.accepted, acceptedEdit{at: c.bench.Now, index: index})
}

// acceptedRow is the accepted edit of a row and the adapter version that the edit wrote.
type acceptedRow struct {
	id      ident.EditID
	version ident.Version
}

// checkRows checks that every row of a serving host has the adapter version that the last accepted edit of the row wrote.
func (c *Checker) checkRows() {
	for _, h := range c.bench.Hosts {
		if h.World == nil || !h.World.Serving() {
			continue
		}
		for key, want := range c.acceptedRows {
			row, ok := h.World.State().Rows.Get(key)
			if age := c.bench.Now - c.acceptedAt(row.RowVersion); !ok && age < inForceLimit {
				continue
			}
			if row.Version != want.version && ok {
				c.violation(EditsStay, "host %s has %s in row %s instead of the accepted %s", h.Name, row.Version, key, want.version)
			}
		}
	}
}

// acceptedAt returns the time at which the edit that wrote a row version was accepted, or the current time if
// there is no such edit.
func (c *Checker) acceptedAt(v ident.RowVersion) time.Duration {
	for _, a := range c.accepted {
		if a.index == ident.Index(v) {
			return a.at
		}
	}
	return c.bench.Now
}
