package cmds

import (
	"fmt"
	"os"

	"shallotgap/core/world"
	"shallotgap/io/trace"
)

// Replay is the command that replays a recorded trace.
type Replay struct {
	File    string `arg:"" help:"Trace file, as the setting [self] trace names it."`
	Explain string `help:"Print the decisions on this request id."`
	JSON    bool   `help:"Print JSON with kebab-case names." name:"json"`
}

// ReplayResult is the result of a replay.
type ReplayResult struct {
	Host    string       `json:"host"`
	Records int          `json:"records"`
	Effects int          `json:"effects"`
	Same    bool         `json:"same"`
	Notes   []world.Note `json:"notes,omitempty"`
}

// Run replays the trace and tells whether all decisions are the same again.
func (c *Replay) Run(env *Env) error {
	f, err := os.Open(c.File)
	if err != nil {
		return coded(Usage, err)
	}
	defer func() { _ = f.Close() }()
	r, err := trace.NewReader(f)
	if err != nil {
		return err
	}
	out := ReplayResult{Host: string(r.Header.Self)}
	out.Records, err = world.Replay(r.Header, r.Next, func(_ world.Input, effects []world.Effect) {
		out.Effects += len(effects)
		out.Notes = append(out.Notes, c.notes(effects)...)
	})
	out.Same = err == nil
	if printErr := c.print(env, out); printErr != nil {
		return printErr
	}
	return err
}

func (c *Replay) notes(effects []world.Effect) []world.Note {
	var list []world.Note
	for _, e := range effects {
		if e.Note != nil && c.Explain != "" && e.Note.Request.String() == c.Explain {
			list = append(list, *e.Note)
		}
	}
	return list
}

func (c *Replay) print(env *Env, out ReplayResult) error {
	if c.JSON {
		return printJSON(env.Out, out)
	}
	for _, n := range out.Notes {
		_, _ = fmt.Fprintf(env.Out, "%s\t%s\t%s\n", n.Step, n.Cause, n.Peer)
	}
	_, err := fmt.Fprintf(env.Out, "host %s: %d records, %d effects, same: %v\n", out.Host, out.Records, out.Effects, out.Same)
	return err
}
