package quorum

import "shallotgap/core/ident"

// Log is the in-memory part of the replicated log: a snapshot and the entries after it.
type Log struct {
	snap    Snapshot
	entries []Entry
	// stable is the last index known to be durable on this host's disk.
	stable ident.Index
	commit ident.Index
}

// NewLog returns the log as it was read back from the disk; all of it counts as durable.
func NewLog(snap Snapshot, entries []Entry) *Log {
	l := &Log{snap: snap, entries: entries, commit: snap.Index}
	l.stable = l.last()
	return l
}

func (l *Log) last() ident.Index { return l.snap.Index + ident.Index(len(l.entries)) }

func (l *Log) lastTerm() ident.Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at i, and false when i is before the snapshot or after the end.
func (l *Log) term(i ident.Index) (ident.Term, bool) {
	switch {
	case i == l.snap.Index:
		return l.snap.Term, true
	case i < l.snap.Index || i > l.last():
		return 0, false
	}
	return l.entries[i-l.snap.Index-1].Term, true
}

// slice returns the entries after i, at most limit of them. i must not be before the snapshot.
func (l *Log) slice(i ident.Index, limit int) []Entry {
	rest := l.entries[i-l.snap.Index:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return rest
}

// appended tells what appendAfter did.
type appended struct {
	last    ident.Index // last index that the entries reach
	changed ident.Index // index from which on the log changed; 0 when it did not
	dropped bool        // whether conflicting entries were dropped
}

// appendAfter stores entries that follow prev, dropping conflicting ones.
func (l *Log) appendAfter(prev ident.Index, entries []Entry) appended {
	for n, e := range entries {
		if e.Index <= l.snap.Index {
			continue
		}
		if term, ok := l.term(e.Index); ok && term == e.Term {
			continue
		}
		dropped := e.Index <= l.last()
		if dropped {
			l.truncate(e.Index - 1)
		}
		l.entries = append(l.entries, entries[n:]...)
		return appended{last: l.last(), changed: e.Index, dropped: dropped}
	}
	return appended{last: prev + ident.Index(len(entries))}
}

func (l *Log) truncate(last ident.Index) {
	keep := last - l.snap.Index
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, last)
}

// upToDate reports whether a log ending at index and term holds at least what this one does.
func (l *Log) upToDate(index ident.Index, term ident.Term) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}

// compact replaces the entries up to s.Index by s.
func (l *Log) compact(s Snapshot) {
	if s.Index <= l.snap.Index {
		return
	}
	var rest []Entry
	if s.Index < l.last() {
		rest = append(rest, l.entries[s.Index-l.snap.Index:]...)
	}
	l.snap = s
	l.entries = rest
	l.commit = max(l.commit, s.Index)
	l.stable = max(l.stable, s.Index)
}

// members returns the membership of the latest config entry.
func (l *Log) members() (Members, ident.Index) {
	for n := len(l.entries) - 1; n >= 0; n-- {
		if l.entries[n].Kind == Config {
			return l.entries[n].Members, l.entries[n].Index
		}
	}
	return l.snap.Members, l.snap.Index
}
