package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"
)

// defaultTokens is the length of an answer in tokens when the request sets no max_tokens.
const defaultTokens = 16

// completionRequest holds the fields of a completion request that the engine uses.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// id is the id of the answer, from answerID.
	id string
}

// completionBody is the JSON of a whole answer or of one event of a streamed answer.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// choice is the generated text in a completionBody.
type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// complete handles a completion request: it adds the request to the batch and answers with the generated tokens.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.checkFence(w, r) {
		return
	}
	e.injectDelay(r)
	s := e.addToBatch(c, r.Context().Done())
	if s == nil {
		http.Error(w, "adapter not loaded: "+c.Model, http.StatusNotFound)
		return
	}
	e.countRun(r.Header.Get("Idempotency-Key"))
	if e.crashesOn(body) {
		e.Restart()
		abortConnection()
	}
	c.id = e.answerID(r)
	if e.consume(func(f *Faults) *int { return &f.WrongModel }) {
		c.Model = "wrong@v0"
	}
	if c.Stream {
		e.writeStream(w, c, s)
		return
	}
	e.writeWhole(w, c, s)
}

// addToBatch adds a request to the batch, or returns nil if its adapter is not loaded. callerGone is closed when the
// caller disconnects.
func (e *Engine) addToBatch(c completionRequest, callerGone <-chan struct{}) *sequence {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if _, loaded := e.runningPerAdapter[c.Model]; !loaded {
		return nil
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	s := &sequence{model: c.Model, remaining: c.MaxTokens, tokens: make(chan int, c.MaxTokens), callerGone: callerGone}
	e.runningPerAdapter[c.Model]++
	e.running = append(e.running, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// answerID returns the id of an answer: it echoes X-Request-Id, unless Mute is set or the fault Crossed applies.
func (e *Engine) answerID(r *http.Request) string {
	if e.consume(func(f *Faults) *int { return &f.Crossed }) {
		return "cmpl-of-another-request"
	}
	if e.Mute {
		return "cmpl-" + e.ID
	}
	return "cmpl-" + r.Header.Get("X-Request-Id")
}

func (e *Engine) newCompletionBody(c completionRequest, text string) completionBody {
	return completionBody{ID: c.id, Object: "text_completion", Model: c.Model, Choices: []choice{{Text: text}}}
}

// receiveTokens yields the tokens until the sequence ends or breaks. It also ends when the caller disconnects, since a
// frozen engine runs no step that would end the sequence.
func (s *sequence) receiveTokens() iter.Seq[int] {
	return func(yield func(int) bool) {
		for {
			select {
			case n, ok := <-s.tokens:
				if !ok || !yield(n) {
					return
				}
			case <-s.callerGone:
				s.broken.Store(true)
				return
			}
		}
	}
}

// writeWhole sends all tokens in one JSON answer when the request has ended.
func (e *Engine) writeWhole(w http.ResponseWriter, c completionRequest, s *sequence) {
	var text strings.Builder
	for n := range s.receiveTokens() {
		_, _ = fmt.Fprintf(&text, "t%d ", n)
	}
	if s.broken.Load() || e.consume(func(f *Faults) *int { return &f.ReadClose }) {
		abortConnection()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.newCompletionBody(c, text.String()))
}

// writeStream sends each token as a server-sent event as soon as it is generated, and [DONE] at the end.
func (e *Engine) writeStream(w http.ResponseWriter, c completionRequest, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	truncate := e.consume(func(f *Faults) *int { return &f.Truncate })
	for n := range s.receiveTokens() {
		data, err := json.Marshal(e.newCompletionBody(c, fmt.Sprintf("t%d ", n)))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = http.NewResponseController(w).Flush()
		if truncate {
			abortConnection()
		}
	}
	if s.broken.Load() {
		abortConnection()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
