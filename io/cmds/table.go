package cmds

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/io/admin"
	"shallotgap/io/texts"
)

// Table groups the commands for rows of the operators' table.
type Table struct {
	List    TableList    `cmd:"" help:"List the rows."`
	Get     TableGet     `cmd:"" help:"Show one row."`
	Put     TablePut     `cmd:"" help:"Add or change a row; what is not named keeps its value."`
	Delete  TableDelete  `cmd:"" help:"Delete a row."`
	Export  TableExport  `cmd:"" help:"Write all rows as CSV."`
	Import  TableImport  `cmd:"" help:"Add and change rows from CSV, one edit a changed line."`
	Diff    TableDiff    `cmd:"" help:"Show what an import of a CSV file would change."`
	History TableHistory `cmd:"" help:"List the latest accepted edits."`
}

// columns are the names of a row's fields, in the order of printed tables and exported CSV files.
var columns = []string{"workspace", "adapter", "version", "previous", "base", "weight", "max-running", "max-rate", "row-version"}

// cells returns a row's fields as text in the order of columns; for a nil row all are empty.
func cells(r *rows.Row) []string {
	if r == nil {
		return make([]string, len(columns))
	}
	number := func(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
	return []string{
		string(r.Workspace), string(r.Adapter), string(r.Version), string(r.Previous), string(r.Base), number(r.Weight),
		number(r.MaxRunning), number(r.MaxRate), strconv.FormatUint(uint64(r.RowVersion), 10),
	}
}

func printRows(env *Env, list []rows.Row) error {
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, r := range list {
		_, _ = fmt.Fprintln(w, strings.Join(cells(&r), "\t"))
	}
	return w.Flush()
}

// RowFilter holds the flags that filter rows.
type RowFilter struct {
	Workspace ident.Workspace `help:"Only rows of this workspace."`
	Find      string          `help:"Only rows with this text in workspace, adapter or version."`
}

// pageRows is the number of rows read per request, so that reading a large table does not block a host for long.
const pageRows = 2000

// rows returns all rows that match the filter. It requests them in pages of pageRows.
func (r Remote) rows(env *Env, filter RowFilter) (admin.Table, error) {
	all := admin.Table{Rows: []rows.Row{}}
	q := url.Values{"workspace": {string(filter.Workspace)}, "find": {filter.Find}, "limit": {strconv.Itoa(pageRows)}}
	for {
		var page admin.Table
		if err := r.get(env.Context, "/admin/table?"+q.Encode(), &page); err != nil {
			return all, err
		}
		all.Index = page.Index
		all.Rows = append(all.Rows, page.Rows...)
		if page.Next == "" {
			return all, nil
		}
		q.Set("after", string(page.Next))
	}
}

// TableList is the command that lists rows.
type TableList struct {
	Remote
	RowFilter
}

// Run prints the rows that match the filter.
func (c *TableList) Run(env *Env) error {
	t, err := c.rows(env, c.RowFilter)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, t)
	}
	return printRows(env, t.Rows)
}

// RowName holds the arguments that identify a row.
type RowName struct {
	Workspace ident.Workspace `arg:"" help:"Workspace of the row."`
	Adapter   ident.Adapter   `arg:"" help:"Adapter of the row, without a version."`
}

// TableGet is the command that shows one row.
type TableGet struct {
	Remote
	RowName
}

// Run prints the row.
func (c *TableGet) Run(env *Env) error {
	key := rows.KeyOf(c.Workspace, c.Adapter)
	row, err := c.fetchRow(env, key)
	if err != nil {
		return err
	}
	if row.RowVersion == 0 {
		return fmt.Errorf(texts.NoRow, key)
	}
	if c.JSON {
		return printJSON(env.Out, row)
	}
	return printRows(env, []rows.Row{row})
}

// TablePut is the command that adds or changes a row.
type TablePut struct {
	EditFlags
	Workspace  ident.Workspace `arg:"" help:"Workspace of the row."`
	Model      string          `arg:"" help:"adapter@version."`
	Previous   *ident.Version  `help:"Version that stays callable while callers move on; empty for none."`
	Base       *ident.Service  `help:"Base model of the adapter; empty where all engines run the same one."`
	Weight     *uint32         `help:"Share against other workspaces; 1 in a new row."`
	MaxRunning *uint32         `help:"Requests running at once; 0 for no limit."`
	MaxRate    *uint32         `help:"Requests a second; 0 for no limit."`
}

// Run sends the edit and prints its result.
func (c *TablePut) Run(env *Env) error {
	m, err := ident.ParseModel(c.Model)
	if err != nil {
		return withCode(Usage, err)
	}
	key := rows.KeyOf(c.Workspace, m.Adapter)
	old, err := c.fetchRowForEdit(env, key)
	if err != nil {
		return err
	}
	row := c.applyFlags(old, m)
	return c.apply(env, rows.Edit{ID: c.EditID, Key: key, From: old.RowVersion, Row: &row}, texts.Accepted)
}

// applyFlags returns row with the model of the command line and the fields whose flags are set.
func (c *TablePut) applyFlags(row rows.Row, m ident.Model) rows.Row {
	row.Workspace, row.Adapter, row.Version = c.Workspace, m.Adapter, m.Version
	row.Weight = max(row.Weight, 1)
	setIfGiven(&row.Previous, c.Previous)
	setIfGiven(&row.Base, c.Base)
	setIfGiven(&row.Weight, c.Weight)
	setIfGiven(&row.MaxRunning, c.MaxRunning)
	setIfGiven(&row.MaxRate, c.MaxRate)
	return row
}

// setIfGiven sets a field to the value of its flag, which is nil if the flag is not set.
func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// TableDelete is the command that deletes a row.
type TableDelete struct {
	EditFlags
	RowName
}

// Run sends the edit and prints its result.
func (c *TableDelete) Run(env *Env) error {
	key := rows.KeyOf(c.Workspace, c.Adapter)
	resent := c.EditID != ""
	old, err := c.fetchRowForEdit(env, key)
	if err != nil {
		return err
	}
	if old.RowVersion == 0 && !resent {
		return fmt.Errorf(texts.NoRow, key)
	}
	return c.apply(env, rows.Edit{ID: c.EditID, Key: key, From: old.RowVersion}, texts.Deleted)
}

// TableHistory is the command that lists accepted edits.
type TableHistory struct {
	Remote
	Key rows.RowKey `arg:"" optional:"" help:"Only of this row: WORKSPACE/ADAPTER."`
}

// Run prints the edits, oldest first.
func (c *TableHistory) Run(env *Env) error {
	var list []rows.Change
	if err := c.get(env.Context, "/admin/history?key="+url.QueryEscape(string(c.Key)), &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, list)
	}
	w := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INDEX\tEDIT-ID\tROW\tFROM\tCONTENT")
	for _, ch := range list {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", ch.Index, ch.Edit.ID, ch.Edit.Key, ch.Edit.From, formatRow(ch.Edit.Row))
	}
	return w.Flush()
}

// formatRow returns the fields of an edit's row as JSON, or "deleted" for a nil row.
func formatRow(r *rows.Row) string {
	if r == nil {
		return "deleted"
	}
	fields := struct {
		Version    ident.Version `json:"version"`
		Previous   ident.Version `json:"previous,omitempty"`
		Base       ident.Service `json:"base,omitempty"`
		Weight     uint32        `json:"weight"`
		MaxRunning uint32        `json:"max-running,omitempty"`
		MaxRate    uint32        `json:"max-rate,omitempty"`
	}{r.Version, r.Previous, r.Base, r.Weight, r.MaxRunning, r.MaxRate}
	data, _ := json.Marshal(fields)
	return string(data)
}
