package cmds

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
	"shallotgap/io/admin"
	"shallotgap/io/plot"
	"shallotgap/io/texts"
)

// Report is the command that shows the service-level burn over all hosts.
type Report struct {
	Remote
	Workspace ident.Workspace `help:"Only this workspace."`
	HTML      bool            `help:"Write a page with plots." name:"html"`
}

// Run merges the measurements of all hosts and prints the report.
func (c *Report) Run(env *Env) error {
	list, err := queryHosts[admin.Burn](env.Context, c.Remote, "/admin/burn")
	if err != nil {
		return err
	}
	r := mergeBurn(list)
	if c.Workspace != "" {
		r.Lines = linesOf(r.Lines, c.Workspace)
	}
	if err := c.print(env, r); err != nil {
		return err
	}
	return unreachableError(list)
}

// mergeBurn computes a report from the measurements of all hosts that answered, with the targets of the first of these hosts.
func mergeBurn(list []hostAnswer[admin.Burn]) plot.Report {
	r := plot.Report{At: time.Now()}
	var recorder *burn.Recorder
	for _, a := range list {
		if a.Err != "" {
			r.Silent = append(r.Silent, a.Host.Host)
			continue
		}
		if recorder == nil {
			recorder = burn.New(a.Answer.Targets)
		}
		recorder.Merge(a.Answer.Series)
	}
	if recorder != nil {
		r.Period, r.Width = recorder.Period(), recorder.Width()
		r.Lines = recorder.Report(r.At.Unix())
	}
	return r
}

// linesOf returns the lines of one workspace.
func linesOf(lines []burn.Line, w ident.Workspace) []burn.Line {
	var list []burn.Line
	for _, l := range lines {
		if l.Workspace == w {
			list = append(list, l)
		}
	}
	return list
}

func (c *Report) print(env *Env, r plot.Report) error {
	switch {
	case c.HTML:
		return plot.Write(env.Out, r)
	case c.JSON:
		return printJSON(env.Out, struct {
			At     time.Time      `json:"at"`
			Lines  []burn.Line    `json:"lines"`
			Silent []ident.HostID `json:"hosts-without-answer"`
		}{r.At, r.Lines, r.Silent})
	default:
		return printReport(env.Out, r)
	}
}

// printReport prints the report as a text table.
func printReport(out io.Writer, r plot.Report) error {
	if len(r.Lines) == 0 {
		_, err := fmt.Fprint(out, texts.NothingMeasured)
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	head := []string{"WORKSPACE", "OBJECTIVE", "TARGET", "P95", "EVENTS", "MISSED", "BUDGET SPENT"}
	for _, window := range r.Lines[0].Windows {
		head = append(head, "BURN "+texts.FormatDuration(window.Length))
	}
	_, _ = fmt.Fprintln(w, strings.Join(append(head, "WHAT SPENT IT"), "\t"))
	for _, l := range r.Lines {
		_, _ = fmt.Fprintln(w, strings.Join(lineCells(l), "\t"))
	}
	return w.Flush()
}

// lineCells returns the table cells of one line.
func lineCells(l burn.Line) []string {
	target, p95 := fmt.Sprintf("%g%% answered", 100*l.Share), ""
	if l.Limit > 0 {
		target = fmt.Sprintf("%g%% within %s", 100*l.Share, texts.FormatDuration(l.Limit))
		p95 = texts.FormatDuration(l.P95)
	}
	list := []string{
		string(l.Workspace), string(l.Objective), target, p95, fmt.Sprint(l.Events), fmt.Sprint(l.Bad), fmt.Sprintf("%.1f%%", 100*l.Spent),
	}
	for _, window := range l.Windows {
		list = append(list, fmt.Sprintf("%.2f", window.Rate))
	}
	var causes []string
	for _, s := range l.Causes {
		causes = append(causes, fmt.Sprintf("%s %.0f%%", s.Cause, 100*s.Share))
	}
	return append(list, strings.Join(causes, ", "))
}
