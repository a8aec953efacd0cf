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

// Editing are the flags of commands that change one row.
type Editing struct {
	Remote
	Spread
	From   *ident.RowVersion `help:"Row version that the change starts from; without it the row is read first. 0 asks for a new row."`
	EditID ident.EditID      `help:"Id of the edit; send a change whose answer was lost again with the same id." name:"edit-id"`
}

// current reads a row; a row that does not exist has row version 0.
func (r Remote) current(env *Env, key rows.RowKey) (rows.Row, error) {
	var t admin.Table
	if err := r.get(env.Context, "/admin/table?key="+url.QueryEscape(string(key)), &t); err != nil {
		return rows.Row{}, err
	}
	if len(t.Rows) == 0 {
		return rows.Row{}, nil
	}
	return t.Rows[0], nil
}

// start returns the row that the edit starts from, and makes up an edit id where none was given.
func (c *Editing) start(env *Env, key rows.RowKey) (rows.Row, error) {
	if c.EditID == "" {
		c.EditID = ident.EditID(rand.Text())
	}
	row, err := c.current(env, key)
	if c.From != nil {
		row.RowVersion = *c.From
	}
	return row, err
}

// send sends an edit and returns its result; a lost answer becomes an error that tells how to resend.
func (r Remote) send(env *Env, e rows.Edit) (rows.Result, error) {
	var res state.Result
	err := r.post(env.Context, "/admin/table", e, &res)
	if unanswered(err) {
		return rows.Result{}, coded(NoAnswer, fmt.Errorf(texts.OutcomeUnknown, e.ID, err, e.ID))
	}
	if err != nil {
		return rows.Result{}, err
	}
	if res.Edit == nil {
		return rows.Result{}, fmt.Errorf(texts.NoResult, e.ID)
	}
	return *res.Edit, nil
}

// apply sends an edit, prints its result and waits for it to spread.
func (c *Editing) apply(env *Env, e rows.Edit, done string) error {
	res, err := c.send(env, e)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(env.Out, res); err != nil {
			return err
		}
	}
	if err := verdict(env, c.Remote, e, res); err != nil {
		return err
	}
	if !c.JSON {
		_, _ = fmt.Fprintf(env.Out, done, res.Index, e.ID)
	}
	return c.await(env, c.Remote, res.Index)
}

// verdict turns a result that is not an acceptance into an error, and shows both versions of a conflict.
func verdict(env *Env, r Remote, e rows.Edit, res rows.Result) error {
	switch res.Verdict {
	case rows.Accepted:
		return nil
	case rows.Conflict:
		if !r.JSON {
			showConflict(env, e, res)
		}
		return coded(Conflict, fmt.Errorf(texts.ConflictErr, e.ID, e.Key))
	default:
		return coded(Refused, fmt.Errorf(texts.InvalidEdit, e.ID, res.Reason))
	}
}

// showConflict prints the operator's version and the one in force side by side.
func showConflict(env *Env, e rows.Edit, res rows.Result) {
	_, _ = fmt.Fprintf(env.Out, texts.ConflictHead, e.Key)
	mine, theirs := cells(e.Row), cells(res.Current)
	if e.Row != nil {
		mine[len(mine)-1] = fmt.Sprintf("%d (started from)", e.From)
	}
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\tYOURS\tIN FORCE\t")
	for i, name := range columns {
		mark := ""
		if mine[i] != theirs[i] && i < len(columns)-1 {
			mark = "differs"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", name, mine[i], theirs[i], mark)
	}
	_ = w.Flush()
	_, _ = fmt.Fprint(env.Out, texts.ConflictTail)
}
