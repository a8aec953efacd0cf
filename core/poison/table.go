// Package poison finds the parts of prompts that crash engines (poison requests, queries of death), and keeps which of them are
// suspected and which are blocked.
//
// A part is never blamed for the number of crashes alone, as all requests on an engine are lost with it. It must not have been
// written on lately, and engines must have crashed while it was the only suspect there.
package poison

import (
	"cmp"
	"maps"
	"slices"

	"shallotgap/core/ident"
)

// Part identifies a part of a prompt that several requests may share.
type Part string

// State defines how requests are handled whose prompt contains a part.
type State uint8

// The states of a part.
const (
	Suspect State = iota + 1 // runs one request at a time, beside no other suspect
	Blocked                  // runs no request
	OnTrial                  // was blocked; runs like a suspect, and is blocked again at the first crash
)

// String returns the name of the state for logs and operators.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Blocked:
		return "blocked"
	case OnTrial:
		return "on-trial"
	}
	return "unknown"
}

// Conditions under which a suspect is blocked.
const (
	// blockCrashes is the number of crashes with the part.
	blockCrashes = 3
	// blockAlone is the number of these crashes in which no other request was suspected, blockRequests that of different requests.
	blockAlone    = 2
	blockRequests = 2
	// blockSame is the number of crashes with no other suspect after which different requests are not needed.
	blockSame = 4
	// maxRecords limits the table, maxRequests the requests that are remembered of a part.
	maxRecords  = 256
	maxRequests = 4
	// maxInstances is the number of crashes that are remembered, so that each is counted once.
	maxInstances = 256
)

// Record is what is known of a part.
type Record struct {
	Part  Part  `json:"part"`
	State State `json:"state"`
	// Crashes counts the engines that crashed with the part among the suspects, Alone those with no other suspect.
	Crashes int `json:"crashes"`
	Alone   int `json:"alone"`
	// Requests are the first different requests that engines crashed under, by the part that is theirs alone.
	Requests []Part `json:"requests,omitempty"`
	// Blocks counts how often the part was blocked.
	Blocks int `json:"blocks,omitempty"`
	// Label names the path and caller of a whole request.
	Label string `json:"label,omitempty"`
	// With are the shared parts of the prompt of a whole request, Instances the endpoints that crashed under it.
	With      []Part           `json:"with,omitempty"`
	Instances []ident.Instance `json:"instances,omitempty"`
	// Since is the number of the change that added the record.
	Since uint64 `json:"since"`
}

// Listed is a record in the form in which operators see it.
type Listed struct {
	Part    Part   `json:"part"`
	State   string `json:"state"`
	Crashes int    `json:"crashes"`
	// Alone is the number of crashes with no other suspect, Blocks how often the part was blocked.
	Alone    int    `json:"alone"`
	Blocks   int    `json:"blocks"`
	Requests []Part `json:"requests"`
	// Label names the path and caller of a whole request.
	Label string `json:"label,omitempty"`
}

// ListRecords returns records in the form in which operators see them.
func ListRecords(records []Record) []Listed {
	list := []Listed{}
	for _, r := range records {
		list = append(list, Listed{Part: r.Part, State: r.State.String(), Crashes: r.Crashes, Alone: r.Alone, Blocks: r.Blocks, Requests: r.Requests, Label: r.Label})
	}
	return list
}

// Request is a request that had just begun to be answered when its engine crashed.
type Request struct {
	// Own is the last part of the prompt, which belongs to the request or its session.
	Own Part `json:"own"`
	// Parts are the other parts that were not written on lately.
	Parts []Part `json:"parts"`
	// Whole are the parts that stand for the whole request, Label names it to operators.
	Whole []Part `json:"whole,omitempty"`
	Label string `json:"label,omitempty"`
}

// Crash reports that an engine crashed.
type Crash struct {
	Instance ident.Instance `json:"instance"`
	Suspects []Request      `json:"suspects"`
}

// Command changes the table; one field is set.
type Command struct {
	Crash *Crash `json:"crash,omitempty"`
	// Clear removes suspects and parts on trial: an engine has written on them, or no engine crashed with them for long.
	Clear []Part `json:"clear,omitempty"`
	// Trial lets requests with a blocked part run again, one at a time.
	Trial Part `json:"trial,omitempty"`
	// Lift removes a part in any state; operators use it.
	Lift Part `json:"lift,omitempty"`
	// Repeated records crashes under one request.
	Repeated *Repeated `json:"repeated,omitempty"`
	// Key sets the key of the hashes that stand for requests, once.
	Key []byte `json:"key,omitempty"`
}

// Table is the replicated table of suspected and blocked parts. It has no clock: equal commands lead to equal tables.
type Table struct {
	// Changes counts the commands that had an effect.
	Changes uint64
	// Key is the key of the hashes that stand for requests; it is the same on all hosts.
	Key       []byte
	records   map[Part]Record
	instances []ident.Instance // the latest crashes, oldest first
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Part]Record{}} }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Get returns the record of a part.
func (t *Table) Get(p Part) (Record, bool) {
	r, ok := t.records[p]
	return r, ok
}

// List returns the records in order of their parts.
func (t *Table) List() []Record {
	list := make([]Record, 0, len(t.records))
	for _, p := range slices.Sorted(maps.Keys(t.records)) {
		list = append(list, t.records[p])
	}
	return list
}

// Apply carries out a command and reports whether it changed the table.
func (t *Table) Apply(c Command) bool {
	changed := false
	switch {
	case c.Crash != nil:
		changed = t.applyCrash(*c.Crash)
	case c.Trial != "":
		if r, ok := t.records[c.Trial]; ok && r.State == Blocked {
			r.State, changed = OnTrial, true
			t.records[c.Trial] = r
		}
	case c.Lift != "":
		changed = t.lift(c.Lift)
	case c.Repeated != nil:
		changed = t.applyRepeated(*c.Repeated)
	case len(c.Key) > 0:
		if changed = len(t.Key) == 0; changed {
			t.Key = c.Key
		}
	default:
		for _, p := range c.Clear {
			if r, ok := t.records[p]; ok && r.State != Blocked {
				delete(t.records, p)
				changed = true
			}
		}
	}
	if changed {
		t.Changes++
	}
	return changed
}

// applyCrash counts a crash for the parts of its suspects, once an instance.
func (t *Table) applyCrash(c Crash) bool {
	if slices.Contains(t.instances, c.Instance) {
		return false
	}
	t.instances = append(t.instances, c.Instance)
	t.instances = t.instances[max(0, len(t.instances)-maxInstances):]
	counted := map[Part]bool{}
	for _, q := range c.Suspects {
		for _, p := range q.Parts {
			r, known := t.records[p]
			if !known {
				r = Record{Part: p, State: Suspect, Since: t.Changes + 1}
			}
			if !slices.Contains(r.Requests, q.Own) && len(r.Requests) < maxRequests {
				r.Requests = append(slices.Clip(r.Requests), q.Own)
			}
			if !counted[p] {
				counted[p] = true
				r.Crashes++
				if len(c.Suspects) == 1 {
					r.Alone++
				}
			}
			t.records[p] = r.judged()
		}
	}
	t.trim()
	return true
}

// judged returns the record in the state that follows from its counts.
func (r Record) judged() Record {
	proved := r.Crashes >= blockCrashes && (r.Alone >= blockAlone && len(r.Requests) >= blockRequests || r.Alone >= blockSame)
	if r.State == OnTrial || (r.State == Suspect && proved) {
		r.State = Blocked
		r.Blocks++
	}
	return r
}

// trim drops the suspects with the fewest crashes, the oldest first, while the table is too large.
func (t *Table) trim() {
	for len(t.records) > maxRecords {
		list := t.List()
		slices.SortStableFunc(list, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Since, b.Since))
		})
		delete(t.records, list[0].Part)
	}
}

// rank orders records by their state: suspects are dropped first.
func (r Record) rank() int {
	if r.State == Suspect {
		return 0
	}
	return 1
}

// Snapshot is the stored form of a table, and the form in which hosts send it to each other.
type Snapshot struct {
	Changes   uint64           `json:"changes,omitempty"`
	Records   []Record         `json:"records,omitempty"`
	Instances []ident.Instance `json:"instances,omitempty"`
	Key       []byte           `json:"key,omitempty"`
}

// Snapshot returns the state of the table.
func (t *Table) Snapshot() Snapshot {
	return Snapshot{Changes: t.Changes, Records: t.List(), Instances: slices.Clone(t.instances), Key: t.Key}
}

// Restore returns the table that a snapshot was taken from.
func Restore(s Snapshot) *Table {
	t := NewTable()
	t.Changes, t.instances, t.Key = s.Changes, slices.Clone(s.Instances), s.Key
	for _, r := range s.Records {
		t.records[r.Part] = r
	}
	return t
}
