// Package boottime reads a clock that goes on while the machine is suspended.
// Leases and the age of messages use it: Go's monotonic clock stands still during
// a suspension, so that a resumed process would take an old promise for a fresh
// one.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine's boot.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME. It does not fail on Linux.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
