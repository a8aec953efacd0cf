// Package stand has stand-ins for the external services that shallotgap calls: a model engine, a plain service and the
// weight store. Faults can be injected into the engine and the plain service.
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

// EngineConfig configures a model engine; its fields are command-line flags.
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

// Engine imitates a model engine with continuous batching: in each step every running request gets one token.
type Engine struct {
	EngineConfig
	FaultInjector
	drainState
	runCounter
	engineMu          sync.Mutex      // guards the fields below
	instance          uint64          // changes with each restart
	highestFence      uint64          // highest fencing token of any request or order
	runningPerAdapter map[string]int  // the loaded adapters, each with its number of running requests
	loading           map[string]bool // adapters whose load is running
	running           []*sequence     // the batch
	wake              chan struct{}   // signals that the batch is no longer empty
	// evictedUnder counts unload orders for adapters that were serving a request.
	evictedUnder int
}

// sequence is a running request.
type sequence struct {
	model      string
	remaining  int             // tokens still to generate
	tokens     chan int        // generated tokens, closed after the last one
	callerGone <-chan struct{} // closed when the caller disconnects
	// broken is set when the request ends early: the engine restarted or the caller disconnected.
	broken atomic.Bool
}

// NewEngine returns an engine without adapters and starts its batch loop, which runs until the context ends.
func NewEngine(ctx context.Context, c EngineConfig) *Engine {
	e := &Engine{EngineConfig: c, wake: make(chan struct{}, 1)}
	e.Restart()
	go e.runBatch(ctx)
	return e
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", e.setFaults)
	mux.HandleFunc("GET /state", e.state)
	mux.HandleFunc("GET /counts", e.serveCounts)
	mux.HandleFunc("GET /v1/models", e.state)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	return e.counted(mux)
}

// Announcement returns the engine's announcement; url is the address at which the engine is reached.
func (e *Engine) Announcement(url string) Announcement {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return Announcement{
		ID: e.ID, Kind: "engine", URL: url, Domain: e.Domain, Service: e.Model,
		Slots: e.Slots, MaxRunning: e.Batch, Instance: e.instance, ChecksFence: !e.Unfenced,
		Leaving: e.isLeaving(), EchoesID: !e.Mute, Token: e.Token, Limit: e.Faults().AnnouncedLimit,
	}
}

// Restart imitates a crash and restart: the instance number changes, all adapters are gone and running requests fail.
func (e *Engine) Restart() {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.instance = uint64(time.Now().UnixNano())
	e.runningPerAdapter = map[string]int{}
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

// checkFence rejects a request whose fencing token is older than the highest one seen, unless the engine ignores tokens.
// It reports whether the request may continue.
func (e *Engine) checkFence(w http.ResponseWriter, r *http.Request) bool {
	fence, _ := strconv.ParseUint(r.Header.Get("Shallotgap-Fence"), 10, 64)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if fence >= e.highestFence || e.Unfenced || e.Faults().IgnoreFence {
		e.highestFence = max(e.highestFence, fence)
		return true
	}
	http.Error(w, fmt.Sprintf("fencing number %d is older than %d", fence, e.highestFence), http.StatusPreconditionFailed)
	return false
}

// runBatch runs one step after another until the context ends, and sleeps while the batch is empty.
func (e *Engine) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		size := e.step()
		if size > 0 {
			time.Sleep(e.StepTime + time.Duration(size)*e.StepPer)
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		}
	}
}

// step gives every running request one token and returns the size of the batch before the step. A frozen engine generates
// no tokens.
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

// advance gives a request one token and reports whether more are due. A request whose caller has disconnected ends.
func (e *Engine) advance(s *sequence) bool {
	select {
	case <-s.callerGone:
		s.remaining = 0
	case s.tokens <- s.remaining:
		s.remaining--
	default:
	}
	if s.remaining > 0 {
		return true
	}
	close(s.tokens)
	e.runningPerAdapter[s.model]--
	return false
}
