package quorum

import "shallotgap/core/ident"

// Log is the replicated log in memory: a snapshot and the entries after it.
type Log struct {
	snap    Snapshot
	entries []Entry
	// stable is the last index that is known to be durable on this host's disk.
	stable ident.Index
	commit ident.Index
}

// NewLog returns a log with the snapshot and entries that were read from disk; all of them count as durable.
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

// term returns the term of entry i, and false when i is before the snapshot's index or after the last entry.
func (l *Log) term(i ident.Index) (ident.Term, bool) {
	switch {
	case i == l.snap.Index:
		return l.snap.Term, true
	case i < l.snap.Index || i > l.last():
		return 0, false
	}
	return l.entries[i-l.snap.Index-1].Term, true
}

// entriesAfter returns at most limit entries after index i, which must not be before the snapshot's index.
func (l *Log) entriesAfter(i ident.Index, limit int) []Entry {
	rest := l.entries[i-l.snap.Index:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return rest
}

// appended is the result of appendAfter.
type appended struct {
	last    ident.Index // index of the last received entry
	changed ident.Index // first index at which the log changed; 0 for no change
	dropped bool        // whether entries that conflict with received ones were removed
}

// appendAfter stores entries received from the leader, the first at index prev+1. Conflicting entries are removed.
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

// upToDate reports whether a log whose last entry has the given index and term is at least as up-to-date as this log.
func (l *Log) upToDate(index ident.Index, term ident.Term) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}

// compact replaces the snapshot and the entries up to s.Index by s.
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

// members returns the latest membership and its index, from the last config entry or else from the snapshot.
func (l *Log) members() (Members, ident.Index) {
	for n := len(l.entries) - 1; n >= 0; n-- {
		if l.entries[n].Kind == Config {
			return l.entries[n].Members, l.entries[n].Index
		}
	}
	return l.snap.Members, l.snap.Index
}
