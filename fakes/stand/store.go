package stand

import (
	"net/http"
	"sync"
	"time"
)

// StoreConfig configures a weight store; its fields are command-line flags.
type StoreConfig struct {
	Rate     float64       `default:"2" help:"Loads a second; more are refused with 429."`
	InFlight int           `default:"8" help:"Loads at once that take the plain time."`
	Time     time.Duration `default:"250ms" help:"Time of one load."`
}

// Store imitates the weight store, from which engines load adapters: a token bucket limits the rate of loads, and loads
// slow down when more than InFlight run.
type Store struct {
	StoreConfig
	mu          sync.Mutex
	activeLoads int       // number of running loads
	tokens      float64   // available tokens of the bucket; a load takes one
	lastRefill  time.Time // when tokens was last updated
}

// NewStore returns a store without running loads; one load can start at once.
func NewStore(c StoreConfig) *Store {
	return &Store{StoreConfig: c, tokens: 1, lastRefill: time.Now()}
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /adapters/{name}/{version}", s.load)
	return mux
}

// load handles GET /adapters/{name}/{version}: it answers with 200 after the time of a load, or with 429 if the rate limit
// is exceeded.
func (s *Store) load(w http.ResponseWriter, _ *http.Request) {
	if !s.admit() {
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	time.Sleep(s.beginLoad())
	s.endLoad()
	w.WriteHeader(http.StatusOK)
}

// tokenSlack is the part of a token that may be missing when a load is admitted: the network shifts arrivals, so a load
// that was paced correctly can arrive slightly early.
const tokenSlack = 0.2

// admit takes a token for a load, or reports false if the rate limit is exceeded.
func (s *Store) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(max(1, s.Rate), s.tokens+now.Sub(s.lastRefill).Seconds()*s.Rate)
	s.lastRefill = now
	if s.tokens < 1-tokenSlack {
		return false
	}
	s.tokens--
	return true
}

// beginLoad counts a running load and returns its duration, which grows in proportion once more than InFlight loads run.
func (s *Store) beginLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads++
	return s.Time * time.Duration(max(s.activeLoads, s.InFlight)) / time.Duration(s.InFlight)
}

// endLoad ends the load that beginLoad counted.
func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads--
}
