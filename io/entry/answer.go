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
	"shallotgap/io/relay"
	"shallotgap/io/texts"
)

// serve submits a request and writes its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req work.Request, call relay.Call) {
	w.Header().Set(RequestHeader, req.ID.String())
	x := s.host.Submit(req, call)
	defer s.host.Finish(x)
	s.answer(w, r, x, req.TimeLeft+answerGrace, newWatch(s.host.Meter, req, call))
}

// answerGrace is the time after a request's deadline in which its owner's word may still come.
const answerGrace = time.Second

// noWord is the final answer to a request of whose owner nothing was heard in time.
func noWord(id ident.RequestID) relay.Chunk {
	r := work.Refusal{Outcome: work.InDoubt, Reason: work.Late, Step: "answer", RetryAfter: world.DefaultRetryAfter}
	return relay.Chunk{ID: id, Refusal: &r}
}

// answer writes chunks as they come, and tells level of each.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, x *relay.Exchange, limit time.Duration, level *watch) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	control := http.NewResponseController(w)
	started := false
	for {
		select {
		case <-r.Context().Done():
			level.gone()
			return
		case <-timer.C:
			last := noWord(x.ID)
			level.chunk(last)
			refuse(w, *last.Refusal, started)
			return
		case c := <-x.Chunks:
			level.chunk(c)
			if c.Refusal != nil {
				refuse(w, *c.Refusal, started)
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

var statuses = map[work.Reason]int{
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

// refuse writes the final answer to a request without one. Within a stream it is an error event, and the
// connection is cut, so that the part cannot pass for the whole.
func refuse(w http.ResponseWriter, r work.Refusal, started bool) {
	if r.Record != nil && r.Record.State == claim.Done && !started {
		replay(w, *r.Record)
		return
	}
	status, ok := statuses[r.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if !started {
		problem(w, status, r)
		return
	}
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	_ = json.NewEncoder(&event).Encode(newProblem(status, r))
	event.WriteString("\n")
	_, _ = w.Write(event.Bytes())
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func title(r work.Reason) string { return texts.ReasonTitles[r] }
