package rows

import (
	"strings"

	"shallotgap/core/ident"
)

// Query selects rows; empty fields select all.
type Query struct {
	Workspace ident.Workspace
	// Text is a substring of the key, the current version or the previous version.
	Text string
	// After is the last key of the preceding page; "" for the first page.
	After RowKey
	// Limit is the largest number of rows to return; 0 means no limit.
	Limit int
}

func (q Query) selects(k RowKey, r Row) bool {
	if k <= q.After || (q.Workspace != "" && r.Workspace != q.Workspace) {
		return false
	}
	for _, s := range []string{string(k), string(r.Version), string(r.Previous)} {
		if strings.Contains(s, q.Text) {
			return true
		}
	}
	return false
}

// Search returns the selected rows in key order. next is the value of After for the following page, "" if there is none.
func (t *Table) Search(q Query) (list []Row, next RowKey) {
	for k, r := range t.rows.All() {
		if !q.selects(k, r) {
			continue
		}
		if q.Limit > 0 && len(list) == q.Limit {
			last := list[len(list)-1]
			return list, KeyOf(last.Workspace, last.Adapter)
		}
		list = append(list, r)
	}
	return list, ""
}
