package stand

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// PlainConfig configures a plain service; its fields are command-line flags.
type PlainConfig struct {
	ID      string `required:"" help:"Name of this replica."`
	Service string `required:"" help:"Name of the service."`
	Domain  string `required:"" help:"Failure domain."`
	Token   string `help:"Token to announce with."`
}

// Plain imitates a plain service. It counts the runs of each idempotency key.
type Plain struct {
	PlainConfig
	FaultInjector
	drainState
	runCounter
	instance atomic.Uint64
}

// runCounter counts the runs of each idempotency key.
type runCounter struct {
	countsMu sync.Mutex
	counts   map[string]int
}

// countRun counts one run of a key and returns the number of runs of the key, or 0 for a request without a key.
func (r *runCounter) countRun(key string) int {
	r.countsMu.Lock()
	defer r.countsMu.Unlock()
	if key == "" {
		return 0
	}
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[key]++
	return r.counts[key]
}

// Counts returns the number of runs of each idempotency key.
func (r *runCounter) Counts() map[string]int {
	r.countsMu.Lock()
	defer r.countsMu.Unlock()
	return maps.Clone(r.counts)
}

// serveCounts handles GET /counts: it answers with the number of runs of each idempotency key.
func (r *runCounter) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(r.Counts())
}

// NewPlain returns a plain service with all counts at zero.
func NewPlain(c PlainConfig) *Plain {
	s := &Plain{PlainConfig: c}
	s.restart()
	return s
}

// restart imitates a crash and restart: the instance number changes.
func (s *Plain) restart() { s.instance.Store(uint64(time.Now().UnixNano())) }

// plainMaxRunning is the number of concurrent requests that a plain service announces as its limit.
const plainMaxRunning = 16

// Announcement returns the service's announcement; url is the address at which the service is reached.
func (s *Plain) Announcement(url string) Announcement {
	return Announcement{
		ID: s.ID, Kind: "plain", URL: url, Domain: s.Domain, Service: s.Service,
		MaxRunning: plainMaxRunning, Instance: s.instance.Load(), Leaving: s.isLeaving(), Token: s.Token, Limit: s.Faults().AnnouncedLimit,
	}
}

// Handler returns the service's HTTP handler.
func (s *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.ServeFaults)
	mux.HandleFunc("GET /counts", s.serveCounts)
	mux.HandleFunc("/", s.call)
	return s.counted(mux)
}

// call handles a request: it counts a run of the idempotency key and answers with that count.
func (s *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.injectDelay(r)
	if s.consume(func(f *Faults) *int { return &f.DropClose }) {
		abortConnection()
	}
	key := r.Header.Get("Idempotency-Key")
	runs := s.countRun(key)
	if s.crashesOn(body) {
		s.restart()
		abortConnection()
	}
	if s.consume(func(f *Faults) *int { return &f.ReadClose }) {
		abortConnection()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"by": s.ID, "path": r.URL.Path, "key": key, "runs": runs, "bytes": len(body)})
}
