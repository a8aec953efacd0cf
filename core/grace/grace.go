// Package grace decides which requests a stopping host still takes.
package grace

import (
	"time"

	"shallotgap/core/ident"
)

// Stop is the end of a host.
type Stop struct {
	// CloseAt is the time at which requests that still run are ended.
	CloseAt ident.Time
}

// Admits reports whether a request may be taken, or sent to an endpoint, that has some time left: it must be over by CloseAt even if it uses
// all of that, as its answer would be cut otherwise. How long such requests usually take says nothing of this one. A nil receiver, of a host
// that does not stop, admits all.
func (s *Stop) Admits(now ident.Time, left time.Duration) bool {
	return s == nil || now.Add(left) <= s.CloseAt
}
