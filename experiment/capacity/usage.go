// Package capacity measures what each role costs: it runs gateways and agents
// as separate processes and reads their processor time, memory and bytes from
// the kernel while the fleet is idle, under load and during configuration
// changes.
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

// Usage is what a process has used since its start, and its memory now.
type Usage struct {
	CPU time.Duration
	// Bytes were read and written by system calls, which for these daemons are
	// almost only sockets.
	Bytes int64
	// Resident is the memory in bytes.
	Resident int64
}

// clockTick is the unit of processor time in /proc, which is 100 Hz on Linux.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// ReadUsage reads the usage of a process.
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

// procValue returns the number behind a key in a file of /proc/PID.
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

// Rate is the mean use of one process of a role during a window.
type Rate struct {
	// CorePercent is processor time in percent of one core.
	CorePercent float64
	// KBPerSecond are 1,000 bytes read and written a second.
	KBPerSecond float64
	// ResidentMB is the memory in 1,000,000 bytes.
	ResidentMB float64
}

// rates returns the mean rate of the processes between two readings.
func rates(before, after []Usage, window time.Duration) Rate {
	var r Rate
	n := float64(len(after))
	for i := range after {
		r.CorePercent += 100 * (after[i].CPU - before[i].CPU).Seconds() / window.Seconds() / n
		r.KBPerSecond += float64(after[i].Bytes-before[i].Bytes) / 1000 / window.Seconds() / n
		r.ResidentMB += float64(after[i].Resident) / 1e6 / n
	}
	return r
}
