// Package plot renders the burn report as a page with SVG plots, without scripts.
package plot

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
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
	"span":    texts.Span,
	"utc":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"colour":  colour,
	"width":   func(x float64) float64 { return 100 * min(1, x) },
}).ParseFS(files, "report.html"))

// Report is what the page shows.
type Report struct {
	At     time.Time
	Period time.Duration
	Lines  []burn.Line
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
		panels = append(panels, panel{Line: l, Plot: newPlot(l.Points, r.At, r.Period)})
	}
	return page.Execute(w, struct {
		Report
		Panels []panel
	}{r, panels})
}

// Size of a plot in SVG units.
const (
	plotWidth  = 640
	plotHeight = 120
	left       = 44
	bottom     = 100
	top        = 10
)

// Plot is the curve of the burn rate over time.
type Plot struct {
	Points string // of an SVG polyline
	// LimitY is the height of burn rate 1; Top is the rate at the upper edge.
	LimitY     float64
	Top        float64
	Start, End string // texts of the time axis
	Empty      bool
}

// shortestSpan is the least time that a plot covers.
const shortestSpan = 5 * time.Minute

// newPlot scales the points to the time from the first one (at most one period ago) to at.
func newPlot(points []burn.Point, at time.Time, period time.Duration) Plot {
	if len(points) == 0 {
		return Plot{Empty: true}
	}
	end := at.Unix()
	start := max(points[0].Start, end-int64(period/time.Second))
	start = min(start, end-int64(shortestSpan/time.Second))
	p := Plot{Top: 2, Start: clock(start), End: clock(end)}
	for _, x := range points {
		p.Top = max(p.Top, math.Ceil(x.Rate))
	}
	y := func(rate float64) float64 { return bottom - rate/p.Top*(bottom-top) }
	p.LimitY = y(1)
	var b strings.Builder
	for _, x := range points {
		if x.Start >= start {
			share := float64(x.Start-start) / float64(end-start)
			fmt.Fprintf(&b, "%.1f,%.1f ", left+share*(plotWidth-left-8), y(x.Rate))
		}
	}
	p.Points = b.String()
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
