package cmds

import (
	"fmt"
	"text/tabwriter"

	"shallotgap/core/limit"
	"shallotgap/io/site"
	"shallotgap/io/texts"
)

// Limits is the command that lists the request rates which endpoints ask for.
type Limits struct {
	Remote
}

// Run lists the limits.
func (c *Limits) Run(env *Env) error {
	var list []limit.Listed
	if err := c.get(env.Context, site.LimitsPath, &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, list)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, texts.LimitsHeader)
	for _, l := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%g\n", l.Endpoint, l.Service, float64(l.Rate))
	}
	return w.Flush()
}
