package cmds

import (
	"crypto/rand"
	"fmt"
	"text/tabwriter"
	"time"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/io/texts"
)

// Stop groups the commands for planned stops.
type Stop struct {
	Mark     StopMark     `cmd:"" help:"Plan a stop of a host, an endpoint or a failure domain."`
	Withdraw StopWithdraw `cmd:"" help:"Withdraw a planned stop."`
	List     StopList     `cmd:"" help:"List the planned stops."`
}

// Target holds the arguments that identify the target of a stop.
type Target struct {
	Target drain.Target `arg:"" enum:"host,endpoint,endpoint-host,domain" help:"host, endpoint, endpoint-host (all endpoints at one IP number) or domain (a whole failure domain)."`
	Name   string       `arg:"" help:"Name of the host, endpoint or failure domain, or the IP number."`
}

// StopMark is the command that plans a stop.
type StopMark struct {
	Remote
	WaitFlags
	Target
	At     *time.Time   `help:"When the drain starts, as in 2026-12-03T22:00:00Z; at once where left out."`
	Until  *time.Time   `help:"When the stop is planned to end; open where left out."`
	EditID ident.EditID `help:"Id of the mark; send one whose answer was lost again with the same id." name:"edit-id"`
}

// Run plans the stop.
func (c *StopMark) Run(env *Env) error {
	m := drain.Mark{ID: c.EditID, Target: c.Target.Target, Name: c.Name}
	if c.At != nil {
		m.At = c.At.Unix()
	}
	if c.Until != nil {
		m.Until = c.Until.Unix()
	}
	return sendMark(env, c.Remote, c.WaitFlags, m, texts.StopMarked)
}

// StopWithdraw is the command that withdraws a stop.
type StopWithdraw struct {
	Remote
	WaitFlags
	Target
	EditID ident.EditID `help:"Id of the withdrawal; send one whose answer was lost again with the same id." name:"edit-id"`
}

// Run withdraws the stop.
func (c *StopWithdraw) Run(env *Env) error {
	m := drain.Mark{ID: c.EditID, Target: c.Target.Target, Name: c.Name, Withdraw: true}
	return sendMark(env, c.Remote, c.WaitFlags, m, texts.StopWithdrawn)
}

// sendMark sends a command to plan or withdraw a stop and prints the result. The format done takes the target's name and the
// log index.
func sendMark(env *Env, r Remote, wait WaitFlags, m drain.Mark, done string) error {
	if m.ID == "" {
		m.ID = ident.EditID(rand.Text())
	}
	var res state.Result
	err := r.post(env.Context, "/admin/stops", m, &res)
	if outcomeUnknown(err) {
		return withCode(NoAnswer, fmt.Errorf(texts.OutcomeUnknown, m.ID, err, m.ID))
	}
	if err != nil {
		return err
	}
	if r.JSON {
		if err := printJSON(env.Out, res); err != nil {
			return err
		}
	}
	if res.Mark == nil {
		return fmt.Errorf(texts.NoResult, m.ID)
	}
	if !res.Mark.Accepted {
		return withCode(Refused, fmt.Errorf(texts.StopRefused, m.Name, res.Mark.Reason))
	}
	if !r.JSON {
		_, _ = fmt.Fprintf(env.Out, done, m.Name, res.Index)
	}
	return wait.awaitApplied(env, r, res.Index)
}

// StopList is the command that lists the planned stops.
type StopList struct {
	Remote
}

// Run prints the planned stops.
func (c *StopList) Run(env *Env) error {
	var list []drain.Stop
	if err := c.get(env.Context, "/admin/stops", &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, list)
	}
	return printStops(env, list)
}

func printStops(env *Env, list []drain.Stop) error {
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STOP\tSTARTS\tENDS\tPHASE\tWAITS-FOR")
	for _, s := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.ID(), texts.StopStart(s.At), texts.StopEnd(s.Until), texts.PhaseNames[s.Phase], s.Waiting)
	}
	return w.Flush()
}
