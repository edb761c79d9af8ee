package experiment

import (
	"syscall"
	"time"
)

// ProcessCPU returns the user and system time that this process has used, or 0
// if they cannot be read.
func ProcessCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
