package cmds

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/io/texts"
)

// TableExport writes rows as CSV.
type TableExport struct {
	Remote
	Selecting
}

// Run writes the rows; the row-version column lets an import notice changes made meanwhile.
func (c *TableExport) Run(env *Env) error {
	t, err := c.rows(env, c.Selecting)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.Out, t)
	}
	w := csv.NewWriter(env.Out)
	_ = w.Write(columns)
	for _, r := range t.Rows {
		_ = w.Write(cells(&r))
	}
	w.Flush()
	return w.Error()
}

// line is one line of a CSV file.
type line struct {
	number int // of the line in the file, from 1
	row    rows.Row
	// pinned is true when the line names the row version that it starts from.
	pinned bool
}

// readSheet reads CSV with a header of column names in any order; missing columns take the row's value in force.
func readSheet(in io.Reader, old map[rows.RowKey]rows.Row) ([]line, error) {
	r := csv.NewReader(in)
	header, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("read the header: %w", err)
	}
	var list []line
	seen := map[rows.RowKey]int{}
	for {
		record, err := r.Read()
		if err == io.EOF {
			return list, nil
		}
		if err != nil {
			return nil, err
		}
		number, _ := r.FieldPos(0)
		l, err := lineOf(header, record, old)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		key := rows.KeyOf(l.row.Workspace, l.row.Adapter)
		if first, twice := seen[key]; twice {
			return nil, fmt.Errorf("line %d: row %s stands in line %d as well", number, key, first)
		}
		seen[key] = number
		l.number = number
		list = append(list, l)
	}
}

func lineOf(header, record []string, old map[rows.RowKey]rows.Row) (line, error) {
	values := map[string]string{}
	for i, name := range header {
		values[strings.TrimSpace(name)] = strings.TrimSpace(record[i])
	}
	row := old[rows.KeyOf(ident.Workspace(values["workspace"]), ident.Adapter(values["adapter"]))]
	row.Weight = max(row.Weight, 1)
	for name, text := range values {
		if err := setCell(&row, name, text); err != nil {
			return line{}, err
		}
	}
	return line{row: row, pinned: values["row-version"] != ""}, nil
}

// setCell sets the field of a column from its text.
func setCell(row *rows.Row, name, text string) error {
	switch name {
	case "workspace":
		row.Workspace = ident.Workspace(text)
	case "adapter":
		row.Adapter = ident.Adapter(text)
	case "version":
		row.Version = ident.Version(text)
	case "previous":
		row.Previous = ident.Version(text)
	case "base":
		row.Base = ident.Service(text)
	case "weight":
		return setNumber(&row.Weight, name, text)
	case "max-running":
		return setNumber(&row.MaxRunning, name, text)
	case "max-rate":
		return setNumber(&row.MaxRate, name, text)
	case "row-version":
		return setNumber(&row.RowVersion, name, text)
	default:
		return fmt.Errorf("unknown column %q", name)
	}
	return nil
}

func setNumber[T uint32 | ident.RowVersion](field *T, name, text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || uint64(T(n)) != n {
		return fmt.Errorf("column %s: %q is not a whole number in range", name, text)
	}
	*field = T(n)
	return nil
}

// sheet reads a CSV file ("-" for standard input) and the rows in force.
func sheet(env *Env, r Remote, file string) ([]line, map[rows.RowKey]rows.Row, error) {
	t, err := r.rows(env, Selecting{})
	if err != nil {
		return nil, nil, err
	}
	old := map[rows.RowKey]rows.Row{}
	for _, row := range t.Rows {
		old[rows.KeyOf(row.Workspace, row.Adapter)] = row
	}
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, nil, coded(Usage, err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	list, err := readSheet(in, old)
	if err != nil {
		return nil, nil, coded(Usage, fmt.Errorf("%s: %w", file, err))
	}
	return list, old, nil
}

// same reports whether a line would change nothing.
func (l line) same(old rows.Row) bool {
	next := l.row
	next.RowVersion = old.RowVersion
	return next == old
}

// TableDiff shows what an import would change.
type TableDiff struct {
	Remote
	File string `arg:"" help:"CSV file with a header, or - for standard input."`
}

// change is one cell that differs.
type change struct {
	Key     rows.RowKey `json:"key"`
	Column  string      `json:"column"`
	InForce string      `json:"in-force"`
	File    string      `json:"file"`
}

// Run prints the differing cells.
func (c *TableDiff) Run(env *Env) error {
	list, old, err := sheet(env, c.Remote, c.File)
	if err != nil {
		return err
	}
	changes := []change{}
	for _, l := range list {
		changes = append(changes, differences(l, old)...)
	}
	if c.JSON {
		return printJSON(env.Out, changes)
	}
	if len(changes) == 0 {
		_, _ = fmt.Fprint(env.Out, texts.NoDifference)
	}
	for _, ch := range changes {
		_, _ = fmt.Fprintf(env.Out, "%s %s: %q -> %q\n", ch.Key, ch.Column, ch.InForce, ch.File)
	}
	return nil
}

func differences(l line, old map[rows.RowKey]rows.Row) []change {
	key := rows.KeyOf(l.row.Workspace, l.row.Adapter)
	if l.same(old[key]) {
		return nil
	}
	var before *rows.Row
	if row, ok := old[key]; ok {
		before = &row
	}
	was, now := cells(before), cells(&l.row)
	var list []change
	for i, name := range columns[:len(columns)-1] {
		if was[i] != now[i] {
			list = append(list, change{Key: key, Column: name, InForce: was[i], File: now[i]})
		}
	}
	return list
}
