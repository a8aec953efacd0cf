// Package clock reads the system clock used for leases, timeouts and deadlines.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"shallotgap/core/ident"
)

// Boot returns the time since the machine started, including time in suspend. Go's monotonic clock excludes suspend, so
// a host that was suspended past the end of its lease would still consider the lease valid.
func Boot() ident.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return ident.Time(time.Since(started))
	}
	return ident.Time(t.Nano())
}

// started is the origin of Boot on systems without CLOCK_BOOTTIME.
var started = time.Now()
