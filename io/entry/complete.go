package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/relay"
	"shallotgap/io/texts"
)

// prefixBytes is how much of a prompt decides on the prefix for routing.
const prefixBytes = 256

func title(r work.Reason) string { return texts.Titles[r] }

// completion is what the system reads of an OpenAI-compatible body; the engine gets the body as it came.
type completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// complete serves POST /v1/completions and /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		badRequest(w, "bad-json")
		return
	}
	model, err := ident.ParseModel(c.Model)
	if err != nil {
		badRequest(w, "bad-model")
		return
	}
	req, err := s.newRequest(r, body)
	if err != nil {
		reject(w, work.Reason(err.Error()))
		return
	}
	req.Model = model
	req.Tokens = c.MaxTokens
	req.Prefix = prefixOf(c)
	s.serve(w, r, req, relay.Call{Method: r.Method, Path: r.URL.Path, ContentType: "application/json", Body: body, Stream: c.Stream})
}

func prefixOf(c completion) uint64 {
	text := append(append([]byte{}, c.Prompt...), c.Messages...)
	if len(text) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(text[:min(len(text), prefixBytes)])
	return h.Sum64()
}

// service serves /services/NAME/...
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	req, err := s.newRequest(r, body)
	if err != nil {
		reject(w, work.Reason(err.Error()))
		return
	}
	name := r.PathValue("name")
	req.Service = ident.Service(name)
	path := r.URL.RequestURI()[len("/services/"+name):]
	s.serve(w, r, req, relay.Call{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body})
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		problem(w, http.StatusRequestEntityTooLarge, work.Refusal{Outcome: work.NotRun, Reason: "too-large", Step: "admit"})
		return nil, false
	}
	if err != nil {
		badRequest(w, "bad-body")
		return nil, false
	}
	return body, true
}

// reject answers a request whose headers are wrong.
func reject(w http.ResponseWriter, reason work.Reason) {
	if reason == work.KeyExpired {
		problem(w, statuses[reason], work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "admit"})
		return
	}
	badRequest(w, reason)
}

func badRequest(w http.ResponseWriter, reason work.Reason) {
	problem(w, http.StatusBadRequest, work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "admit"})
}

var urgencies = map[string]work.Urgency{"": work.Normal, "bulk": work.Bulk, "normal": work.Normal, "urgent": work.Urgent}

// newRequest reads the headers that all kinds of requests share.
func (s *Server) newRequest(r *http.Request, body []byte) (work.Request, error) {
	req := work.Request{ID: s.host.NextID(), Workspace: s.workspace(r), Left: defaultTimeout}
	urgency, ok := urgencies[r.Header.Get(UrgencyHeader)]
	if !ok {
		return req, errors.New("bad-urgency")
	}
	req.Urgency = urgency
	if text := r.Header.Get(TimeoutHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxTimeout {
			return req, errors.New("bad-timeout")
		}
		req.Left = d
	}
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKey {
		return req, errors.New("bad-key")
	}
	req.Key = ident.Key(key)
	if err := readDeadline(r, &req, time.Now()); err != nil {
		return req, err
	}
	if req.Once() {
		req.Digest = digestOf(r, body)
	}
	return req, nil
}

// readDeadline takes the absolute deadline, which bounds the life of the key.
func readDeadline(r *http.Request, req *work.Request, now time.Time) error {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return nil
	}
	end, err := time.Parse(time.RFC3339, text)
	if err != nil || end.After(now.Add(maxKeyLife)) {
		return errors.New("bad-deadline")
	}
	if !end.After(now) {
		return errors.New(string(work.KeyExpired))
	}
	req.KeyEnds = end.Unix()
	req.Left = min(req.Left, end.Sub(now))
	return nil
}

func digestOf(r *http.Request, body []byte) claim.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.RequestURI()+"\n"+r.Header.Get(DeadlineHeader)+"\n")
	_, _ = h.Write(body)
	return claim.Digest(h.Sum(nil))
}

// serve submits a request and writes its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req work.Request, call relay.Call) {
	w.Header().Set(RequestHeader, req.ID.String())
	x := s.host.Submit(req, call)
	defer s.host.Finish(x)
	s.answer(w, r, x, req.Left+answerGrace, newWatch(s.host.Meter, req, call))
}

// answerGrace is the time after a request's deadline in which its owner's word may still come.
const answerGrace = time.Second

// noWord is the final answer to a request of whose owner nothing was heard in time.
func noWord(id ident.RequestID) relay.Chunk {
	r := work.Refusal{Outcome: work.InDoubt, Reason: work.Late, Step: "answer", RetryAfter: world.RetryLater}
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
	_ = json.NewEncoder(&event).Encode(problemBody{Type: "about:blank", Title: title(r.Reason), Status: status, Refusal: r})
	event.WriteString("\n")
	_, _ = w.Write(event.Bytes())
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// ReplayHeader marks the stored answer of a request that ran before: "true", or "state-only" when the answer was too
// large to store and the body is the KeyStatus.
const ReplayHeader = "Shallotgap-Replay"

func replay(w http.ResponseWriter, rec claim.Record) {
	w.Header().Set(ReplayHeader, "true")
	if rec.Answer == nil {
		w.Header().Set(ReplayHeader, "state-only")
		writeJSON(w, http.StatusOK, statusOf(world.Asked{Record: &rec}))
		return
	}
	w.Header().Set("Content-Type", rec.Answer.ContentType)
	w.WriteHeader(rec.Answer.Status)
	_, _ = w.Write(rec.Answer.Body)
}

// KeyStatus is the answer to GET /v1/requests/KEY.
type KeyStatus struct {
	Key     ident.Key   `json:"key"`
	State   claim.State `json:"state"`
	Request string      `json:"request,omitempty"`
	Status  int         `json:"status,omitempty"`
	Answer  []byte      `json:"answer,omitempty"`
	Index   ident.Index `json:"index"`
}

// Unknown is the state of a key that no committed claim bears: its request has not run.
const Unknown = claim.State("unknown")

func statusOf(a world.Asked) KeyStatus {
	if a.Record == nil {
		return KeyStatus{State: Unknown, Index: a.Index}
	}
	st := KeyStatus{Key: a.Record.Key, State: a.Record.State, Request: a.Record.Request.String(), Index: a.Index}
	if a.Record.Answer != nil {
		st.Status = a.Record.Answer.Status
		st.Answer = a.Record.Answer.Body
	}
	return st
}

// request serves GET /v1/requests/KEY.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	key := ident.Key(r.PathValue("key"))
	a, err := s.host.Record(r.Context(), claim.Name{Workspace: s.workspace(r), Key: key})
	if err != nil {
		problem(w, http.StatusServiceUnavailable, work.Refusal{Outcome: work.NotRun, Reason: work.NoQuorum, Step: "status", RetryAfter: world.RetryLater})
		return
	}
	st := statusOf(a)
	st.Key = key
	writeJSON(w, http.StatusOK, st)
}
