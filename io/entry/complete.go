package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/io/relay"
)

// completion holds the fields that the host reads from an OpenAI-compatible body; the engine gets the body unchanged.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// Prompt and Messages identify the content of the request; one of them is set.
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// complete serves POST /v1/completions and /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		writeBadRequest(w, "bad-json")
		return
	}
	model, err := ident.ParseModel(c.Model)
	if err != nil {
		writeBadRequest(w, "bad-model")
		return
	}
	req, err := s.newRequest(r, body)
	if err != nil {
		writeHeaderError(w, work.Reason(err.Error()))
		return
	}
	req.Model = model
	req.Tokens = c.MaxTokens
	req.Parts = contentParts(append(c.Prompt, c.Messages...))
	s.serve(w, r, req, relay.Call{Method: r.Method, Path: r.URL.Path, ContentType: "application/json", Body: body, Stream: c.Stream})
}

// service serves /services/NAME/... by passing the rest of the path to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	req, err := s.newRequest(r, body)
	if err != nil {
		writeHeaderError(w, work.Reason(err.Error()))
		return
	}
	name := r.PathValue("name")
	req.Service = ident.Service(name)
	path := r.URL.RequestURI()[len("/services/"+name):]
	req.Parts = contentParts([]byte(r.Method+" "+path+"\n"), body)
	s.serve(w, r, req, relay.Call{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body})
}

// readBody reads the body of a request, limited in size and time. If it fails, it answers the request and returns
// false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, http.StatusRequestEntityTooLarge, work.Refusal{Outcome: work.NotRun, Reason: "too-large", Step: "admit"})
		return nil, false
	}
	if err != nil {
		writeBadRequest(w, "bad-body")
		return nil, false
	}
	return body, true
}

// writeHeaderError answers a request with an invalid header or an expired idempotency key.
func writeHeaderError(w http.ResponseWriter, reason work.Reason) {
	if reason == work.KeyExpired {
		writeProblem(w, statusByReason[reason], work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "admit"})
		return
	}
	writeBadRequest(w, reason)
}

func writeBadRequest(w http.ResponseWriter, reason work.Reason) {
	writeProblem(w, http.StatusBadRequest, work.Refusal{Outcome: work.NotRun, Reason: reason, Step: "admit"})
}
