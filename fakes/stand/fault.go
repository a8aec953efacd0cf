package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches of a stand-in, set by POST /faults. Counts say how often a fault still strikes.
type Faults struct {
	FailLoads   int  `json:"fail-loads"`
	WrongModel  int  `json:"wrong-model"`
	ReadClose   int  `json:"read-close"`   // read the request, run it, close without an answer
	DropClose   int  `json:"drop-close"`   // read the request, close without running it
	Crossed     int  `json:"crossed"`      // name another request in the answer
	Truncate    int  `json:"truncate"`     // break off in the middle of the answer
	LateMS      int  `json:"late-ms"`      // added to every answer
	Frozen      bool `json:"frozen"`       // answer nothing
	IgnoreFence bool `json:"ignore-fence"` // carry out orders with old fencing numbers
	RestartNext bool `json:"restart"`      // restart empty, once
}

// Switches guards the faults of one stand-in.
type Switches struct {
	mu sync.Mutex
	f  Faults
}

// ServeFaults handles POST /faults.
func (s *Switches) ServeFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// SetFaults replaces the faults.
func (s *Switches) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

// take uses up one strike of the fault that pick selects.
func (s *Switches) take(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := pick(&s.f)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Faults returns the current faults.
func (s *Switches) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f
}

// pause delays as the faults say; a frozen stand-in answers nothing until it is thawed or the caller goes.
func (s *Switches) pause(r *http.Request) {
	time.Sleep(time.Duration(s.Faults().LateMS) * time.Millisecond)
	for s.Faults().Frozen && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// hangUp cuts the connection without an answer.
func hangUp() { panic(http.ErrAbortHandler) }
