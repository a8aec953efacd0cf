package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Objective names what a target is about.
type Objective string

// The objectives.
const (
	LoadStall  Objective = "load-stall"  // time in which a request's adapter was not resident
	FirstToken Objective = "first-token" // time to the first piece of a streamed answer
	TokenGap   Objective = "token-gap"   // time between two pieces of a streamed answer
	Answered   Objective = "answered"    // the request got its whole answer
)

// Objectives lists all objectives in the order of reports.
func Objectives() []Objective { return []Objective{LoadStall, FirstToken, TokenGap, Answered} }

// Target is what one objective promises: the share of events that are not longer than the limit.
type Target struct {
	// Limit is 0 for Answered.
	Limit time.Duration `json:"limit"`
	Share float64       `json:"share"`
}

// Targets are the promises of a deployment and the windows over which they are reported.
type Targets struct {
	Targets map[Objective]Target `json:"targets"`
	// Windows rise; the last one is the period that the error budget is for.
	Windows []time.Duration `json:"windows"`
}

// Defaults returns the targets that hold where the settings name none.
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

// maxSlots bounds the time slots of one series; the narrowest slot is minSlot.
const (
	maxSlots = 720
	minSlot  = 5 * time.Second
)

// Width returns the width of a time slot in whole seconds.
func (t Targets) Width() int64 {
	return int64(max(minSlot, t.Period()/maxSlots) / time.Second)
}

// Cause names what spent the budget.
type Cause string

// Event is one measured event of a request.
type Event struct {
	Workspace ident.Workspace
	Objective Objective
	// Value is the measured time; it is not used for Answered.
	Value time.Duration
	// Failed makes the event bad whatever its value.
	Failed bool
	// Cause is counted if the event is bad.
	Cause Cause
}

// Slot counts the events of one stretch of time.
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

// Series are the events of one workspace and objective.
type Series struct {
	Workspace ident.Workspace `json:"workspace"`
	Objective Objective       `json:"objective"`
	Slots     []Slot          `json:"slots"` // by rising start
	Histogram Histogram       `json:"histogram"`
}

// slot returns the slot with the start, which it makes where there is none.
func (s *Series) slot(start int64) *Slot {
	i, found := slices.BinarySearchFunc(s.Slots, start, func(x Slot, t int64) int { return cmp.Compare(x.Start, t) })
	if !found {
		s.Slots = slices.Insert(s.Slots, i, Slot{Start: start})
	}
	return &s.Slots[i]
}

// MaxSeries bounds the series of one book. Events of further workspaces count for OtherWorkspaces.
const MaxSeries = 4096

// OtherWorkspaces stands for the workspaces beyond MaxSeries.
const OtherWorkspaces = ident.Workspace("(others)")

type seriesKey struct {
	workspace ident.Workspace
	objective Objective
}

// Recorder collects events. It is not safe for use by several goroutines.
type Recorder struct {
	Targets
	series map[seriesKey]*Series
}

// New returns an empty book.
func New(t Targets) *Recorder { return &Recorder{Targets: t, series: map[seriesKey]*Series{}} }

func (b *Recorder) at(w ident.Workspace, o Objective) *Series {
	k := seriesKey{w, o}
	if b.series[k] == nil && len(b.series) >= MaxSeries {
		k.workspace = OtherWorkspaces
	}
	s := b.series[k]
	if s == nil {
		s = &Series{Workspace: k.workspace, Objective: o}
		b.series[k] = s
	}
	return s
}

// Add counts an event at the Unix second now.
func (b *Recorder) Add(now int64, e Event) {
	s := b.at(e.Workspace, e.Objective)
	slot := s.slot(now - now%b.Width())
	limit := b.Targets.Targets[e.Objective].Limit
	if e.Failed || (limit > 0 && e.Value > limit) {
		slot.Bad++
		slot.count(e.Cause, 1)
	} else {
		slot.Good++
	}
	if limit > 0 && !e.Failed {
		s.Histogram.Add(e.Value)
	}
	s.trim(now - int64(b.Period()/time.Second))
}

// trim drops the slots that started before oldest.
func (s *Series) trim(oldest int64) {
	n := 0
	for n < len(s.Slots) && s.Slots[n].Start < oldest {
		n++
	}
	s.Slots = slices.Delete(s.Slots, 0, n)
}

// Snapshot returns a copy of all series, by workspace and objective.
func (b *Recorder) Snapshot() []Series {
	list := make([]Series, 0, len(b.series))
	for _, s := range b.series {
		list = append(list, s.clone())
	}
	slices.SortFunc(list, func(x, y Series) int {
		return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(place(x.Objective), place(y.Objective)))
	})
	return list
}

func place(o Objective) int { return slices.Index(Objectives(), o) }

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
func (b *Recorder) Merge(list []Series) {
	for _, other := range list {
		s := b.at(other.Workspace, other.Objective)
		for _, slot := range other.Slots {
			s.slot(slot.Start).merge(slot)
		}
		s.Histogram.Merge(other.Histogram)
	}
}
