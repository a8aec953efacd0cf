package cmds

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/host"
	"shallotgap/io/texts"
)

// Explain is the command that shows the decisions on a request. They come from the hosts' memory, or from log files with --logs.
type Explain struct {
	Remote
	Request string   `arg:"" help:"Request id, as in the header Shallotgap-Request."`
	Logs    []string `placeholder:"FILE" help:"Read the logs of hosts in these files, - for standard input, instead of asking hosts."`
}

// explanation is the JSON output of the explain command.
type explanation struct {
	Request string         `json:"request"`
	Notes   []host.Note    `json:"notes"`
	Silent  []ident.HostID `json:"hosts-without-answer"`
}

// Run prints the decisions on the request in chronological order, with their causes.
func (c *Explain) Run(env *Env) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(env)
	}
	if _, err := ident.ParseRequestID(c.Request); err != nil {
		return withCode(Usage, err)
	}
	list, err := queryHosts[[]host.Note](env.Context, c.Remote, "/admin/explain/"+c.Request)
	if err != nil {
		return err
	}
	e := mergeNotes(c.Request, list)
	if c.JSON {
		if err := printJSON(env.Out, e); err != nil {
			return err
		}
		return unreachableError(list)
	}
	if err := e.print(env); err != nil {
		return err
	}
	return unreachableError(list)
}

// mergeNotes sorts the decision notes of all hosts by wall clock. The notes of one host keep their order even if the clock of
// that host was set back.
func mergeNotes(request string, list []hostAnswer[[]host.Note]) explanation {
	e := explanation{Request: request, Notes: []host.Note{}, Silent: []ident.HostID{}}
	for _, a := range list {
		if a.Err != "" {
			e.Silent = append(e.Silent, a.Host.Host)
		}
		var latest time.Time
		for _, n := range a.Answer {
			if n.Wall.Before(latest) {
				n.Wall = latest
			}
			latest = n.Wall
			e.Notes = append(e.Notes, n)
		}
	}
	slices.SortStableFunc(e.Notes, func(x, y host.Note) int { return x.Wall.Compare(y.Wall) })
	return e
}

func (e explanation) print(env *Env) error {
	if len(e.Notes) == 0 {
		_, _ = fmt.Fprintf(env.Out, texts.NoDecisions, e.Request)
		return nil
	}
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "AFTER\tHOST\tSTEP\tWHAT AND WHY")
	for _, n := range e.Notes {
		after := n.Wall.Sub(e.Notes[0].Wall).Seconds() * 1000
		_, _ = fmt.Fprintf(w, "%.1fms\t%s\t%s\t%s\n", after, n.Host, n.Step, texts.DescribeDecision(n.Step, n.Peer, n.Cause))
	}
	return w.Flush()
}
