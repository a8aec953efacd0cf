package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/abort"
	"shallotgap/io/relay"
	"shallotgap/io/texts"
)

// serve submits a request and writes its answer to the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req work.Request, call relay.Call) {
	w.Header().Set(RequestHeader, req.ID.String())
	x := s.host.Submit(req, call)
	defer s.host.Finish(x)
	s.writeAnswer(w, r, x, req.TimeLeft+answerGrace, newSLORecorder(s.host.Meter, req, call))
}

// answerGrace is how long after a request's deadline its outcome may still arrive from the host that owns the endpoint.
const answerGrace = time.Second

// inDoubtChunk returns the final answer to a request whose outcome did not arrive in time; the request may have run.
func inDoubtChunk(id ident.RequestID) relay.Chunk {
	r := work.Refusal{Outcome: work.InDoubt, Reason: work.Late, Step: "answer", RetryAfter: world.DefaultRetryAfter}
	return relay.Chunk{ID: id, Refusal: &r}
}

// stoppedChunk returns the final answer to a request that still runs when the host ends; the request may have run.
func stoppedChunk(id ident.RequestID) relay.Chunk {
	r := work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "stop", RetryAfter: world.DefaultRetryAfter}
	return relay.Chunk{ID: id, Refusal: &r}
}

// writeAnswer writes chunks to the caller as they arrive, and records each of them for the service-level objectives.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, x *relay.Exchange, limit time.Duration, slo *sloRecorder) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	control := http.NewResponseController(w)
	started := false
	for {
		select {
		case <-r.Context().Done():
			slo.callerGone()
			if started { // a caller that only closed its side must not take what it got for whole
				abort.Answer(w, r)
			}
			return
		case <-s.ending:
			c := stoppedChunk(x.ID)
			slo.chunk(c)
			writeRejection(w, r, *c.Refusal, started)
			return
		case <-timer.C:
			inDoubt := inDoubtChunk(x.ID)
			slo.chunk(inDoubt)
			writeRejection(w, r, *inDoubt.Refusal, started)
			return
		case c := <-x.Chunks:
			x.Taken(c)
			slo.chunk(*c)
			if c.Refusal != nil {
				writeRejection(w, r, *c.Refusal, started)
				return
			}
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if !started {
				w.Header().Set("Content-Type", c.ContentType)
				w.WriteHeader(c.Status)
				started = true
			}
			if _, err := w.Write(c.Data); err != nil {
				return
			}
			if c.End {
				return
			}
			if len(x.Chunks) == 0 {
				_ = control.Flush()
			}
		}
	}
}

// statusByReason holds the HTTP status for the reason of a rejection. A reason that is not listed gets 503 Service
// Unavailable.
var statusByReason = map[work.Reason]int{
	work.UnknownAdapter: http.StatusNotFound,
	work.KeyReused:      http.StatusUnprocessableEntity,
	work.KeyRunning:     http.StatusConflict,
	work.KeyInDoubt:     http.StatusConflict,
	work.KeyExpired:     http.StatusGone,
	work.WrongAnswer:    http.StatusBadGateway,
	work.Late:           http.StatusGatewayTimeout,
	work.Overload:       http.StatusTooManyRequests,
	work.EndpointFailed: http.StatusBadGateway,
	work.WrongModel:     http.StatusBadGateway,
	work.LinkLost:       http.StatusBadGateway,
}

// writeRejection writes a rejection, or the stored answer if an earlier request with the same idempotency key is done.
// Once a stream has started, it sends an error event and aborts the connection, so that the caller cannot take the
// partial answer for a complete one.
func writeRejection(w http.ResponseWriter, r *http.Request, refusal work.Refusal, started bool) {
	if refusal.Record != nil && refusal.Record.State == claim.Done && !started {
		writeStoredAnswer(w, *refusal.Record)
		return
	}
	status, ok := statusByReason[refusal.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if !started {
		writeProblem(w, status, refusal)
		return
	}
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	_ = json.NewEncoder(&event).Encode(newProblem(status, refusal))
	event.WriteString("\n")
	_, _ = w.Write(event.Bytes())
	_ = http.NewResponseController(w).Flush()
	abort.Answer(w, r)
}

func title(r work.Reason) string { return texts.ReasonTitles[r] }
