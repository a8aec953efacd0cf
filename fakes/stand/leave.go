package stand

import "sync/atomic"

// leaver lets a stand-in shut down gracefully: it says so in its announcements and serves what comes.
type leaver struct{ leaving atomic.Bool }

// StartDrain begins the graceful shutdown.
func (l *leaver) StartDrain() { l.leaving.Store(true) }

func (l *leaver) leaves() bool { return l.leaving.Load() }
