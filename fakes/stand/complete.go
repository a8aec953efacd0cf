package stand

import (
	"encoding/json"
	"fmt"
	"iter"
	"net/http"
	"strings"
)

// defaultTokens are generated where a request states no number.
const defaultTokens = 16

// completion is what the engine reads of a request.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// id is the X-Request-Id that the answer echoes.
	id string
}

// piece is an answer, or one event of a streamed answer.
type piece struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// complete runs a request in the batch.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.checkFence(w, r) {
		return
	}
	e.pause(r)
	s := e.start(c, r.Context().Done())
	if s == nil {
		http.Error(w, "adapter not loaded: "+c.Model, http.StatusNotFound)
		return
	}
	e.run(r.Header.Get("Idempotency-Key"))
	c.id = e.answerID(r)
	if e.take(func(f *Faults) *int { return &f.WrongModel }) {
		c.Model = "wrong@v0"
	}
	if c.Stream {
		e.stream(w, c, s)
		return
	}
	e.whole(w, c, s)
}

// start puts a request in the batch, or returns nil when its adapter is not loaded.
func (e *Engine) start(c completion, gone <-chan struct{}) *sequence {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if _, held := e.slots[c.Model]; !held {
		return nil
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	s := &sequence{model: c.Model, left: c.MaxTokens, tokens: make(chan int, c.MaxTokens), gone: gone}
	e.slots[c.Model]++
	e.running = append(e.running, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// answerID returns the id of an answer; a crossed one bears that of another request.
func (e *Engine) answerID(r *http.Request) string {
	if e.take(func(f *Faults) *int { return &f.Crossed }) {
		return "cmpl-of-another-request"
	}
	if e.Mute {
		return "cmpl-" + e.ID
	}
	return "cmpl-" + r.Header.Get("X-Request-Id")
}

func (e *Engine) piece(c completion, text string) piece {
	return piece{ID: c.id, Object: "text_completion", Model: c.Model, Choices: []choice{{Text: text}}}
}

// all yields the tokens until the sequence ends, breaks or its caller goes, also when no step runs any more.
func (s *sequence) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		for {
			select {
			case n, ok := <-s.tokens:
				if !ok || !yield(n) {
					return
				}
			case <-s.gone:
				s.broken.Store(true)
				return
			}
		}
	}
}

func (e *Engine) whole(w http.ResponseWriter, c completion, s *sequence) {
	var text strings.Builder
	for n := range s.all() {
		_, _ = fmt.Fprintf(&text, "t%d ", n)
	}
	if s.broken.Load() || e.take(func(f *Faults) *int { return &f.ReadClose }) {
		hangUp()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.piece(c, text.String()))
}

func (e *Engine) stream(w http.ResponseWriter, c completion, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	truncate := e.take(func(f *Faults) *int { return &f.Truncate })
	for n := range s.all() {
		data, err := json.Marshal(e.piece(c, fmt.Sprintf("t%d ", n)))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = http.NewResponseController(w).Flush()
		if truncate {
			hangUp()
		}
	}
	if s.broken.Load() {
		hangUp()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
