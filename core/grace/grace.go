// Package grace decides which requests a stopping host still takes, from how long such requests took lately.
package grace

import (
	"math"
	"time"

	"shallotgap/core/ident"
)

// Route names a kind of requests that take about as long as each other.
type Route string

const (
	// halfLife is the time in which the longest duration seen loses half of its weight.
	halfLife = 20 * time.Second
	// margin is the factor by which a request may take longer than the longest of its kind lately.
	margin = 1.25
	// maxRoutes bounds the routes that are remembered; the others count as unknown.
	maxRoutes = 4096
)

// longest is the longest duration of the requests of a route, as of a time.
type longest struct {
	took time.Duration
	at   ident.Time
}

// decayed returns the duration as it counts now.
func (l longest) decayed(now ident.Time) time.Duration {
	return time.Duration(float64(l.took) * math.Exp2(-now.Sub(l.at).Seconds()/halfLife.Seconds()))
}

// Durations are the longest durations of requests lately, by route.
type Durations struct{ routes map[Route]longest }

// NewDurations returns an empty table.
func NewDurations() *Durations { return &Durations{routes: map[Route]longest{}} }

// Note records how long a request took that got an answer of an endpoint.
func (d *Durations) Note(r Route, took time.Duration, now ident.Time) {
	l, known := d.routes[r]
	if !known && len(d.routes) >= maxRoutes {
		clear(d.routes) // routes come and go with the configuration
	}
	if took >= l.decayed(now) {
		d.routes[r] = longest{took: took, at: now}
	}
}

// Expect returns the longest time that a request should take which has some time left: all of it if nothing is known of its kind.
func (d *Durations) Expect(r Route, left time.Duration, now ident.Time) time.Duration {
	l, known := d.routes[r]
	if !known {
		return left
	}
	return min(left, time.Duration(float64(l.decayed(now))*margin))
}

// Stop is the end of a host.
type Stop struct {
	// CloseAt is the time at which requests that still run are ended.
	CloseAt ident.Time
}

// Admits reports whether a request may be taken, or sent to an endpoint, that is expected to take some time from now on; a nil receiver, of a
// host that does not stop, admits all.
func (s *Stop) Admits(now ident.Time, expected time.Duration) bool {
	return s == nil || now.Add(expected) <= s.CloseAt
}
