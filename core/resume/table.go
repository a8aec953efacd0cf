// Package resume keeps which build of a service wrote to each stream, so that the stream goes on at that build only. What two builds
// write does not fit together, and endpoints do not check it.
package resume

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// Attempt is the id of one attempt of a caller at a request; callers name the attempt that brought the first event of a stream.
type Attempt string

// Record tells which build an attempt was sent to.
type Record struct {
	Attempt Attempt `json:"attempt"`
	// Service is empty if the attempt was sent to several services.
	Service ident.Service `json:"service"`
	Build   ident.Build   `json:"build,omitempty"`
	// Wrote is true if endpoints of that build are known to have written the first event. Otherwise the attempt was only sent there.
	Wrote bool `json:"wrote,omitempty"`
	// Unclear is true if the attempt was sent to several builds, and it is not known which of them wrote the first event.
	Unclear bool `json:"unclear,omitempty"`
	// Age is the time since the attempt, for hosts with other clocks.
	Age time.Duration `json:"age,omitempty"`
}

// Table holds the records of the attempts of the last Life.
type Table struct {
	// Life is how long a record is kept: the longest time that a stream can last.
	Life time.Duration
	// Capacity is the largest number of records; the oldest are dropped first.
	Capacity int
	// Dropped counts the records that were dropped before the end of their life.
	Dropped int
	records map[Attempt]entry
	// order holds the attempts in order of their first record.
	order []queued
}

// entry is a record with the time of its attempt.
type entry struct {
	Record
	at ident.Time
}

type queued struct {
	attempt Attempt
	at      ident.Time
}

// NewTable returns an empty table.
func NewTable(life time.Duration, capacity int) *Table {
	return &Table{Life: life, Capacity: capacity, records: map[Attempt]entry{}}
}

// Add adds what is known of an attempt. A record of the build that wrote the first event replaces one that only says where the attempt
// was sent to; two of the latter with different builds make the attempt unclear.
func (t *Table) Add(r Record, now ident.Time) {
	at := now.Add(-r.Age)
	r.Age = 0
	t.expire(now)
	if now.Sub(at) > t.Life {
		return
	}
	known, found := t.records[r.Attempt]
	switch {
	case !found:
		t.order = append(t.order, queued{attempt: r.Attempt, at: at})
		known = entry{Record: r, at: at}
	case r.Wrote:
		known.Record = r
	case !known.Wrote:
		known.Unclear = known.Unclear || r.Unclear || known.Build != r.Build || known.Service != r.Service
		if known.Service != r.Service {
			known.Service = ""
		}
	}
	t.records[r.Attempt] = known
	for len(t.records) > t.Capacity {
		t.dropOldest()
		t.Dropped++
	}
}

// Get returns the record of an attempt.
func (t *Table) Get(a Attempt, now ident.Time) (Record, bool) {
	t.expire(now)
	e, found := t.records[a]
	return e.Record, found
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// List returns the records that match, oldest first, with their ages.
func (t *Table) List(match func(Record) bool, now ident.Time) []Record {
	t.expire(now)
	var list []Record
	for _, q := range t.order {
		if e := t.records[q.attempt]; match(e.Record) {
			e.Age = now.Sub(e.at)
			list = append(list, e.Record)
		}
	}
	return list
}

// expire drops the records whose life is over. A record that another host passed on may be dropped late, after those before it.
func (t *Table) expire(now ident.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].at) > t.Life {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	delete(t.records, t.order[0].attempt)
	t.order = t.order[1:]
}

// Limits of tables.
const (
	// Capacity is enough for the streams of the largest deployment that is planned for: thousands at once, for some tens of seconds.
	Capacity = 1 << 16
	// minLife covers the attempts of a caller whose route has a short limit.
	minLife = 30 * time.Second
	// lifeMargin is the time after the limit of a route in which a caller may still take its stream up again.
	lifeMargin = 5 * time.Second
)

// LifeOf returns how long records are kept under a layout, which may be nil.
func LifeOf(l *layout.Layout) time.Duration {
	life := minLife
	if l == nil {
		return life
	}
	for _, r := range l.Routes {
		if r.Kind == layout.Stream {
			life = max(life, r.Timeout+lifeMargin)
		}
	}
	return life
}
