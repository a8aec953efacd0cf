// Package rows is the operators' table: one row per workspace and adapter, with version, weight and limits. Edits use
// optimistic concurrency: each edit names the row version that it replaces.
package rows

import (
	"errors"
	"fmt"

	"shallotgap/core/ident"
	"shallotgap/core/table"
)

// RowKey identifies a row in the form "workspace/adapter".
type RowKey string

// KeyOf returns the key of a workspace's row for an adapter.
func KeyOf(w ident.Workspace, a ident.Adapter) RowKey { return RowKey(string(w) + "/" + string(a)) }

// Row permits a workspace to run an adapter, with the workspace's share of the capacity and its limits.
type Row struct {
	Workspace ident.Workspace `json:"workspace"`
	Adapter   ident.Adapter   `json:"adapter"`
	// Version is the current version; Previous can still be requested while callers move to the current one.
	Version  ident.Version `json:"version"`
	Previous ident.Version `json:"previous,omitempty"`
	// Base is the base model of the adapter; empty where all engines run the same base model.
	Base ident.Service `json:"base,omitempty"`
	// Weight is the workspace's share of the capacity relative to other workspaces; at least 1.
	Weight uint32 `json:"weight"`
	// MaxRunning limits the concurrent requests; 0 means no limit.
	MaxRunning uint32 `json:"max-running,omitempty"`
	// MaxRate limits the requests per second; 0 means no limit.
	MaxRate uint32 `json:"max-rate,omitempty"`
	// RowVersion is the log index of the edit that wrote this content.
	RowVersion ident.RowVersion `json:"row-version"`
}

// Serves reports whether v is the current or the previous version of the row.
func (r Row) Serves(v ident.Version) bool {
	return v != "" && (v == r.Version || v == r.Previous)
}

// Edit is one change by an operator. From is the row version that the operator saw; 0 for a new row.
type Edit struct {
	ID   ident.EditID     `json:"id"`
	Key  RowKey           `json:"key"`
	From ident.RowVersion `json:"from"`
	// Row is the new content; nil deletes the row.
	Row *Row `json:"row,omitempty"`
}

// Verdict is the outcome of an edit.
type Verdict string

// The verdicts of an edit.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
	Invalid  Verdict = "invalid"
)

// Result is the reply to an edit; an edit that is resent under the same id gets the first result.
type Result struct {
	Verdict Verdict     `json:"verdict"`
	Index   ident.Index `json:"index"`
	// Current is the row after the edit, or the row that an edit conflicts with; nil when there is none.
	Current *Row   `json:"current,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Change is one accepted edit in the history.
type Change struct {
	Index ident.Index `json:"index"`
	Edit  Edit        `json:"edit"`
}

// Limits of the table.
const (
	MaxResults = 100_000 // edits whose result is kept for when the edit is resent
	MaxHistory = 10_000  // accepted edits kept in the history
	MaxWeight  = 1_000_000
	MaxNameLen = 200 // bytes of a workspace, adapter, version or base model name
)

// Table is the replicated state machine of the operators' table.
type Table struct {
	rows    *table.Table[RowKey, Row]
	results *table.BoundedMap[ident.EditID, Result]
	history []Change
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: table.New[RowKey, Row](), results: table.NewBoundedMap[ident.EditID, Result](MaxResults)}
}

// Get returns the row under k and whether there is one.
func (t *Table) Get(k RowKey) (Row, bool) { return t.rows.Get(k) }

// Len returns the number of rows.
func (t *Table) Len() int { return t.rows.Len() }

// List returns all rows in key order.
func (t *Table) List() []Row {
	list := make([]Row, 0, t.rows.Len())
	for _, r := range t.rows.All() {
		list = append(list, r)
	}
	return list
}

// History returns the latest accepted edits, oldest first.
func (t *Table) History() []Change { return t.history }

// Apply validates and applies the edit at log index i. A resent edit changes nothing and gets the first result.
func (t *Table) Apply(i ident.Index, e Edit) Result {
	if first, ok := t.results.Get(e.ID); ok {
		return first
	}
	res := t.decide(i, e)
	t.results.Put(e.ID, res)
	return res
}

// ApplyAccepted applies an edit that the voters have accepted at log index i. It stores no result, as hosts without a data
// folder never answer an edit.
func (t *Table) ApplyAccepted(i ident.Index, e Edit) { t.accept(i, e) }

// decide returns the verdict on an edit and applies an accepted edit.
func (t *Table) decide(i ident.Index, e Edit) Result {
	if err := Check(e); err != nil {
		return Result{Verdict: Invalid, Index: i, Reason: err.Error()}
	}
	current, exists := t.rows.Get(e.Key)
	if current.RowVersion != e.From {
		return conflictWith(i, current, exists)
	}
	return Result{Verdict: Accepted, Index: i, Current: t.accept(i, e)}
}

// accept changes the row and returns its new content, or nil if the edit deletes the row.
func (t *Table) accept(i ident.Index, e Edit) *Row {
	t.history = appendBounded(t.history, Change{Index: i, Edit: e}, MaxHistory)
	if e.Row == nil {
		t.rows.Delete(e.Key)
		return nil
	}
	next := *e.Row
	next.RowVersion = ident.RowVersion(i)
	t.rows.Put(e.Key, next)
	return &next
}

func conflictWith(i ident.Index, current Row, exists bool) Result {
	res := Result{Verdict: Conflict, Index: i, Reason: "the row was changed meanwhile"}
	if exists {
		res.Current = &current
	}
	return res
}

func appendBounded[T any](list []T, item T, limit int) []T {
	list = append(list, item)
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

// Check returns an error if the edit is malformed.
func Check(e Edit) error {
	if e.ID == "" {
		return errors.New("edit: no edit id")
	}
	if e.Row == nil {
		return nil
	}
	r := e.Row
	if r.Workspace == "" || r.Adapter == "" || r.Version == "" {
		return errors.New("edit: workspace, adapter and version must be set")
	}
	if KeyOf(r.Workspace, r.Adapter) != e.Key {
		return fmt.Errorf("edit: key %s does not match the row", e.Key)
	}
	if r.Weight < 1 || r.Weight > MaxWeight {
		return fmt.Errorf("edit: weight %d is outside 1 to %d", r.Weight, MaxWeight)
	}
	if max(len(r.Workspace), len(r.Adapter), len(r.Version), len(r.Previous), len(r.Base)) > MaxNameLen {
		return fmt.Errorf("edit: a name is longer than %d bytes", MaxNameLen)
	}
	return nil
}

// Snapshot is the whole table in its stored form.
type Snapshot struct {
	Rows    []Row          `json:"rows"`
	Edits   []ident.EditID `json:"edits"`
	Results []Result       `json:"results"`
	History []Change       `json:"history"`
}

// Snapshot returns a copy of the table's content, with the results of earlier edits if withResults is set.
func (t *Table) Snapshot(withResults bool) Snapshot {
	s := Snapshot{Rows: t.List(), History: append([]Change(nil), t.history...)}
	if !withResults {
		return s
	}
	s.Edits = t.results.Keys()
	s.Results = t.results.Values()
	return s
}

// Restore returns the table with the content of s.
func Restore(s Snapshot) *Table {
	t := New()
	for _, r := range s.Rows {
		t.rows.Put(KeyOf(r.Workspace, r.Adapter), r)
	}
	t.results.Restore(s.Edits, s.Results)
	t.history = s.History
	return t
}
