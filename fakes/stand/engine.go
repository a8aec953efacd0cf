// Package stand holds the stand-ins for what lies outside the system: a model engine, a plain service and the
// weight store, each with a fault switch.
package stand

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// EngineConfig is what a model engine is made from.
type EngineConfig struct {
	ID       string        `required:"" help:"Name of this replica."`
	Model    string        `default:"base" help:"Base model."`
	Domain   string        `required:"" help:"Failure domain."`
	Store    string        `required:"" help:"Address of the weight store."`
	Slots    int           `default:"4" help:"Adapters held at once."`
	Batch    int           `default:"16" help:"Largest batch."`
	StepTime time.Duration `default:"10ms" help:"Time of one step with an empty batch."`
	StepPer  time.Duration `default:"500us" help:"Added to a step by each request in the batch."`
	Unfenced bool          `help:"Ignore fencing numbers, and say so."`
	Token    string        `help:"Token to announce with."`
	Mute     bool          `help:"Do not echo X-Request-Id in the id of answers, and say so."`
}

// Engine batches continuously: in each step every running request gets one token.
type Engine struct {
	EngineConfig
	Switches
	leaver
	runs
	engineMu sync.Mutex
	instance uint64
	fence    uint64
	slots    map[string]int // running requests of each adapter
	loading  map[string]bool
	running  []*sequence
	wake     chan struct{}
	// evictedUnder counts orders to evict an adapter that was serving a request.
	evictedUnder int
}

// sequence is one running request.
type sequence struct {
	model  string
	left   int
	tokens chan int
	gone   <-chan struct{}
	// broken is set when the engine restarted under the request.
	broken atomic.Bool
}

// NewEngine returns an empty engine that runs its batch until the context ends.
func NewEngine(ctx context.Context, c EngineConfig) *Engine {
	e := &Engine{EngineConfig: c, wake: make(chan struct{}, 1)}
	e.Restart()
	go e.steps(ctx)
	return e
}

// Handler returns the engine's HTTP side.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", e.setFaults)
	mux.HandleFunc("GET /state", e.state)
	mux.HandleFunc("GET /counts", e.list)
	mux.HandleFunc("GET /v1/models", e.state)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	return mux
}

// Announcement returns what the engine says of itself when it is reached at url.
func (e *Engine) Announcement(url string) Announcement {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return Announcement{
		ID: e.ID, Kind: "engine", URL: url, Domain: e.Domain, Service: e.Model,
		Slots: e.Slots, MaxRunning: e.Batch, Instance: e.instance, ChecksFence: !e.Unfenced, Leaving: e.leaves(), EchoesID: !e.Mute, Token: e.Token,
	}
}

// Restart empties the engine, as a crash does.
func (e *Engine) Restart() {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.instance = uint64(time.Now().UnixNano())
	e.slots = map[string]int{}
	e.loading = map[string]bool{}
	for _, s := range e.running {
		s.broken.Store(true)
		close(s.tokens)
	}
	e.running = nil
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	e.ServeFaults(w, r)
	if e.Faults().RestartNext {
		e.Restart()
	}
}

// checkFence refuses a request with an old fencing number, unless told to ignore them.
func (e *Engine) checkFence(w http.ResponseWriter, r *http.Request) bool {
	n, _ := strconv.ParseUint(r.Header.Get("Shallotgap-Fence"), 10, 64)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if n >= e.fence || e.Unfenced || e.Faults().IgnoreFence {
		e.fence = max(e.fence, n)
		return true
	}
	http.Error(w, fmt.Sprintf("fencing number %d is older than %d", n, e.fence), http.StatusPreconditionFailed)
	return false
}

// steps runs the batch until the context ends.
func (e *Engine) steps(ctx context.Context) {
	for ctx.Err() == nil {
		n := e.step()
		if n > 0 {
			time.Sleep(e.StepTime + time.Duration(n)*e.StepPer)
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		}
	}
}

// step gives every running request one token and returns the size of the batch.
func (e *Engine) step() int {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.Faults().Frozen {
		return len(e.running)
	}
	size := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return !e.advance(s) })
	return size
}

// advance gives a request a token and reports whether it goes on.
func (e *Engine) advance(s *sequence) bool {
	select {
	case <-s.gone:
		s.left = 0
	case s.tokens <- s.left:
		s.left--
	default:
	}
	if s.left > 0 {
		return true
	}
	close(s.tokens)
	e.slots[s.model]--
	return false
}
