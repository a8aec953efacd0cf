// Package drain holds the planned stops of hosts and endpoints.
package drain

import (
	"errors"
	"iter"

	"shallotgap/core/ident"
	"shallotgap/core/table"
)

// Target tells what is stopped.
type Target string

// The targets of a planned stop.
const (
	Host     Target = "host"
	Endpoint Target = "endpoint"
)

// Phase is how far a stop has come.
type Phase string

// The phases of a stop.
const (
	Planned  Phase = "planned"  // its time has not come
	Draining Phase = "draining" // no new work; running work ends
	Safe     Phase = "safe"     // nothing depends on the target any more: safe to stop
)

// StopID names a stop in the form "host/NAME" or "endpoint/NAME".
type StopID string

// IDOf returns the id of the stop of a target.
func IDOf(t Target, name string) StopID { return StopID(string(t) + "/" + name) }

// Stop is a planned stop.
type Stop struct {
	Target Target `json:"target"`
	Name   string `json:"name"`
	// At is the wall-clock second (Unix) at which the drain starts; 0 means at once.
	At    int64 `json:"at,omitempty"`
	Phase Phase `json:"phase"`
	// Waiting tells what the drain still waits for, for operators.
	Waiting string `json:"waiting,omitempty"`
}

// ID returns the stop's id.
func (s Stop) ID() StopID { return IDOf(s.Target, s.Name) }

// Mark plans a stop, or withdraws it.
type Mark struct {
	ID       ident.EditID `json:"id"`
	Target   Target       `json:"target"`
	Name     string       `json:"name"`
	At       int64        `json:"at,omitempty"`
	Withdraw bool         `json:"withdraw,omitempty"`
}

// Progress moves a stop on; the leader proposes it.
type Progress struct {
	Stop    StopID `json:"stop"`
	Phase   Phase  `json:"phase"`
	Waiting string `json:"waiting,omitempty"`
}

// Result is the answer to a Mark.
type Result struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Stop     *Stop  `json:"stop,omitempty"`
}

// Stops is the deterministic state machine of planned stops.
type Stops struct {
	stops *table.Table[StopID, Stop]
}

// NewStops returns an empty state.
func NewStops() *Stops { return &Stops{stops: table.New[StopID, Stop]()} }

// Get returns a stop and whether there is one.
func (s *Stops) Get(id StopID) (Stop, bool) { return s.stops.Get(id) }

// Stopping reports whether the target takes no new work because of a stop.
func (s *Stops) Stopping(t Target, name string) bool {
	stop, ok := s.stops.Get(IDOf(t, name))
	return ok && stop.Phase != Planned
}

// List returns all stops in order.
func (s *Stops) List() []Stop {
	list := make([]Stop, 0, s.stops.Len())
	for _, stop := range s.stops.All() {
		list = append(list, stop)
	}
	return list
}

// ErrUnknown is the reason for refusing to withdraw a stop that does not exist.
var ErrUnknown = errors.New("no such stop")

// Mark plans or withdraws a stop.
func (s *Stops) Mark(m Mark) Result {
	id := IDOf(m.Target, m.Name)
	old, exists := s.stops.Get(id)
	if m.Withdraw {
		if !exists {
			return Result{Reason: ErrUnknown.Error()}
		}
		s.stops.Delete(id)
		return Result{Accepted: true, Stop: &old}
	}
	if exists {
		return Result{Accepted: true, Stop: &old}
	}
	stop := Stop{Target: m.Target, Name: m.Name, At: m.At, Phase: Planned}
	s.stops.Put(id, stop)
	return Result{Accepted: true, Stop: &stop}
}

// Advance moves a stop on, if it still stands.
func (s *Stops) Advance(p Progress) {
	stop, ok := s.stops.Get(p.Stop)
	if !ok {
		return
	}
	stop.Phase = p.Phase
	stop.Waiting = p.Waiting
	s.stops.Put(p.Stop, stop)
}

// RestoreStops returns the state that List was taken from.
func RestoreStops(list []Stop) *Stops {
	s := NewStops()
	for _, stop := range list {
		s.stops.Put(stop.ID(), stop)
	}
	return s
}

// Phases iterates over the phases of all stops in order. The state must not change meanwhile.
func (s *Stops) Phases() iter.Seq2[StopID, Phase] {
	return func(yield func(StopID, Phase) bool) {
		for id, stop := range s.stops.All() {
			if !yield(id, stop.Phase) {
				return
			}
		}
	}
}
