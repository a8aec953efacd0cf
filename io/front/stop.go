package front

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// DrainDeadlines tells when a host that was told to end takes and cuts requests.
type DrainDeadlines struct {
	// AdmitLongUntil is until when requests are taken that may outlast the end.
	AdmitLongUntil ident.Time
	// CloseAt is when what still runs is cut.
	CloseAt ident.Time
}

// takes reports whether a request that may take so long is taken at the given time.
func (s *DrainDeadlines) takes(now ident.Time, need time.Duration) bool {
	return s == nil || now < s.AdmitLongUntil || now.Add(need) <= s.CloseAt
}

// Drain tells the control hosts that callers should go elsewhere, and bounds what is still taken here.
func (f *Front) Drain(s DrainDeadlines) {
	f.stop.Store(&s)
	f.sayPresence()
}

// Draining reports whether the host is to stop.
func (f *Front) Draining() bool { return f.stop.Load() != nil }

// stopPause is the pause for callers that a stopping host turns away: they go to another host at once.
const stopPause = 10 * time.Millisecond

// outlasts reports whether a request may not have ended when this host does.
func (x *exchange) outlasts() bool {
	return !x.stop.Load().takes(clock.Boot(), x.left())
}
