package stand

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the injected faults of a stand-in, set by POST /faults. Each number, except LateMS, counts the
// requests or orders to which the fault will still apply.
type Faults struct {
	FailLoads   int  `json:"fail-loads"`   // engine: answer a load order with an error
	WrongModel  int  `json:"wrong-model"`  // engine: name another model in the answer
	ReadClose   int  `json:"read-close"`   // run the request, close without an answer (an engine does so for unstreamed requests only)
	DropClose   int  `json:"drop-close"`   // plain service: read the request, close without running it
	Crossed     int  `json:"crossed"`      // engine: answer with the id of another request
	Truncate    int  `json:"truncate"`     // engine: close a streamed answer after its first token
	LateMS      int  `json:"late-ms"`      // delay of every answer, in milliseconds
	Frozen      bool `json:"frozen"`       // hold every request without an answer
	IgnoreFence bool `json:"ignore-fence"` // engine: accept requests and orders with old fencing tokens
	RestartNext bool `json:"restart"`      // restart the engine at each POST /faults while set
	// CrashOn is a text; the stand-in crashes and restarts when it begins to answer a request whose body holds it.
	CrashOn string `json:"crash-on"`
	// Limit is the number of requests a second that every answer names as the endpoint's limit; empty for none. AnnouncedLimit is
	// named in announcements.
	Limit          string  `json:"limit"`
	AnnouncedLimit float64 `json:"announced-limit"`
}

// FaultInjector holds and applies the injected faults of one stand-in. It is safe for concurrent use.
type FaultInjector struct {
	mu       sync.Mutex
	faults   Faults
	crashes  int
	arrivals []time.Time
}

// counted returns a handler that records the arrival of each request to h, and names the limit in the answers.
func (s *FaultInjector) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if r.URL.Path != "/faults" && r.URL.Path != "/counts" {
			s.arrivals = append(s.arrivals, time.Now())
		}
		limit := s.faults.Limit
		s.mu.Unlock()
		if limit != "" {
			w.Header().Set("Shallotgap-Rate-Limit", limit)
		}
		h.ServeHTTP(w, r)
	})
}

// Arrivals returns the times of all requests since a moment, orders and questions about the state included.
func (s *FaultInjector) Arrivals(since time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []time.Time
	for _, at := range s.arrivals {
		if at.After(since) {
			list = append(list, at)
		}
	}
	return list
}

// crashesOn reports whether the stand-in crashes with a request body, and counts the crash.
func (s *FaultInjector) crashesOn(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CrashOn == "" || !bytes.Contains(body, []byte(s.faults.CrashOn)) {
		return false
	}
	s.crashes++
	return true
}

// Crashes returns the number of crashes by Faults.CrashOn.
func (s *FaultInjector) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// ServeFaults handles POST /faults: it sets the faults in the body; faults that the body omits keep their values.
func (s *FaultInjector) ServeFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// SetFaults replaces all faults.
func (s *FaultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// consume decrements the counter of a fault that pick selects, and reports whether the fault applies to the
// current request.
func (s *FaultInjector) consume(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := pick(&s.faults)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// Faults returns the current faults.
func (s *FaultInjector) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// injectDelay waits for the injected delay. A frozen stand-in holds the request until it is unfrozen or the caller disconnects.
func (s *FaultInjector) injectDelay(r *http.Request) {
	time.Sleep(time.Duration(s.Faults().LateMS) * time.Millisecond)
	for s.Faults().Frozen && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// abortConnection closes the connection of the current request without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }
