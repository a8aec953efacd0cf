package cmds

import (
	"crypto/rand"
	"fmt"
	"text/tabwriter"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/io/admin"
)

// Table groups the commands on rows.
type Table struct {
	List TableList `cmd:"" help:"List the rows."`
	Put  TablePut  `cmd:"" help:"Add or change a row."`
}

// TableList lists the rows.
type TableList struct {
	Remote
}

// Run lists the rows.
func (c *TableList) Run(env *Env) error {
	var t admin.Table
	if err := c.get(env.Context, "/admin/table", &t); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, t)
	}
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WORKSPACE\tADAPTER\tVERSION\tPREVIOUS\tWEIGHT\tMAX-RUNNING\tMAX-RATE\tROW-VERSION")
	for _, r := range t.Rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", r.Workspace, r.Adapter, r.Version, r.Previous, r.Weight, r.MaxRunning, r.MaxRate, r.RowVersion)
	}
	return w.Flush()
}

// TablePut adds or changes a row.
type TablePut struct {
	Remote
	Workspace  ident.Workspace  `arg:"" help:"Workspace of the row."`
	Model      string           `arg:"" help:"adapter@version."`
	Previous   ident.Version    `help:"Version that stays callable while callers move on."`
	Weight     uint32           `help:"Share against other workspaces." default:"1"`
	MaxRunning uint32           `help:"Requests running at once; 0 for no limit."`
	MaxRate    uint32           `help:"Requests a second; 0 for no limit."`
	From       ident.RowVersion `help:"Row version that the change starts from; 0 for a new row."`
	EditID     ident.EditID     `help:"Id of the edit; resend a lost one with the same id." name:"edit-id"`
}

// Run sends the edit and prints its result.
func (c *TablePut) Run(env *Env) error {
	m, err := ident.ParseModel(c.Model)
	if err != nil {
		return err
	}
	if c.EditID == "" {
		c.EditID = ident.EditID(rand.Text())
	}
	row := rows.Row{Workspace: c.Workspace, Adapter: m.Adapter, Version: m.Version, Previous: c.Previous, Weight: c.Weight, MaxRunning: c.MaxRunning, MaxRate: c.MaxRate}
	e := rows.Edit{ID: c.EditID, Key: rows.KeyOf(c.Workspace, m.Adapter), From: c.From, Row: &row}
	var res state.Result
	if err := c.post(env.Context, "/admin/table", e, &res); err != nil {
		return err
	}
	return c.print(env, res)
}

func (c *TablePut) print(env *Env, res state.Result) error {
	if c.JSON {
		return printJSON(env.Out, res)
	}
	if res.Edit == nil {
		return fmt.Errorf("edit %s: no result", c.EditID)
	}
	if res.Edit.Verdict != rows.Accepted {
		return fmt.Errorf("edit %s: %s: %s", c.EditID, res.Edit.Verdict, res.Edit.Reason)
	}
	_, err := fmt.Fprintf(env.Out, "accepted at index %d\n", res.Edit.Index)
	return err
}
