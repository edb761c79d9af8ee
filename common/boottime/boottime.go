// Package boottime reads a clock that advances while the machine is suspended.
// Leases and message ages use it: Go's monotonic clock stops during a suspension,
// so that a resumed process would take an expired lease for a valid one.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since boot, including time in suspension.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME. It does not fail on Linux.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
