package drain

import (
	"errors"
	"iter"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/table"
)

// MaxResults is the number of marks whose first result is kept.
const MaxResults = 1000

// Stops is the replicated state machine of planned stops.
type Stops struct {
	stops   *table.Table[StopID, Stop]
	results *table.BoundedMap[ident.EditID, Result]
}

// NewStops returns a state without stops.
func NewStops() *Stops {
	return &Stops{stops: table.New[StopID, Stop](), results: table.NewBoundedMap[ident.EditID, Result](MaxResults)}
}

// Get returns the stop with an id, if there is one.
func (s *Stops) Get(id StopID) (Stop, bool) { return s.stops.Get(id) }

// Stopping reports whether the drain of a target has started or is complete. For an entry host, every stop
// that covers the host counts; for other targets, only a stop of that target itself.
func (s *Stops) Stopping(t Target, name string) bool {
	if t == Host {
		return s.HostStopping(ident.HostID(name))
	}
	stop, ok := s.stops.Get(IDOf(t, name))
	return ok && stop.Phase != Planned
}

// HostStopping reports whether the drain of an entry host has started or is complete.
func (s *Stops) HostStopping(h ident.HostID) bool {
	for _, stop := range s.stops.All() {
		if stop.Phase != Planned && stop.CoversHost(h) {
			return true
		}
	}
	return false
}

// EndpointStopping reports whether an endpoint gets no new requests, because a stop covers it or because it shuts down by itself.
func (s *Stops) EndpointStopping(e lease.Endpoint) bool {
	if e.Leaving {
		return true
	}
	for _, stop := range s.stops.All() {
		if stop.Phase != Planned && stop.CoversEndpoint(e) {
			return true
		}
	}
	return false
}

// List returns all stops in order of their ids.
func (s *Stops) List() []Stop {
	list := make([]Stop, 0, s.stops.Len())
	for _, stop := range s.stops.All() {
		list = append(list, stop)
	}
	return list
}

// ErrUnknown is the reason for rejecting the withdrawal of a stop that does not exist.
var ErrUnknown = errors.New("no such stop")

// Mark plans or withdraws a stop, unless a check rejects it. wall is the current wall-clock second (Unix).
func (s *Stops) Mark(m Mark, wall int64, owners *lease.Owners) Result {
	if first, ok := s.results.Get(m.ID); ok {
		return first
	}
	res := s.decide(m, wall, owners)
	if m.ID != "" {
		s.results.Put(m.ID, res)
	}
	return res
}

// decide carries out a mark that was not seen before. Planning a stop that exists returns that stop unchanged.
func (s *Stops) decide(m Mark, wall int64, owners *lease.Owners) Result {
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
	stop := Stop{Target: m.Target, Name: m.Name, At: m.At, Until: m.Until, Phase: Planned, Edit: m.ID}
	stop.Hosts = hostsOf(stop, m.Hosts)
	if err := s.check(stop, m.Hosts, wall, owners); err != nil {
		return Result{Reason: err.Error()}
	}
	s.stops.Put(id, stop)
	return Result{Accepted: true, Stop: &stop}
}

// Advance moves a stop to its next phase at log index i, unless the stop has changed since the step was proposed. A drain that
// fails the checks does not start: the stop stays planned, and Waiting holds the reason.
func (s *Stops) Advance(i ident.Index, p Progress, wall int64, owners *lease.Owners) {
	stop, ok := s.stops.Get(p.Stop)
	if !ok || stop.Edit != p.Edit || stop.Phase != p.From {
		return
	}
	stop.Waiting = p.Waiting
	if stop.Phase == Planned && p.Phase != Planned {
		if err := s.check(stop, p.Hosts, wall, owners); err != nil {
			stop.Waiting = err.Error()
			s.stops.Put(p.Stop, stop)
			return
		}
		stop.Since = i
	}
	stop.Phase = p.Phase
	s.stops.Put(p.Stop, stop)
}

// Snapshot is the state of Stops in a form that can be stored and sent.
type Snapshot struct {
	Stops   []Stop         `json:"stops"`
	Marks   []ident.EditID `json:"marks,omitempty"`
	Results []Result       `json:"results,omitempty"`
}

// Snapshot returns a copy of the state.
func (s *Stops) Snapshot() Snapshot {
	return Snapshot{Stops: s.List(), Marks: s.results.Keys(), Results: s.results.Values()}
}

// RestoreStops returns the state that a snapshot was taken from.
func RestoreStops(snap Snapshot) *Stops {
	s := NewStops()
	for _, stop := range snap.Stops {
		s.stops.Put(stop.ID(), stop)
	}
	s.results.Restore(snap.Marks, snap.Results)
	return s
}

// Phases iterates over the phases of all stops in order of their ids. The state must not change during the iteration.
func (s *Stops) Phases() iter.Seq2[StopID, Phase] {
	return func(yield func(StopID, Phase) bool) {
		for id, stop := range s.stops.All() {
			if !yield(id, stop.Phase) {
				return
			}
		}
	}
}
