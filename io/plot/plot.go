// Package plot renders the burn report as an HTML page with SVG plots and without scripts.
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

// Report is the content of the page.
type Report struct {
	At time.Time // time of the report
	// Period is the time that the error budgets cover.
	Period time.Duration
	// Width is the length of a time slot in seconds.
	Width int64
	Lines []burn.Line
	// Silent are the hosts that did not answer; the report lacks their measurements.
	Silent []ident.HostID
}

// panel is a section of the page: a report line with its plot.
type panel struct {
	burn.Line
	Plot Plot
}

// Write renders the report to w as HTML.
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

// Width and margins of a plot, and the y coordinates of its upper and lower edges, in SVG units.
const (
	plotWidth   = 640
	marginLeft  = 44
	marginRight = 8
	plotBottom  = 100
	plotTop     = 10
)

// Plot is a bar chart of the burn rate over time, with a bar for each time slot that has events.
type Plot struct {
	Bars []Bar
	// LimitY is the y coordinate of burn rate 1; Top is the burn rate at the upper edge.
	LimitY float64
	Top    float64
	// ShowLimit is false if the axis label of burn rate 1 would overlap the label of 0.
	ShowLimit  bool
	Start, End string // labels of the time axis
	Empty      bool
}

// Bar is the bar of one time slot; the position and size are in SVG units.
type Bar struct {
	X, Y, Width, Height float64
	Title               string // tooltip
	Class               string // CSS class of the burn rate
}

// minTimeSlots is the minimum number of time slots that a plot covers.
const minTimeSlots = 15

// minBarSize is the minimum width and height of a bar in SVG units, so that a slot without misses is visible.
const minBarSize = 2

// newPlot returns a plot of points. It starts at the first point, but at most one period before reportTime, and ends with the
// last point. The start is moved back if the plot would cover fewer than minTimeSlots. The error budget covers one period; width
// is the length of a time slot in seconds.
func newPlot(points []burn.Point, reportTime time.Time, period time.Duration, width int64) Plot {
	if len(points) == 0 {
		return Plot{Empty: true}
	}
	end := points[len(points)-1].Start + width
	start := max(points[0].Start, reportTime.Unix()-int64(period/time.Second))
	start = min(start, end-minTimeSlots*width)
	p := Plot{Top: 2, Start: formatClock(start), End: formatClock(end)}
	for _, point := range points {
		p.Top = max(p.Top, math.Ceil(point.Rate))
	}
	p.LimitY = plotBottom - (plotBottom-plotTop)/p.Top
	p.ShowLimit = p.LimitY < plotBottom-12
	unit := float64(plotWidth-marginLeft-marginRight) / float64(end-start)
	for _, point := range points {
		height := max(minBarSize, point.Rate/p.Top*(plotBottom-plotTop))
		p.Bars = append(p.Bars, Bar{
			X: marginLeft + float64(point.Start-start)*unit, Y: plotBottom - height, Width: max(minBarSize, float64(width)*unit-1), Height: height,
			Title: fmt.Sprintf("%s: burn rate %.2f", formatClock(point.Start), point.Rate), Class: colour(point.Rate),
		})
	}
	return p
}

// formatClock returns the UTC time of day of a Unix time in seconds.
func formatClock(unix int64) string { return time.Unix(unix, 0).UTC().Format("15:04:05") }

// colour returns the CSS class for a burn rate or for the spent share of a budget.
func colour(rate float64) string {
	switch {
	case rate >= 1:
		return "bad"
	case rate >= 0.5:
		return "near"
	default:
		return "good"
	}
}
