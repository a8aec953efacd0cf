package entry

import (
	"time"

	"shallotgap/core/burn"
	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/io/metric"
	"shallotgap/io/relay"
)

// Causes of slow answers that are not refusals or load stalls.
const (
	causeQueue    = burn.Cause("queue")    // waiting for room in the endpoint's batch
	causeEndpoint = burn.Cause("endpoint") // the endpoint, and the links to it
)

// callersOwn are the refusals that a caller brought about; they spend no budget.
var callersOwn = map[work.Reason]bool{
	work.UnknownAdapter: true, work.KeyReused: true, work.KeyRunning: true, work.KeyInDoubt: true, work.KeyExpired: true,
	work.Canceled: true,
}

// watch measures the service level of one request.
type watch struct {
	meter     *metric.Meter
	workspace ident.Workspace
	model     bool // a model request, not a call of a plain service
	stream    bool
	begun     time.Time
	last      time.Time
	chunks    int
}

func newWatch(m *metric.Meter, r work.Request, call relay.Call) *watch {
	return &watch{meter: m, workspace: r.Workspace, model: r.Service == "", stream: call.Stream, begun: time.Now()}
}

// chunk takes the next piece of the answer, or the refusal in its place.
func (w *watch) chunk(c relay.Chunk) {
	if c.Refusal != nil {
		w.refused(*c.Refusal)
		return
	}
	if w.chunks == 0 {
		w.first(c)
	} else if w.model && w.stream && !c.End {
		w.event(burn.TokenGap, c.Received.Sub(w.last), causeEndpoint)
	}
	w.chunks++
	w.last = c.Received
	if c.End {
		w.meter.Count("shallotgap_requests_total", "outcome", "answered", "reason", "")
		w.event(burn.Answered, 0, "")
	}
}

// first measures the load stall and the first token.
func (w *watch) first(c relay.Chunk) {
	if !w.model || c.Waited == nil {
		return
	}
	w.event(burn.LoadStall, c.Waited.Stall, burn.Cause(c.Waited.Cause))
	if w.stream {
		took := c.Received.Sub(w.begun)
		w.event(burn.FirstToken, took, firstCause(took, *c.Waited))
	}
}

// firstCause returns what took most of the time to the first token.
func firstCause(took time.Duration, waited work.Waited) burn.Cause {
	queue, rest := waited.Queue-waited.Stall, took-waited.Queue
	switch max(waited.Stall, queue, rest) {
	case waited.Stall:
		return burn.Cause(waited.Cause)
	case queue:
		return causeQueue
	default:
		return causeEndpoint
	}
}

func (w *watch) refused(r work.Refusal) {
	if r.Record != nil && r.Record.State == claim.Done {
		w.meter.Count("shallotgap_requests_total", "outcome", "replayed", "reason", "")
		return
	}
	w.meter.Count("shallotgap_requests_total", "outcome", string(r.Outcome), "reason", string(r.Reason))
	if r.Record != nil || callersOwn[r.Reason] {
		return
	}
	if w.model && w.chunks == 0 && r.Waited != nil && r.Waited.Stall > 0 {
		e := burn.Event{Workspace: w.workspace, Objective: burn.LoadStall, Value: r.Waited.Stall, Failed: true, Cause: burn.Cause(r.Reason)}
		w.meter.CountEvent(e)
	}
	w.meter.CountEvent(burn.Event{Workspace: w.workspace, Objective: burn.Answered, Failed: true, Cause: burn.Cause(r.Reason)})
}

func (w *watch) event(o burn.Objective, d time.Duration, c burn.Cause) {
	w.meter.CountEvent(burn.Event{Workspace: w.workspace, Objective: o, Value: d, Cause: c})
}

// gone counts a request whose caller left before its answer; it spends no budget.
func (w *watch) gone() {
	w.meter.Count("shallotgap_requests_total", "outcome", "caller-gone", "reason", "")
}
