package burn

import (
	"cmp"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Window is the burn over the latest stretch of time.
type Window struct {
	Length time.Duration `json:"length"`
	Events uint64        `json:"events"`
	Bad    uint64        `json:"bad"`
	// Rate is the speed of the burn: 1 spends the budget just as the period ends, 2 in half the period.
	Rate float64 `json:"rate"`
}

// CauseShare is what one cause took from the budget.
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

// Line is the report on one workspace and objective.
type Line struct {
	Workspace ident.Workspace `json:"workspace"`
	Objective Objective       `json:"objective"`
	Target
	Events uint64 `json:"events"` // over the period
	Bad    uint64 `json:"bad"`
	// Budget is the number of bad events that the target allows among those events.
	Budget float64 `json:"budget"`
	// Spent is the share of the budget that is gone; above 1 the target is missed.
	Spent   float64       `json:"spent"`
	Windows []Window      `json:"windows"`
	Causes  []CauseShare  `json:"causes"` // the largest first
	Median  time.Duration `json:"median"` // upper limits of histogram buckets; 0 for answered
	P95     time.Duration `json:"p95"`
	P99     time.Duration `json:"p99"`
	Points  []Point       `json:"points"`
}

// Report returns a line for each series as of the Unix second now.
func (b *Recorder) Report(now int64) []Line {
	var list []Line
	for _, s := range b.Snapshot() {
		list = append(list, b.line(s, now))
	}
	return list
}

func (b *Recorder) line(s Series, now int64) Line {
	l := Line{Workspace: s.Workspace, Objective: s.Objective, Target: b.Targets.Targets[s.Objective], Causes: []CauseShare{}}
	for _, length := range b.Windows {
		l.Windows = append(l.Windows, l.window(s, now, length))
	}
	all := sum(s.Slots, now-int64(b.Period()/time.Second))
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

// sum adds up the slots that start at oldest or later.
func sum(slots []Slot, oldest int64) Slot {
	var all Slot
	for _, s := range slots {
		if s.Start >= oldest {
			all.merge(s)
		}
	}
	return all
}

// rate returns the share of bad events against the share that the target allows.
func rate(s Slot, share float64) float64 {
	if s.Bad == 0 || share >= 1 {
		return 0
	}
	return float64(s.Bad) / float64(s.Good+s.Bad) / (1 - share)
}

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
