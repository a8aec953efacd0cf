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

// Causes of slow answers other than rejections and load stalls.
const (
	causeQueue    = burn.Cause("queue")    // wait for a free place in the endpoint's batch
	causeEndpoint = burn.Cause("endpoint") // the endpoint itself and the links to it
)

// callerErrors are the reasons of rejections that the caller caused. Such rejections spend no error budget.
var callerErrors = map[work.Reason]bool{
	work.UnknownAdapter: true, work.KeyReused: true, work.KeyRunning: true, work.KeyInDoubt: true, work.KeyExpired: true,
	work.Canceled: true,
}

// sloRecorder records one request for the service-level objectives.
type sloRecorder struct {
	meter     *metric.Meter
	workspace ident.Workspace
	model     bool // a model request, not a call of a plain service
	stream    bool
	start     time.Time
	lastChunk time.Time
	chunks    int
}

func newSLORecorder(m *metric.Meter, r work.Request, call relay.Call) *sloRecorder {
	return &sloRecorder{meter: m, workspace: r.Workspace, model: r.Service == "", stream: call.Stream, start: time.Now()}
}

// chunk records the next chunk of the answer, or the rejection that the chunk carries.
func (s *sloRecorder) chunk(c relay.Chunk) {
	if c.Refusal != nil {
		s.rejected(*c.Refusal)
		return
	}
	if s.chunks == 0 {
		s.firstChunk(c)
	} else if s.model && s.stream && !c.End {
		s.record(burn.TokenGap, c.Received.Sub(s.lastChunk), causeEndpoint)
	}
	s.chunks++
	s.lastChunk = c.Received
	if c.End {
		s.meter.Count("shallotgap_requests_total", "outcome", "answered", "reason", "")
		s.record(burn.Answered, 0, "")
	}
}

// firstChunk records the load stall and, for a stream, the time to the first token.
func (s *sloRecorder) firstChunk(c relay.Chunk) {
	if !s.model || c.Waited == nil {
		return
	}
	s.record(burn.LoadStall, c.Waited.Stall, burn.Cause(c.Waited.Cause))
	if s.stream {
		took := c.Received.Sub(s.start)
		s.record(burn.FirstToken, took, firstTokenCause(took, *c.Waited))
	}
}

// firstTokenCause returns the longest part of the time to the first token: the load stall, the queue or the endpoint.
func firstTokenCause(took time.Duration, waited work.Waited) burn.Cause {
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

// rejected counts a rejection, which spends error budget unless the caller caused it. A rejection with the stored
// answer of an earlier request counts as replayed.
func (s *sloRecorder) rejected(r work.Refusal) {
	if r.Record != nil && r.Record.State == claim.Done {
		s.meter.Count("shallotgap_requests_total", "outcome", "replayed", "reason", "")
		return
	}
	s.meter.Count("shallotgap_requests_total", "outcome", string(r.Outcome), "reason", string(r.Reason))
	if r.Record != nil || callerErrors[r.Reason] {
		return
	}
	if s.model && s.chunks == 0 && r.Waited != nil && r.Waited.Stall > 0 {
		e := burn.Event{Workspace: s.workspace, Objective: burn.LoadStall, Value: r.Waited.Stall, Failed: true, Cause: burn.Cause(r.Reason)}
		s.meter.CountEvent(e)
	}
	s.meter.CountEvent(burn.Event{Workspace: s.workspace, Objective: burn.Answered, Failed: true, Cause: burn.Cause(r.Reason)})
}

// record passes a duration that was measured for an objective to the meter.
func (s *sloRecorder) record(o burn.Objective, d time.Duration, c burn.Cause) {
	s.meter.CountEvent(burn.Event{Workspace: s.workspace, Objective: o, Value: d, Cause: c})
}

// callerGone counts a request whose caller disconnected before the end of the answer; it spends no error budget.
func (s *sloRecorder) callerGone() {
	s.meter.Count("shallotgap_requests_total", "outcome", "caller-gone", "reason", "")
}
