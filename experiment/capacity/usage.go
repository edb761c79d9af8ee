// Package capacity measures what each role costs. It runs gateways and agents as
// separate processes and reads their processor time, memory and transferred bytes
// from /proc while the fleet is idle, under load and during configuration changes.
package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Usage holds the resources that a process has used since its start, and its
// current memory.
type Usage struct {
	// CPU is user and system time.
	CPU time.Duration
	// Bytes is the number of bytes read and written by system calls. Gateways and
	// agents do almost all of their I/O on sockets.
	Bytes int64
	// Resident is the resident memory in bytes.
	Resident int64
}

// clockTick is the unit of processor time in /proc: Linux reports it in ticks of
// 100 Hz.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat, counted from the one after the command
// name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	var u Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Wrap(err, "read process statistics")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, i := range []int{statUserTime, statSystemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, errors.Wrap(err, "parse processor time")
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	read, err := procValue(pid, "io", "rchar:")
	if err != nil {
		return u, err
	}
	written, err := procValue(pid, "io", "wchar:")
	if err != nil {
		return u, err
	}
	u.Bytes = read + written
	resident, err := procValue(pid, "status", "VmRSS:")
	if err != nil {
		return u, err
	}
	u.Resident = resident << 10
	return u, nil
}

// procValue returns the number after a key in a file of /proc/PID.
func procValue(pid int, file, key string) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, errors.Wrapf(err, "read %s", file)
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, key); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0, errors.Wrapf(err, "parse %s", key)
			}
			return n, nil
		}
	}
	return 0, errors.Errorf("no %s in %s", key, file)
}

// MeanUsage is the usage during a window, averaged over the processes of a role.
type MeanUsage struct {
	// CorePercent is the processor time in percent of one core.
	CorePercent float64
	// KBPerSecond is the bytes read and written per second, in units of 1,000.
	KBPerSecond float64
	// ResidentMB is the resident memory in units of 1,000,000 bytes.
	ResidentMB float64
}

// meanUsage averages the usage of the processes between two readings; the memory
// is that of the second reading.
func meanUsage(before, after []Usage, window time.Duration) MeanUsage {
	var r MeanUsage
	n := float64(len(after))
	for i := range after {
		r.CorePercent += 100 * (after[i].CPU - before[i].CPU).Seconds() / window.Seconds() / n
		r.KBPerSecond += float64(after[i].Bytes-before[i].Bytes) / 1000 / window.Seconds() / n
		r.ResidentMB += float64(after[i].Resident) / 1e6 / n
	}
	return r
}
