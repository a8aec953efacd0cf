package cmds

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"shallotgap/core/poison"
	"shallotgap/io/site"
	"shallotgap/io/texts"
)

// Poison groups the commands for parts of prompts that crash engines.
type Poison struct {
	List PoisonList `cmd:"" help:"List the suspected and blocked parts."`
	Lift PoisonLift `cmd:"" help:"Remove a part, so that requests with it run again."`
}

// PoisonList is the command that lists the suspected and blocked parts.
type PoisonList struct {
	Remote
}

// Run lists the parts.
func (c *PoisonList) Run(env *Env) error {
	var list []poison.Listed
	if err := c.get(env.Context, site.PoisonPath, &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, list)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, texts.PoisonHeader)
	for _, p := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", p.Part, p.State, p.Crashes, p.Alone, p.Blocks, p.Label)
	}
	return w.Flush()
}

// PoisonLift is the command that lifts a part.
type PoisonLift struct {
	Remote
	Part poison.Part `arg:"" help:"The part, as listed."`
}

// Run lifts the part.
func (c *PoisonLift) Run(env *Env) error {
	if err := c.call(env.Context, http.MethodDelete, site.PoisonPath+"/"+url.PathEscape(string(c.Part)), nil, &struct{}{}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.Out, texts.PoisonLifted, c.Part)
	return err
}
