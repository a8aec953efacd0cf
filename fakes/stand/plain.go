package stand

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// PlainConfig is what a plain service is made from.
type PlainConfig struct {
	ID      string `required:"" help:"Name of this replica."`
	Service string `required:"" help:"Name of the service."`
	Domain  string `required:"" help:"Failure domain."`
	Token   string `help:"Token to announce with."`
}

// Plain counts how often each key ran.
type Plain struct {
	PlainConfig
	Switches
	leaver
	runs
	instance uint64
}

// runs counts how often each key ran.
type runs struct {
	countsMu sync.Mutex
	counts   map[string]int
}

// run counts a run of a key and returns how often it has run.
func (c *runs) run(key string) int {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	if key == "" {
		return 0
	}
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[key]++
	return c.counts[key]
}

// Counts returns how often each key ran.
func (c *runs) Counts() map[string]int {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	return maps.Clone(c.counts)
}

// list answers with the number of runs of every key.
func (c *runs) list(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(c.Counts())
}

// NewPlain returns a service that has run nothing.
func NewPlain(c PlainConfig) *Plain {
	return &Plain{PlainConfig: c, instance: uint64(time.Now().UnixNano())}
}

// plainBatch is the number of calls that a plain service takes at once.
const plainBatch = 16

// Announcement returns what the service says of itself when it is reached at url.
func (s *Plain) Announcement(url string) Announcement {
	return Announcement{ID: s.ID, Kind: "plain", URL: url, Domain: s.Domain, Service: s.Service, MaxRunning: plainBatch, Instance: s.instance, Leaving: s.leaves(), Token: s.Token}
}

// Handler returns the service's HTTP side.
func (s *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.ServeFaults)
	mux.HandleFunc("GET /counts", s.list)
	mux.HandleFunc("/", s.call)
	return mux
}

// call runs the request, counting its key.
func (s *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.pause(r)
	if s.take(func(f *Faults) *int { return &f.DropClose }) {
		hangUp()
	}
	key := r.Header.Get("Idempotency-Key")
	runs := s.run(key)
	if s.take(func(f *Faults) *int { return &f.ReadClose }) {
		hangUp()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"by": s.ID, "path": r.URL.Path, "key": key, "runs": runs, "bytes": len(body)})
}
