package cmds

import (
	"crypto/rand"
	"fmt"
	"net/url"
	"text/tabwriter"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/io/admin"
	"shallotgap/io/texts"
)

// EditFlags holds the flags of commands that edit one row.
type EditFlags struct {
	Remote
	WaitFlags
	From   *ident.RowVersion `help:"Row version that the change starts from; without it the row is read first. 0 asks for a new row."`
	EditID ident.EditID      `help:"Id of the edit; send a change whose answer was lost again with the same id." name:"edit-id"`
}

// fetchRow returns the current row of a key, or the zero row, whose row version is 0, if none exists.
func (r Remote) fetchRow(env *Env, key rows.RowKey) (rows.Row, error) {
	var t admin.Table
	if err := r.get(env.Context, "/admin/table?key="+url.QueryEscape(string(key)), &t); err != nil {
		return rows.Row{}, err
	}
	if len(t.Rows) == 0 {
		return rows.Row{}, nil
	}
	return t.Rows[0], nil
}

// fetchRowForEdit returns the current row, with the row version of --from if given. It generates an edit id if none is given.
func (c *EditFlags) fetchRowForEdit(env *Env, key rows.RowKey) (rows.Row, error) {
	if c.EditID == "" {
		c.EditID = ident.EditID(rand.Text())
	}
	row, err := c.fetchRow(env, key)
	if c.From != nil {
		row.RowVersion = *c.From
	}
	return row, err
}

// send sends an edit and returns its result. If the outcome is unknown, the error explains how to resend the edit.
func (r Remote) send(env *Env, e rows.Edit) (rows.Result, error) {
	var res state.Result
	err := r.post(env.Context, "/admin/table", e, &res)
	if outcomeUnknown(err) {
		return rows.Result{}, withCode(NoAnswer, fmt.Errorf(texts.OutcomeUnknown, e.ID, err, e.ID))
	}
	if err != nil {
		return rows.Result{}, err
	}
	if res.Edit == nil {
		return rows.Result{}, fmt.Errorf(texts.NoResult, e.ID)
	}
	return *res.Edit, nil
}

// apply sends an edit, prints its result and, with --wait, waits until every host has applied the edit. The format done
// takes the log index and the edit id.
func (c *EditFlags) apply(env *Env, e rows.Edit, done string) error {
	res, err := c.send(env, e)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(env.Out, res); err != nil {
			return err
		}
	}
	if err := verdictError(env, c.Remote, e, res); err != nil {
		return err
	}
	if !c.JSON {
		_, _ = fmt.Fprintf(env.Out, done, res.Index, e.ID)
	}
	return c.awaitApplied(env, c.Remote, res.Index)
}

// verdictError returns an error if the edit was not accepted. For a conflict it also prints both versions of the row.
func verdictError(env *Env, r Remote, e rows.Edit, res rows.Result) error {
	switch res.Verdict {
	case rows.Accepted:
		return nil
	case rows.Conflict:
		if !r.JSON {
			showConflict(env, e, res)
		}
		return withCode(Conflict, fmt.Errorf(texts.ConflictErr, e.ID, e.Key))
	default:
		return withCode(Refused, fmt.Errorf(texts.InvalidEdit, e.ID, res.Reason))
	}
}

// showConflict prints the operator's version of the row next to the version in force.
func showConflict(env *Env, e rows.Edit, res rows.Result) {
	_, _ = fmt.Fprintf(env.Out, texts.ConflictHead, e.Key)
	mine, inForce := cells(e.Row), cells(res.Current)
	if e.Row != nil {
		mine[len(mine)-1] = fmt.Sprintf("%d (started from)", e.From)
	}
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\tYOURS\tIN FORCE\t")
	for i, name := range columns {
		remark := ""
		if mine[i] != inForce[i] && i < len(columns)-1 {
			remark = "differs"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", name, mine[i], inForce[i], remark)
	}
	_ = w.Flush()
	_, _ = fmt.Fprint(env.Out, texts.ConflictTail)
}
