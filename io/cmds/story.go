package cmds

import (
	"fmt"
	"os"
	"text/tabwriter"

	"shallotgap/io/story"
	"shallotgap/io/texts"
)

// stdinName is the name that stands for standard input among files.
const stdinName = "-"

// fromLogs tells a request's story from files of log lines.
func (c *Explain) fromLogs(env *Env) error {
	r := story.NewReader(c.Request)
	for _, name := range c.Logs {
		if err := readLog(env, r, name); err != nil {
			return coded(Usage, err)
		}
	}
	s := r.Story()
	if c.JSON {
		return printJSON(env.Out, s)
	}
	if len(s.Lines) == 0 {
		_, _ = fmt.Fprintf(env.Out, texts.NoLogLines, c.Request)
		return nil
	}
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, texts.ExplainLogsHeader)
	for _, l := range s.Lines {
		after := l.At.Sub(s.From).Seconds() * 1000
		_, _ = fmt.Fprintf(w, "%.1fms\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", after, l.Host, l.Message, l.Step, l.Outcome, l.Endpoint, l.Peer, l.Inputs)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, g := range s.Gaps {
		_, _ = fmt.Fprintf(env.Out, texts.ExplainLogsGap, g)
	}
	return nil
}

func readLog(env *Env, r *story.Reader, name string) error {
	if name == stdinName {
		return r.Read(env.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := r.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
