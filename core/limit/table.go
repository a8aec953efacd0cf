package limit

import (
	"maps"
	"slices"

	"shallotgap/core/ident"
)

// Command changes the table.
type Command struct {
	Set  []Record         `json:"set,omitempty"`
	Drop []ident.Instance `json:"drop,omitempty"`
}

// Table is the replicated table of limits. It has no clock: equal commands lead to equal tables.
type Table struct {
	// Changes counts the commands that had an effect.
	Changes uint64
	records map[ident.EndpointID]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[ident.EndpointID]Record{}} }

// Get returns the limit of an endpoint, unless it belongs to another instance.
func (t *Table) Get(i ident.Instance) (Record, bool) {
	r, ok := t.records[i.ID]
	return r, ok && r.Instance == i
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// List returns the records in order of their endpoints.
func (t *Table) List() []Record {
	list := make([]Record, 0, len(t.records))
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		list = append(list, t.records[id])
	}
	return list
}

// Apply carries out a command and reports whether it changed the table.
func (t *Table) Apply(c Command) bool {
	changed := false
	for _, r := range c.Set {
		if t.records[r.Instance.ID] != r {
			t.records[r.Instance.ID], changed = r, true
		}
	}
	for _, i := range c.Drop {
		if _, ok := t.Get(i); ok {
			delete(t.records, i.ID)
			changed = true
		}
	}
	if changed {
		t.Changes++
	}
	return changed
}

// Snapshot is the stored form of a table, and the form in which hosts send it to each other.
type Snapshot struct {
	Changes uint64   `json:"changes,omitempty"`
	Records []Record `json:"records,omitempty"`
}

// Snapshot returns the state of the table.
func (t *Table) Snapshot() Snapshot { return Snapshot{Changes: t.Changes, Records: t.List()} }

// Restore returns the table that a snapshot was taken from.
func Restore(s Snapshot) *Table {
	t := NewTable()
	t.Changes = s.Changes
	for _, r := range s.Records {
		t.records[r.Instance.ID] = r
	}
	return t
}
