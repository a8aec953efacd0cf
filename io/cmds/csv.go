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

// TableExport is the command that prints rows as CSV.
type TableExport struct {
	Remote
	RowFilter
}

// Run prints the rows. With the row-version column a later import detects rows that were changed after the export.
func (c *TableExport) Run(env *Env) error {
	t, err := c.rows(env, c.RowFilter)
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

// csvLine is a row parsed from one line of a CSV file.
type csvLine struct {
	number int // line number in the file, counted from 1
	row    rows.Row
	// hasRowVersion is true if the line sets row-version, the version that its change is based on.
	hasRowVersion bool
}

// parseCSV parses CSV with a header of column names in any order. Fields without a column keep the value of the row in force,
// from the map inForce.
func parseCSV(in io.Reader, inForce map[rows.RowKey]rows.Row) ([]csvLine, error) {
	r := csv.NewReader(in)
	header, err := r.Read()
	if err != nil {
		return nil, fmt.Errorf("read the header: %w", err)
	}
	var list []csvLine
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
		l, err := parseLine(header, record, inForce)
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

// parseLine parses one record. Missing columns and empty numeric cells keep the value of the row in force; a new row has
// weight 1 by default.
func parseLine(header, record []string, inForce map[rows.RowKey]rows.Row) (csvLine, error) {
	values := map[string]string{}
	for i, name := range header {
		values[strings.TrimSpace(name)] = strings.TrimSpace(record[i])
	}
	row := inForce[rows.KeyOf(ident.Workspace(values["workspace"]), ident.Adapter(values["adapter"]))]
	row.Weight = max(row.Weight, 1)
	for name, text := range values {
		if err := setCell(&row, name, text); err != nil {
			return csvLine{}, err
		}
	}
	return csvLine{row: row, hasRowVersion: values["row-version"] != ""}, nil
}

// setCell parses text into the row's field for a column.
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

// setNumber parses text into a numeric field; an empty text leaves the field unchanged.
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

// loadCSV returns the lines of a CSV file ("-" for standard input) and the rows in force by key.
func loadCSV(env *Env, r Remote, file string) ([]csvLine, map[rows.RowKey]rows.Row, error) {
	t, err := r.rows(env, RowFilter{})
	if err != nil {
		return nil, nil, err
	}
	inForce := map[rows.RowKey]rows.Row{}
	for _, row := range t.Rows {
		inForce[rows.KeyOf(row.Workspace, row.Adapter)] = row
	}
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, nil, withCode(Usage, err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	list, err := parseCSV(in, inForce)
	if err != nil {
		return nil, nil, withCode(Usage, fmt.Errorf("%s: %w", file, err))
	}
	return list, inForce, nil
}

// unchanged reports whether the line equals the row in force. Row versions are not compared.
func (l csvLine) unchanged(inForce rows.Row) bool {
	row := l.row
	row.RowVersion = inForce.RowVersion
	return row == inForce
}

// TableDiff is the command that shows the changes that an import would make.
type TableDiff struct {
	Remote
	File string `arg:"" help:"CSV file with a header, or - for standard input."`
}

// cellChange is a cell whose value in the CSV file differs from the value in force.
type cellChange struct {
	Key     rows.RowKey `json:"key"`
	Column  string      `json:"column"`
	InForce string      `json:"in-force"`
	File    string      `json:"file"`
}

// Run prints the cells that an import would change.
func (c *TableDiff) Run(env *Env) error {
	list, inForce, err := loadCSV(env, c.Remote, c.File)
	if err != nil {
		return err
	}
	changes := []cellChange{}
	for _, l := range list {
		changes = append(changes, diffCells(l, inForce)...)
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

// diffCells returns the cells in which a line differs from the row in force, without row-version.
func diffCells(l csvLine, inForce map[rows.RowKey]rows.Row) []cellChange {
	key := rows.KeyOf(l.row.Workspace, l.row.Adapter)
	if l.unchanged(inForce[key]) {
		return nil
	}
	var before *rows.Row
	if row, ok := inForce[key]; ok {
		before = &row
	}
	oldCells, newCells := cells(before), cells(&l.row)
	var list []cellChange
	for i, name := range columns[:len(columns)-1] {
		if oldCells[i] != newCells[i] {
			list = append(list, cellChange{Key: key, Column: name, InForce: oldCells[i], File: newCells[i]})
		}
	}
	return list
}
