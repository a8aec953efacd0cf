package poison

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Evidence remembers under which requests endpoints have crashed, on a leader or on an entry host.
type Evidence struct {
	seen map[Part]sighting
}

// sighting is what is known of one request.
type sighting struct {
	label string
	// instances are the endpoints that crashed under the request.
	instances []ident.Instance
	at        ident.Time
}

// Limits of evidence.
const (
	evidenceLife = suspectLife
	// maxEvidence is the number of requests that are remembered; a crash adds those that ran on the endpoint, some tens.
	maxEvidence = 4096
)

// NewEvidence returns an empty memory.
func NewEvidence() *Evidence { return &Evidence{seen: map[Part]sighting{}} }

// Add records that endpoints crashed under a request, and returns all of them.
func (e *Evidence) Add(p Part, label string, now ident.Time, crashed ...ident.Instance) []ident.Instance {
	s, known := e.seen[p]
	if !known || now.Sub(s.at) > evidenceLife {
		s = sighting{label: label}
	}
	for _, i := range crashed {
		if !slices.Contains(s.instances, i) {
			s.instances = keepLatest(append(slices.Clip(s.instances), i))
		}
	}
	s.at = now
	e.seen[p] = s
	if len(e.seen) > maxEvidence {
		e.trim()
	}
	return s.instances
}

// Count returns the number of crashes under a request, and the time of the latest one.
func (e *Evidence) Count(p Part, now ident.Time) (int, ident.Time) {
	s, known := e.seen[p]
	if !known || now.Sub(s.at) > evidenceLife {
		return 0, 0
	}
	return len(s.instances), s.at
}

// Len returns the number of requests that are remembered.
func (e *Evidence) Len() int { return len(e.seen) }

// Clear forgets requests: an endpoint has answered them.
func (e *Evidence) Clear(parts ...Part) {
	for _, p := range parts {
		delete(e.seen, p)
	}
}

// Forget drops what is older than its life.
func (e *Evidence) Forget(now ident.Time) {
	maps.DeleteFunc(e.seen, func(_ Part, s sighting) bool { return now.Sub(s.at) > evidenceLife })
}

// trim drops the older half.
func (e *Evidence) trim() {
	list := slices.SortedFunc(maps.Keys(e.seen), func(a, b Part) int { return int(e.seen[a].at - e.seen[b].at) })
	e.Clear(list[:len(list)/2]...)
}

// Crashes returns the evidence as reports, for a new leader.
func (e *Evidence) Crashes(now ident.Time) []Crash {
	byInstance := map[ident.Instance]*Crash{}
	for _, p := range slices.Sorted(maps.Keys(e.seen)) {
		s := e.seen[p]
		if now.Sub(s.at) > evidenceLife {
			continue
		}
		for _, i := range s.instances {
			if byInstance[i] == nil {
				byInstance[i] = &Crash{Instance: i}
			}
			byInstance[i].Suspects = append(byInstance[i].Suspects, Request{Whole: []Part{p}, Label: s.label})
		}
	}
	var list []Crash
	for _, i := range slices.SortedFunc(maps.Keys(byInstance), ident.Instance.Compare) {
		list = append(list, *byInstance[i])
	}
	return list
}

// localSuspicion is how long a leader may take to put what a host has seen into the table; afterwards the table counts.
const localSuspicion = 3 * time.Second

// StateOf returns what a host does with a request: by the table and, without a leader or until the leader has judged, by what the host
// saw or was told.
func (e *Evidence) StateOf(t *Table, parts []Part, led bool, now ident.Time) (State, Part) {
	var state State
	var worst Part
	for _, p := range parts {
		s := State(0)
		if r, known := t.Get(p); known {
			s = r.State
		} else if n, at := e.Count(p, now); n > 0 && (!led || now.Sub(at) < localSuspicion) {
			if s = Suspect; n >= blockRequestCrashes {
				s = Blocked
			}
		}
		if s != 0 && (state == 0 || s == Blocked) {
			state, worst = s, p
		}
	}
	return state, worst
}
