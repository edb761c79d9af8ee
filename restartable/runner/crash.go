package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Crash says that the process of a target has ended with runs on it, or that the
// target has not answered until all of its leases had expired.
type Crash struct {
	Target Target
	// Reason is that of the lost runs.
	Reason task.Reason
	// Runs are the lost runs, the latest start first.
	Runs []LostRun
}

// LostRun is a run that ended because its target went down.
type LostRun struct {
	Attempt Attempt
	// Age is the time from the run's start to the first sign of the crash.
	Age time.Duration
}

// CallFailed records that a call to the target got no answer. The first one since
// the last answer is the first sign of a crash.
func (c *Core) CallFailed(now time.Duration) {
	if !c.silent {
		c.silent, c.silentSince = true, now
	}
}

// loseRuns reports the started runs that lost selects as lost, and the crash of
// their target.
func (c *Core) loseRuns(now time.Duration, reason task.Reason, lost func(*run) bool) {
	signAt := now
	if c.silent {
		signAt = c.silentSince
	}
	crash := Crash{Target: c.target, Reason: reason}
	for _, r := range c.sortedRuns() {
		if r.state == queued || !lost(r) {
			continue
		}
		crash.Runs = append(crash.Runs, LostRun{Attempt{r.Task, r.Attempt}, max(signAt-r.startedAt, 0)})
		c.finish(now, r, task.Lost, reason)
	}
	if len(crash.Runs) == 0 {
		return
	}
	slices.SortStableFunc(crash.Runs, func(a, b LostRun) int { return cmp.Compare(a.Age, b.Age) })
	c.out.Crashes = append(c.out.Crashes, crash)
}
