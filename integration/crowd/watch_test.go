package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

// sampleInterval is the interval at which the open descriptors are counted.
const sampleInterval = 10 * time.Millisecond

// watch observes a process while a crowd is there.
type watch struct {
	t       *testing.T
	process *harness.Process
	bound   resources
	pid     int
	stop    chan struct{}
	once    sync.Once // closes stop
	wg      sync.WaitGroup
	// mostDescriptors is owned by the sampling goroutine until stop is closed.
	mostDescriptors int
}

func startWatch(t *testing.T, p *harness.Process, bound resources) *watch {
	w := &watch{t: t, process: p, bound: bound, pid: p.PID(), stop: make(chan struct{})}
	w.wg.Go(func() {
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)); err == nil {
				w.mostDescriptors = max(w.mostDescriptors, len(entries))
			}
			select {
			case <-w.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	t.Cleanup(w.end)
	return w
}

// end ends the sampling.
func (w *watch) end() {
	w.once.Do(func() { close(w.stop) })
	w.wg.Wait()
}

// check fails the test if the process has ended or has exceeded a bound.
func (w *watch) check() {
	w.t.Helper()
	w.end()
	if w.process.PID() != w.pid {
		out, errOut := w.process.Output()
		w.t.Fatalf("%s has ended: %v\n%s\n%s", w.process.Name, w.process.Err(), tail(out), tail(errOut))
	}
	peakKB := peakMemoryKB(w.t, w.pid)
	w.t.Logf("%s: peak memory %d MB, at most %d descriptors", w.process.Name, peakKB>>10, w.mostDescriptors)
	if peakKB > w.bound.memoryMB<<10 {
		w.t.Errorf("%s: the peak memory is %d MB, of %d MB of the VM", w.process.Name, peakKB>>10, w.bound.memoryMB)
	}
	if w.mostDescriptors > w.bound.descriptors {
		w.t.Errorf("%s: %d descriptors were open, of %d", w.process.Name, w.mostDescriptors, w.bound.descriptors)
	}
}

// tailBytes is how much of the output of an ended process is shown.
const tailBytes = 2000

func tail(s string) string { return s[max(0, len(s)-tailBytes):] }

// peakMemoryKB returns the largest resident memory that a process has had.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kb
		}
	}
	t.Fatal("the status of the process has no peak memory")
	return 0
}
