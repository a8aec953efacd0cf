package stand

import (
	"net/http"
	"sync"
	"time"
)

// StoreConfig is what a weight store is made from.
type StoreConfig struct {
	Rate     float64       `default:"2" help:"Loads a second; more are refused with 429."`
	InFlight int           `default:"8" help:"Loads at once that take the plain time."`
	Time     time.Duration `default:"250ms" help:"Time of one load."`
}

// Store limits loads by a token bucket and slows them down beyond its loads in flight.
type Store struct {
	StoreConfig
	mu     sync.Mutex
	flying int
	tokens float64
	filled time.Time
}

// NewStore returns a store.
func NewStore(c StoreConfig) *Store {
	return &Store{StoreConfig: c, tokens: 1, filled: time.Now()}
}

// Handler returns the store's HTTP side.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /adapters/{name}/{version}", s.load)
	return mux
}

func (s *Store) load(w http.ResponseWriter, _ *http.Request) {
	if !s.admit() {
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	time.Sleep(s.enter())
	s.leave()
	w.WriteHeader(http.StatusOK)
}

// slack lets a load in that comes slightly before its token, as the network shifts arrivals.
const slack = 0.2

func (s *Store) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(max(1, s.Rate), s.tokens+now.Sub(s.filled).Seconds()*s.Rate)
	s.filled = now
	if s.tokens < 1-slack {
		return false
	}
	s.tokens--
	return true
}

// enter counts a load and returns how long it takes: proportionally longer beyond the loads in flight.
func (s *Store) enter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying++
	return s.Time * time.Duration(max(s.flying, s.InFlight)) / time.Duration(s.InFlight)
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying--
}
