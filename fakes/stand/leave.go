package stand

import "sync/atomic"

// drainState marks a stand-in as draining. Its announcements then set Leaving; it still serves every request.
type drainState struct{ leaving atomic.Bool }

// StartDrain starts the drain.
func (l *drainState) StartDrain() { l.leaving.Store(true) }

func (l *drainState) isLeaving() bool { return l.leaving.Load() }
