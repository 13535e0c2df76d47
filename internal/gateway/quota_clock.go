package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, counted from the zero of Unix time. Unlike the monotonic clock it
// goes on while the machine is suspended, so that leases expire meanwhile.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // not on Linux 2.6.39 and later
	}
	return time.Unix(t.Unix())
}
