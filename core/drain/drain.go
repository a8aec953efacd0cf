// Package drain holds the planned stops of hosts, endpoints and whole failure domains.
package drain

import (
	"errors"
	"iter"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/table"
)

// Target tells what is stopped.
type Target string

// The targets of a planned stop.
const (
	Host     Target = "host"     // one entry host
	Endpoint Target = "endpoint" // one endpoint
	// EndpointHost is all endpoints at one IP number.
	EndpointHost Target = "endpoint-host"
	// Domain is a whole failure domain: its entry hosts and its endpoints.
	Domain Target = "domain"
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
	At int64 `json:"at,omitempty"`
	// Until is the wall-clock second (Unix) at which the stop is planned to end; 0 means that its end is open.
	Until int64 `json:"until,omitempty"`
	Phase Phase `json:"phase"`
	// Waiting tells what the drain still waits for, for operators.
	Waiting string `json:"waiting,omitempty"`
	// Edit is the id of the mark that planned the stop.
	Edit ident.EditID `json:"edit,omitempty"`
	// Hosts are the entry hosts that the stop takes away.
	Hosts []ident.HostID `json:"hosts,omitempty"`
	// Since is the log index at which the drain started, 0 before.
	Since ident.Index `json:"since,omitempty"`
}

// ID returns the stop's id.
func (s Stop) ID() StopID { return IDOf(s.Target, s.Name) }

// TakesHost reports whether the stop takes an entry host away.
func (s Stop) TakesHost(h ident.HostID) bool { return slices.Contains(s.Hosts, h) }

// TakesEndpoint reports whether the stop takes an endpoint away.
func (s Stop) TakesEndpoint(e lease.Endpoint) bool {
	switch s.Target {
	case Endpoint:
		return s.Name == string(e.ID)
	case EndpointHost:
		return s.Name == e.Address()
	case Domain:
		return s.Name == string(e.Domain)
	}
	return false
}

// Mark plans a stop, or withdraws it.
type Mark struct {
	ID       ident.EditID `json:"id"`
	Target   Target       `json:"target"`
	Name     string       `json:"name"`
	At       int64        `json:"at,omitempty"`
	Until    int64        `json:"until,omitempty"`
	Withdraw bool         `json:"withdraw,omitempty"`
	// Hosts is set by the leader when it appends the mark.
	Hosts []Member `json:"hosts,omitempty"`
}

// Progress moves a stop on; the leader proposes it.
type Progress struct {
	Stop StopID `json:"stop"`
	// Edit and From name the state that the step starts from; another one voids it.
	Edit    ident.EditID `json:"edit,omitempty"`
	From    Phase        `json:"from"`
	Phase   Phase        `json:"phase"`
	Waiting string       `json:"waiting,omitempty"`
	// Hosts is set when the drain is to start.
	Hosts []Member `json:"hosts,omitempty"`
}

// Result is the answer to a Mark; a resent edit id gets the first result again.
type Result struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Stop     *Stop  `json:"stop,omitempty"`
}

// MaxResults is the number of marks whose first result is kept.
const MaxResults = 1000

// Stops is the deterministic state machine of planned stops.
type Stops struct {
	stops   *table.Table[StopID, Stop]
	results map[ident.EditID]Result
	marks   []ident.EditID
}

// NewStops returns an empty state.
func NewStops() *Stops {
	return &Stops{stops: table.New[StopID, Stop](), results: map[ident.EditID]Result{}}
}

// Get returns a stop and whether there is one.
func (s *Stops) Get(id StopID) (Stop, bool) { return s.stops.Get(id) }

// Stopping reports whether an entry host, or the endpoint of this name alone, takes no new work because of a stop.
func (s *Stops) Stopping(t Target, name string) bool {
	if t == Host {
		return s.HostStops(ident.HostID(name))
	}
	stop, ok := s.stops.Get(IDOf(t, name))
	return ok && stop.Phase != Planned
}

// HostStops reports whether an entry host drains or has drained.
func (s *Stops) HostStops(h ident.HostID) bool {
	for _, stop := range s.stops.All() {
		if stop.Phase != Planned && stop.TakesHost(h) {
			return true
		}
	}
	return false
}

// EndpointStops reports whether an endpoint takes no new work: a stop takes it away, or it leaves by itself.
func (s *Stops) EndpointStops(e lease.Endpoint) bool {
	if e.Leaving {
		return true
	}
	for _, stop := range s.stops.All() {
		if stop.Phase != Planned && stop.TakesEndpoint(e) {
			return true
		}
	}
	return false
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

// Mark plans or withdraws a stop at the wall-clock second wall, unless a check refuses it.
func (s *Stops) Mark(m Mark, wall int64, owners *lease.Owners) Result {
	if first, ok := s.results[m.ID]; ok && m.ID != "" {
		return first
	}
	res := s.decide(m, wall, owners)
	s.remember(m.ID, res)
	return res
}

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

func (s *Stops) remember(id ident.EditID, res Result) {
	if id == "" {
		return
	}
	s.results[id] = res
	s.marks = append(s.marks, id)
	if len(s.marks) > MaxResults {
		delete(s.results, s.marks[0])
		s.marks = s.marks[1:]
	}
}

// Advance moves a stop on at log index i, if it still stands where the step started. A drain that would break a
// majority or take a last replica does not start: the stop stays planned and tells why.
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

// Snapshot is the whole state in a form that can be stored and sent.
type Snapshot struct {
	Stops   []Stop         `json:"stops"`
	Marks   []ident.EditID `json:"marks,omitempty"`
	Results []Result       `json:"results,omitempty"`
}

// Snapshot returns a copy of the state.
func (s *Stops) Snapshot() Snapshot {
	snap := Snapshot{Stops: s.List()}
	for _, id := range s.marks {
		snap.Marks = append(snap.Marks, id)
		snap.Results = append(snap.Results, s.results[id])
	}
	return snap
}

// RestoreStops returns the state that a snapshot was taken from.
func RestoreStops(snap Snapshot) *Stops {
	s := NewStops()
	for _, stop := range snap.Stops {
		s.stops.Put(stop.ID(), stop)
	}
	for n, id := range snap.Marks {
		s.results[id] = snap.Results[n]
		s.marks = append(s.marks, id)
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
