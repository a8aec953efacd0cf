// Package clock reads the clock that decisions go by.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"shallotgap/core/ident"
)

// Boot returns the time since the machine started, the time that it was suspended included. Go's own monotonic clock
// leaves that out, so a lease would seem to hold on a host that was asleep past its end.
func Boot() ident.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return ident.Time(time.Since(started))
	}
	return ident.Time(t.Nano())
}

// started stands in on systems without the clock.
var started = time.Now()
