// Package clock reads the system clock used for leases, timeouts and deadlines.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"shallotgap/core/ident"
)

// Boot returns the time since the machine started, including time in suspend. Go's monotonic clock excludes suspend, so
// a host that was suspended past the end of its lease would still consider the lease valid.
func Boot() ident.Time {
	if read := replacement.Load(); read != nil {
		return (*read)()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return ident.Time(time.Since(started))
	}
	return ident.Time(t.Nano())
}

// started is the origin of Boot on systems without CLOCK_BOOTTIME.
var started = time.Now()

// replacement is the clock that Boot reads instead of the system clock; nil for none.
var replacement atomic.Pointer[func() ident.Time]

// Replace makes Boot read another clock, for runs in virtual time. The returned function restores the system clock.
func Replace(read func() ident.Time) (restore func()) {
	replacement.Store(&read)
	return func() { replacement.Store(nil) }
}
