// Package rows is the operators' table: rows of adapters with weight and limits, changed by versioned edits.
package rows

import (
	"errors"
	"fmt"

	"shallotgap/core/ident"
	"shallotgap/core/table"
)

// RowKey names a row: a workspace and an adapter in the form "workspace/adapter".
type RowKey string

// KeyOf returns the key of a workspace's row for an adapter.
func KeyOf(w ident.Workspace, a ident.Adapter) RowKey { return RowKey(string(w) + "/" + string(a)) }

// Row is one line of the table: what a workspace may run and with what share.
type Row struct {
	Workspace ident.Workspace `json:"workspace"`
	Adapter   ident.Adapter   `json:"adapter"`
	// Version is the version in force; Previous stays callable while callers move on.
	Version  ident.Version `json:"version"`
	Previous ident.Version `json:"previous,omitempty"`
	// Base is the base model that the adapter belongs to; empty where all engines run the same one.
	Base ident.Service `json:"base,omitempty"`
	// Weight is the share against other workspaces; at least 1.
	Weight uint32 `json:"weight"`
	// MaxRunning limits the requests running at once; 0 means no limit.
	MaxRunning uint32 `json:"max-running,omitempty"`
	// MaxRate limits the requests a second; 0 means no limit.
	MaxRate uint32 `json:"max-rate,omitempty"`
	// RowVersion is the log index of the edit that wrote this content.
	RowVersion ident.RowVersion `json:"row-version"`
}

// Serves reports whether the row lets version v run.
func (r Row) Serves(v ident.Version) bool {
	return v != "" && (v == r.Version || v == r.Previous)
}

// Edit is one operator change, made against the row version that the operator saw.
type Edit struct {
	ID   ident.EditID     `json:"id"`
	Key  RowKey           `json:"key"`
	From ident.RowVersion `json:"from"`
	// Row is the new content; nil deletes the row.
	Row *Row `json:"row,omitempty"`
}

// Verdict tells how an edit ended.
type Verdict string

// The verdicts of an edit.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
	Invalid  Verdict = "invalid"
)

// Result is the answer to an edit; a resent edit id gets the first result again.
type Result struct {
	Verdict Verdict     `json:"verdict"`
	Index   ident.Index `json:"index"`
	// Current is the row after the edit, or the row that an edit conflicts with; nil when there is none.
	Current *Row   `json:"current,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Change is one accepted edit as the history keeps it.
type Change struct {
	Index ident.Index `json:"index"`
	Edit  Edit        `json:"edit"`
}

// Bounds on what the table remembers and accepts.
const (
	MaxResults = 100_000 // edit ids whose first result is kept
	MaxHistory = 10_000  // accepted edits kept for the history
	MaxWeight  = 1_000_000
	MaxNameLen = 200 // bytes of a workspace, adapter or version name
)

// Table is the deterministic state machine of the operators' table.
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

// Apply runs the edit at log position i and returns its result.
func (t *Table) Apply(i ident.Index, e Edit) Result {
	if first, ok := t.results.Get(e.ID); ok {
		return first
	}
	res := t.decide(i, e)
	t.results.Put(e.ID, res)
	return res
}

// ApplyAccepted puts an edit in force that the voters have accepted at log position i. It keeps no result, as the hosts
// that follow never judge an edit.
func (t *Table) ApplyAccepted(i ident.Index, e Edit) { t.accept(i, e) }

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

// accept changes the row and returns its new content, nil when it was deleted.
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

// Check tells whether the edit is well formed.
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

// Snapshot is the whole table in a form that can be stored.
type Snapshot struct {
	Rows    []Row          `json:"rows"`
	Edits   []ident.EditID `json:"edits"`
	Results []Result       `json:"results"`
	History []Change       `json:"history"`
}

// Snapshot returns a copy of the table's content; the results of edits are left out for hosts that only follow.
func (t *Table) Snapshot(results bool) Snapshot {
	s := Snapshot{Rows: t.List(), History: append([]Change(nil), t.history...)}
	if !results {
		return s
	}
	s.Edits = t.results.Keys()
	s.Results = t.results.Values()
	return s
}

// Restore returns the table that s was taken from.
func Restore(s Snapshot) *Table {
	t := New()
	for _, r := range s.Rows {
		t.rows.Put(KeyOf(r.Workspace, r.Adapter), r)
	}
	t.results.Restore(s.Edits, s.Results)
	t.history = s.History
	return t
}
