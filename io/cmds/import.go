package cmds

import (
	"crypto/rand"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/io/texts"
)

// TableImport adds and changes rows from CSV.
type TableImport struct {
	Remote
	Spread
	File   string       `arg:"" help:"CSV file with a header, or - for standard input."`
	EditID ident.EditID `help:"Start of the edit ids; send an import whose answer was lost again with the same one." name:"edit-id"`
}

// importResult counts how the changed lines ended.
type importResult struct {
	EditID    ident.EditID  `json:"edit-id"`
	Accepted  int           `json:"accepted"`
	Unchanged int           `json:"unchanged"`
	Conflicts []rows.RowKey `json:"conflicts"`
	Refused   []rows.RowKey `json:"refused"`
	Index     ident.Index   `json:"index"`
}

// Run sends one edit for each changed line.
func (c *TableImport) Run(env *Env) error {
	list, old, err := sheet(env, c.Remote, c.File)
	if err != nil {
		return err
	}
	if c.EditID == "" {
		c.EditID = ident.EditID(rand.Text())
		_, _ = fmt.Fprintf(env.Err, texts.ImportID, c.EditID, c.EditID)
	}
	sum := importResult{EditID: c.EditID, Conflicts: []rows.RowKey{}, Refused: []rows.RowKey{}}
	edits := c.edits(list, old)
	sum.Unchanged = len(list) - len(edits)
	for batch := range slices.Chunk(edits, importBatch) {
		results, err := c.sendAll(env, batch)
		if err != nil {
			return err
		}
		for i, res := range results {
			c.count(env, batch[i], res, &sum)
		}
	}
	if err := c.print(env, sum); err != nil {
		return err
	}
	return c.await(env, c.Remote, sum.Index)
}

// lineEdit is the edit of one line.
type lineEdit struct {
	rows.Edit
	line int
}

// edits returns the edits of the lines that change something.
func (c *TableImport) edits(list []line, old map[rows.RowKey]rows.Row) []lineEdit {
	var edits []lineEdit
	for _, l := range list {
		key := rows.KeyOf(l.row.Workspace, l.row.Adapter)
		if l.same(old[key]) {
			continue
		}
		e := rows.Edit{ID: ident.EditID(fmt.Sprintf("%s-%d", c.EditID, l.number)), Key: key, From: old[key].RowVersion, Row: &l.row}
		if l.pinned {
			e.From = l.row.RowVersion
		}
		edits = append(edits, lineEdit{Edit: e, line: l.number})
	}
	return edits
}

// importBatch is the number of edits that are under way at once, so that one sync of the log serves many.
const importBatch = 64

// sendAll sends edits side by side and returns their results in order.
func (c *TableImport) sendAll(env *Env, edits []lineEdit) ([]rows.Result, error) {
	results := make([]rows.Result, len(edits))
	var group errgroup.Group
	for i, e := range edits {
		group.Go(func() error {
			res, err := c.send(env, e.Edit)
			results[i] = res
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("%w\n"+texts.ImportResend, err, c.EditID)
	}
	return results, nil
}

func (c *TableImport) count(env *Env, e lineEdit, res rows.Result, sum *importResult) {
	switch res.Verdict {
	case rows.Accepted:
		sum.Accepted++
		sum.Index = max(sum.Index, res.Index)
	case rows.Conflict:
		sum.Conflicts = append(sum.Conflicts, e.Key)
	default:
		sum.Refused = append(sum.Refused, e.Key)
	}
	if err := verdict(env, c.Remote, e.Edit, res); err != nil {
		_, _ = fmt.Fprintf(env.Err, "line %d: %v\n", e.line, err)
	}
}

func (c *TableImport) print(env *Env, sum importResult) error {
	if c.JSON {
		if err := printJSON(env.Out, sum); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(env.Out, texts.Imported, sum.Accepted, sum.Unchanged, len(sum.Conflicts), len(sum.Refused))
	}
	bad := len(sum.Conflicts) + len(sum.Refused)
	if bad == 0 {
		return nil
	}
	code := Refused
	if len(sum.Conflicts) > 0 {
		code = Conflict
	}
	return coded(code, fmt.Errorf(texts.ImportIncomplete, bad, bad+sum.Accepted))
}
