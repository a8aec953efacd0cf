package stand

import "sync/atomic"

// drainState records whether a stand-in is draining. The announcements of a draining stand-in set Leaving; it still serves
// every request.
type drainState struct{ leaving atomic.Bool }

// StartDrain starts the drain: all later announcements set Leaving.
func (l *drainState) StartDrain() { l.leaving.Store(true) }

func (l *drainState) isLeaving() bool { return l.leaving.Load() }
