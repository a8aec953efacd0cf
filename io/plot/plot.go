// Package plot renders the burn report as a page with SVG plots, without scripts.
package plot

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"time"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
	"shallotgap/io/texts"
)

//go:embed report.html
var files embed.FS

var page = template.Must(template.New("report.html").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"rate":    func(x float64) string { return fmt.Sprintf("%.2f", x) },
	"span":    texts.FormatDuration,
	"utc":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"colour":  colour,
	"cause":   texts.BurnCause,
	"width":   func(x float64) float64 { return 100 * min(1, x) },
}).ParseFS(files, "report.html"))

// Report is what the page shows.
type Report struct {
	At     time.Time
	Period time.Duration
	// Width is the width of a time slot in seconds.
	Width int64
	Lines []burn.Line
	// Silent are the hosts that gave no answer; their part is missing.
	Silent []ident.HostID
}

// panel is a line with its plot.
type panel struct {
	burn.Line
	Plot Plot
}

// Write renders the report.
func Write(w io.Writer, r Report) error {
	var panels []panel
	for _, l := range r.Lines {
		panels = append(panels, panel{Line: l, Plot: newPlot(l.Points, r.At, r.Period, r.Width)})
	}
	return page.Execute(w, struct {
		Report
		Panels []panel
	}{r, panels})
}

// Size of a plot in SVG units.
const (
	plotWidth = 640
	left      = 44
	right     = 8
	bottom    = 100
	top       = 10
)

// Plot shows the burn rate over time, a bar for each time slot with events.
type Plot struct {
	Bars []Bar
	// LimitY is the height of burn rate 1; Top is the rate at the upper edge.
	LimitY float64
	Top    float64
	// ShowLimit is false where the text of burn rate 1 would cover that of 0.
	ShowLimit  bool
	Start, End string // texts of the time axis
	Empty      bool
}

// Bar is the burn rate of one time slot, in SVG units.
type Bar struct {
	X, Y, Width, Height float64
	Title               string
	Class               string
}

// fewestSlots is the least number of time slots that a plot covers.
const fewestSlots = 15

// leastBar is the least width and height of a bar, so that a slot without misses can be seen.
const leastBar = 2

// newPlot scales the points to the time from the first one (at most one period ago) to at.
func newPlot(points []burn.Point, at time.Time, period time.Duration, width int64) Plot {
	if len(points) == 0 {
		return Plot{Empty: true}
	}
	end := points[len(points)-1].Start + width
	start := max(points[0].Start, at.Unix()-int64(period/time.Second))
	start = min(start, end-fewestSlots*width)
	p := Plot{Top: 2, Start: clock(start), End: clock(end)}
	for _, x := range points {
		p.Top = max(p.Top, math.Ceil(x.Rate))
	}
	p.LimitY = bottom - (bottom-top)/p.Top
	p.ShowLimit = p.LimitY < bottom-12
	unit := float64(plotWidth-left-right) / float64(end-start)
	for _, x := range points {
		height := max(leastBar, x.Rate/p.Top*(bottom-top))
		p.Bars = append(p.Bars, Bar{
			X: left + float64(x.Start-start)*unit, Y: bottom - height, Width: max(leastBar, float64(width)*unit-1), Height: height,
			Title: fmt.Sprintf("%s: burn rate %.2f", clock(x.Start), x.Rate), Class: colour(x.Rate),
		})
	}
	return p
}

func clock(unix int64) string { return time.Unix(unix, 0).UTC().Format("15:04:05") }

// colour returns the class of a burn rate or of a spent share.
func colour(x float64) string {
	switch {
	case x >= 1:
		return "bad"
	case x >= 0.5:
		return "near"
	default:
		return "good"
	}
}
