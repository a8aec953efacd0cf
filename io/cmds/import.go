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

// TableImport is the command that adds and changes rows from a CSV file.
type TableImport struct {
	Remote
	WaitFlags
	File   string       `arg:"" help:"CSV file with a header, or - for standard input."`
	EditID ident.EditID `help:"Start of the edit ids; send an import whose answer was lost again with the same one." name:"edit-id"`
}

// importResult is the JSON output of an import: the number of lines, or the keys of the rows, for each outcome.
type importResult struct {
	EditID    ident.EditID  `json:"edit-id"`
	Accepted  int           `json:"accepted"`
	Unchanged int           `json:"unchanged"`
	Conflicts []rows.RowKey `json:"conflicts"`
	Refused   []rows.RowKey `json:"refused"`
	Index     ident.Index   `json:"index"`
}

// Run sends one edit for each line that changes a row.
func (c *TableImport) Run(env *Env) error {
	list, inForce, err := loadCSV(env, c.Remote, c.File)
	if err != nil {
		return err
	}
	if c.EditID == "" {
		c.EditID = ident.EditID(rand.Text())
		_, _ = fmt.Fprintf(env.Err, texts.ImportID, c.EditID, c.EditID)
	}
	total := importResult{EditID: c.EditID, Conflicts: []rows.RowKey{}, Refused: []rows.RowKey{}}
	edits := c.edits(list, inForce)
	total.Unchanged = len(list) - len(edits)
	for batch := range slices.Chunk(edits, importConcurrency) {
		results, err := c.sendAll(env, batch)
		if err != nil {
			return err
		}
		for i, res := range results {
			c.count(env, batch[i], res, &total)
		}
	}
	if err := c.print(env, total); err != nil {
		return err
	}
	return c.awaitApplied(env, c.Remote, total.Index)
}

// lineEdit is an edit with the number of its line in the CSV file.
type lineEdit struct {
	rows.Edit
	line int
}

// edits returns the edits of the lines that differ from the rows in force. An edit id contains the line number, so that
// an import that is sent again uses the same edit ids.
func (c *TableImport) edits(list []csvLine, inForce map[rows.RowKey]rows.Row) []lineEdit {
	var edits []lineEdit
	for _, l := range list {
		key := rows.KeyOf(l.row.Workspace, l.row.Adapter)
		if l.unchanged(inForce[key]) {
			continue
		}
		e := rows.Edit{ID: ident.EditID(fmt.Sprintf("%s-%d", c.EditID, l.number)), Key: key, From: inForce[key].RowVersion, Row: &l.row}
		if l.hasRowVersion {
			e.From = l.row.RowVersion
		}
		edits = append(edits, lineEdit{Edit: e, line: l.number})
	}
	return edits
}

// importConcurrency is the number of edits sent at once, so that one sync of the log covers many edits.
const importConcurrency = 64

// sendAll sends edits concurrently and returns their results in the order of edits.
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

// count adds the result of one edit to total and prints an error if the edit was not accepted.
func (c *TableImport) count(env *Env, e lineEdit, res rows.Result, total *importResult) {
	switch res.Verdict {
	case rows.Accepted:
		total.Accepted++
		total.Index = max(total.Index, res.Index)
	case rows.Conflict:
		total.Conflicts = append(total.Conflicts, e.Key)
	default:
		total.Refused = append(total.Refused, e.Key)
	}
	if err := verdictError(env, c.Remote, e.Edit, res); err != nil {
		_, _ = fmt.Fprintf(env.Err, "line %d: %v\n", e.line, err)
	}
}

func (c *TableImport) print(env *Env, total importResult) error {
	if c.JSON {
		if err := printJSON(env.Out, total); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(env.Out, texts.Imported, total.Accepted, total.Unchanged, len(total.Conflicts), len(total.Refused))
	}
	failed := len(total.Conflicts) + len(total.Refused)
	if failed == 0 {
		return nil
	}
	code := Refused
	if len(total.Conflicts) > 0 {
		code = Conflict
	}
	return withCode(code, fmt.Errorf(texts.ImportIncomplete, failed, failed+total.Accepted))
}
