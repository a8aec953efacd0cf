package cmds

import (
	"crypto/rand"
	"fmt"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/io/admin"
)

// Stop groups the commands on planned stops.
type Stop struct {
	Mark     StopMark     `cmd:"" help:"Plan a stop of a host or an endpoint."`
	Withdraw StopWithdraw `cmd:"" help:"Withdraw a planned stop."`
	List     StopList     `cmd:"" help:"List the planned stops."`
}

// StopMark plans a stop.
type StopMark struct {
	Remote
	Target drain.Target `arg:"" enum:"host,endpoint" help:"host or endpoint."`
	Name   string       `arg:"" help:"Name of the host or endpoint."`
}

// Run plans the stop.
func (c *StopMark) Run(env *Env) error {
	return mark(env, c.Remote, drain.Mark{Target: c.Target, Name: c.Name})
}

// StopWithdraw withdraws a stop.
type StopWithdraw struct {
	Remote
	Target drain.Target `arg:"" enum:"host,endpoint" help:"host or endpoint."`
	Name   string       `arg:"" help:"Name of the host or endpoint."`
}

// Run withdraws the stop.
func (c *StopWithdraw) Run(env *Env) error {
	return mark(env, c.Remote, drain.Mark{Target: c.Target, Name: c.Name, Withdraw: true})
}

func mark(env *Env, r Remote, m drain.Mark) error {
	m.ID = ident.EditID(rand.Text())
	var res state.Result
	if err := r.post(env.Context, "/admin/stops", m, &res); err != nil {
		return err
	}
	if r.JSON {
		return printJSON(env.Out, res)
	}
	if res.Mark == nil || !res.Mark.Accepted {
		return fmt.Errorf("stop %s: refused: %+v", m.Name, res.Mark)
	}
	_, err := fmt.Fprintf(env.Out, "accepted at index %d\n", res.Index)
	return err
}

// StopList lists the stops.
type StopList struct {
	Remote
}

// Run lists the stops.
func (c *StopList) Run(env *Env) error {
	var list []drain.Stop
	if err := c.get(env.Context, "/admin/stops", &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, list)
	}
	for _, s := range list {
		_, _ = fmt.Fprintf(env.Out, "%s\t%s\t%s\n", s.ID(), s.Phase, s.Waiting)
	}
	return nil
}

// Status shows what one host knows.
type Status struct {
	Remote
}

// Run prints the status.
func (c *Status) Run(env *Env) error {
	var s admin.Status
	if err := c.get(env.Context, "/admin/status", &s); err != nil {
		return err
	}
	return printJSON(env.Out, s)
}

// Explain tells what happened to a request.
type Explain struct {
	Remote
	Request string `arg:"" help:"Request id, as in the header Shallotgap-Request."`
}

// Run prints the decisions on the request in order.
func (c *Explain) Run(env *Env) error {
	var notes []world.Note
	if err := c.get(env.Context, "/admin/explain/"+c.Request, &notes); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, notes)
	}
	for _, n := range notes {
		_, _ = fmt.Fprintf(env.Out, "%s\t%s\t%s\n", n.Step, n.Cause, n.Peer)
	}
	return nil
}
