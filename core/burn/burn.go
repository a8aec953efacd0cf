package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Objective names a service-level objective.
type Objective string

// The objectives.
const (
	LoadStall  Objective = "load-stall"  // time that a request waited while its adapter was not resident
	FirstToken Objective = "first-token" // time to the first chunk of a streamed answer
	TokenGap   Objective = "token-gap"   // time between two chunks of a streamed answer
	Answered   Objective = "answered"    // whether the request got its whole answer
)

// Objectives returns all objectives, in the order in which reports list them.
func Objectives() []Objective { return []Objective{LoadStall, FirstToken, TokenGap, Answered} }

// Target is the target of one objective: the share of events that must stay within the limit.
type Target struct {
	// Limit is 0 for Answered, which has no time limit.
	Limit time.Duration `json:"limit"`
	Share float64       `json:"share"`
}

// Targets holds the targets of a deployment and the windows over which burn rates are reported.
type Targets struct {
	Targets map[Objective]Target `json:"targets"`
	// Windows are in rising order; the last one is the period that the error budget covers.
	Windows []time.Duration `json:"windows"`
}

// Defaults returns the targets for deployments whose settings name none.
func Defaults() Targets {
	return Targets{
		Targets: map[Objective]Target{
			LoadStall:  {Limit: 510 * time.Millisecond, Share: 0.95},
			FirstToken: {Limit: 510 * time.Millisecond, Share: 0.95},
			TokenGap:   {Limit: 57 * time.Millisecond, Share: 0.95},
			Answered:   {Share: 0.999},
		},
		Windows: []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour},
	}
}

// Period returns the longest window.
func (t Targets) Period() time.Duration { return t.Windows[len(t.Windows)-1] }

// Limits of the number and width of time slots.
const (
	// maxSlots is the maximum number of time slots of one series.
	maxSlots = 720
	// minSlot is the minimum width of a time slot.
	minSlot = 5 * time.Second
)

// Width returns the width of a time slot in seconds.
func (t Targets) Width() int64 {
	return int64(max(minSlot, t.Period()/maxSlots) / time.Second)
}

// Cause names why an event was bad.
type Cause string

// Event is one measurement of a request.
type Event struct {
	Workspace ident.Workspace
	Objective Objective
	// Value is the measured time; Answered does not use it.
	Value time.Duration
	// Failed makes the event bad, whatever its value.
	Failed bool
	// Cause is counted if the event is bad.
	Cause Cause
}

// Slot counts the events in one time slot.
type Slot struct {
	// Start is the Unix second at which the slot starts.
	Start  int64            `json:"start"`
	Good   uint64           `json:"good"`
	Bad    uint64           `json:"bad"`
	Causes map[Cause]uint64 `json:"causes,omitempty"`
}

func (s *Slot) merge(other Slot) {
	s.Good += other.Good
	s.Bad += other.Bad
	for c, n := range other.Causes {
		s.count(c, n)
	}
}

func (s *Slot) count(c Cause, n uint64) {
	if s.Causes == nil {
		s.Causes = map[Cause]uint64{}
	}
	s.Causes[c] += n
}

// Series holds the events of one workspace and objective.
type Series struct {
	Workspace ident.Workspace `json:"workspace"`
	Objective Objective       `json:"objective"`
	Slots     []Slot          `json:"slots"` // in rising order of Start
	Histogram Histogram       `json:"histogram"`
}

// slot returns the time slot that starts at start, and creates it if needed.
func (s *Series) slot(start int64) *Slot {
	i, found := slices.BinarySearchFunc(s.Slots, start, func(x Slot, t int64) int { return cmp.Compare(x.Start, t) })
	if !found {
		s.Slots = slices.Insert(s.Slots, i, Slot{Start: start})
	}
	return &s.Slots[i]
}

// MaxSeries bounds the series of one recorder. Events of further workspaces are counted under OtherWorkspaces.
const MaxSeries = 4096

// OtherWorkspaces stands for all workspaces beyond MaxSeries.
const OtherWorkspaces = ident.Workspace("(others)")

// seriesKey identifies a series.
type seriesKey struct {
	workspace ident.Workspace
	objective Objective
}

// Recorder collects events. It is not safe for concurrent use.
type Recorder struct {
	Targets
	series map[seriesKey]*Series
}

// New returns a recorder without events.
func New(t Targets) *Recorder { return &Recorder{Targets: t, series: map[seriesKey]*Series{}} }

// seriesFor returns the series of a workspace and objective, and creates it if needed.
func (r *Recorder) seriesFor(w ident.Workspace, o Objective) *Series {
	k := seriesKey{w, o}
	if r.series[k] == nil && len(r.series) >= MaxSeries {
		k.workspace = OtherWorkspaces
	}
	s := r.series[k]
	if s == nil {
		s = &Series{Workspace: k.workspace, Objective: o}
		r.series[k] = s
	}
	return s
}

// Add counts an event in the time slot of now, in Unix seconds.
func (r *Recorder) Add(now int64, e Event) {
	s := r.seriesFor(e.Workspace, e.Objective)
	slot := s.slot(now - now%r.Width())
	limit := r.Targets.Targets[e.Objective].Limit
	if e.Failed || (limit > 0 && e.Value > limit) {
		slot.Bad++
		slot.count(e.Cause, 1)
	} else {
		slot.Good++
	}
	if limit > 0 && !e.Failed {
		s.Histogram.Add(e.Value)
	}
	s.trim(now - int64(r.Period()/time.Second))
}

// trim drops the time slots that started before the Unix second oldest.
func (s *Series) trim(oldest int64) {
	n := 0
	for n < len(s.Slots) && s.Slots[n].Start < oldest {
		n++
	}
	s.Slots = slices.Delete(s.Slots, 0, n)
}

// Snapshot returns a copy of all series, sorted by workspace and objective.
func (r *Recorder) Snapshot() []Series {
	list := make([]Series, 0, len(r.series))
	for _, s := range r.series {
		list = append(list, s.clone())
	}
	slices.SortFunc(list, func(x, y Series) int {
		return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(objectiveOrder(x.Objective), objectiveOrder(y.Objective)))
	})
	return list
}

func objectiveOrder(o Objective) int { return slices.Index(Objectives(), o) }

func (s *Series) clone() Series {
	c := *s
	c.Slots = slices.Clone(s.Slots)
	for i := range c.Slots {
		c.Slots[i].Causes = maps.Clone(c.Slots[i].Causes)
	}
	c.Histogram.Counts = slices.Clone(s.Histogram.Counts)
	return c
}

// Merge adds the series of another host.
func (r *Recorder) Merge(list []Series) {
	for _, other := range list {
		s := r.seriesFor(other.Workspace, other.Objective)
		for _, slot := range other.Slots {
			s.slot(slot.Start).merge(slot)
		}
		s.Histogram.Merge(other.Histogram)
	}
}
