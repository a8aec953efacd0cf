package burn

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Window is the burn rate over the last Length before the report.
type Window struct {
	Length time.Duration `json:"length"`
	Events uint64        `json:"events"`
	Bad    uint64        `json:"bad"`
	// Rate is the burn rate: at 1 the budget lasts exactly for the period, at 2 for half of it.
	Rate float64 `json:"rate"`
}

// CauseShare is the part of the spent budget that is due to one cause.
type CauseShare struct {
	Cause  Cause  `json:"cause"`
	Events uint64 `json:"events"`
	// Share is the cause's share of all bad events.
	Share float64 `json:"share"`
}

// Point is the burn rate of one time slot, for plots.
type Point struct {
	Start int64   `json:"start"` // Unix seconds
	Rate  float64 `json:"rate"`
}

// Line is the report for one workspace and objective.
type Line struct {
	Workspace ident.Workspace `json:"workspace"`
	Objective Objective       `json:"objective"`
	Target
	Events uint64 `json:"events"` // events in the period
	Bad    uint64 `json:"bad"`
	// Budget is the number of bad events that the target allows among Events.
	Budget float64 `json:"budget"`
	// Spent is the spent share of the budget; above 1 the target is missed.
	Spent   float64       `json:"spent"`
	Windows []Window      `json:"windows"`
	Causes  []CauseShare  `json:"causes"` // sorted by descending number of events
	Median  time.Duration `json:"median"` // quantiles are the upper bounds of histogram buckets; 0 for Answered
	P95     time.Duration `json:"p95"`
	P99     time.Duration `json:"p99"`
	Points  []Point       `json:"points"`
}

// Report returns a line for each series, as of the Unix second now.
func (r *Recorder) Report(now int64) []Line {
	var list []Line
	for _, s := range r.Snapshot() {
		list = append(list, r.line(s, now))
	}
	return list
}

func (r *Recorder) line(s Series, now int64) Line {
	l := Line{Workspace: s.Workspace, Objective: s.Objective, Target: r.Targets.Targets[s.Objective], Causes: []CauseShare{}}
	for _, length := range r.Windows {
		l.Windows = append(l.Windows, l.window(s, now, length))
	}
	all := sum(s.Slots, now-int64(r.Period()/time.Second))
	l.Events, l.Bad = all.Good+all.Bad, all.Bad
	l.Budget = float64(l.Events) * (1 - l.Share)
	l.Spent = rate(all, l.Share)
	l.Causes = causes(all)
	l.Median, l.P95, l.P99 = s.Histogram.Quantile(0.5), s.Histogram.Quantile(0.95), s.Histogram.Quantile(0.99)
	for _, slot := range s.Slots {
		l.Points = append(l.Points, Point{Start: slot.Start, Rate: rate(slot, l.Share)})
	}
	return l
}

func (l Line) window(s Series, now int64, length time.Duration) Window {
	part := sum(s.Slots, now-int64(length/time.Second))
	return Window{Length: length, Events: part.Good + part.Bad, Bad: part.Bad, Rate: rate(part, l.Share)}
}

// sum adds up the time slots that start at the Unix second oldest or later.
func sum(slots []Slot, oldest int64) Slot {
	var all Slot
	for _, s := range slots {
		if s.Start >= oldest {
			all.merge(s)
		}
	}
	return all
}

// rate returns the burn rate: the share of bad events divided by the share that the target allows.
func rate(s Slot, share float64) float64 {
	if s.Bad == 0 || share >= 1 {
		return 0
	}
	return float64(s.Bad) / float64(s.Good+s.Bad) / (1 - share)
}

// causes returns the causes of the bad events in a time slot, the most frequent one first.
func causes(s Slot) []CauseShare {
	list := []CauseShare{}
	for c, n := range s.Causes {
		list = append(list, CauseShare{Cause: c, Events: n, Share: float64(n) / float64(s.Bad)})
	}
	slices.SortFunc(list, func(x, y CauseShare) int {
		return cmp.Or(cmp.Compare(y.Events, x.Events), cmp.Compare(x.Cause, y.Cause))
	})
	return list
}
