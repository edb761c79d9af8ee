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
	// At is when the loss of the runs was noticed.
	At time.Duration
	// Reason is that of the lost runs.
	Reason task.Reason
	// Runs are the lost runs, the latest start first.
	Runs []LostRun
}

// Certain reports whether the process of the target is known to have ended. A
// silent target may only be out of reach.
func (c *Crash) Certain() bool { return c.Reason != task.ReasonTargetSilent }

// LostRun is a run that ended because its target went down.
type LostRun struct {
	Attempt Attempt
	Queue   string
	// Accepted is set if the target had accepted the start and cannot have ended the run
	// before the crash. Otherwise the run may not have begun, or may have ended unseen.
	Accepted bool
	// Prior is the suspicion against the job before the crash.
	Prior float64
	// Age is the time from the run's start to the first sign of the crash. It is
	// negative if the run was started after that sign.
	Age time.Duration
	// Suspicion is the likelihood that a task of the run's job caused the crash.
	Suspicion float64
}

const (
	// suspicionHalfLife is the age at which a run is half as suspect as one that was
	// started immediately before a crash. It covers the time that may pass between a
	// crash and the next call to the target.
	suspicionHalfLife = 20 * time.Millisecond
	// minSuspicionWeight is the weight of the oldest runs: a task may also crash its
	// target late.
	minSuspicionWeight = 0.01
	// minPrior is the suspicion against a job for which nothing speaks.
	minPrior = 0.05
	// trialTime is how long the last start of a suspect job keeps others from starting:
	// two that run side by side would share the blame for a crash.
	trialTime = 100 * time.Millisecond
)

// suspectOnTrial reports whether a run of a suspect job, other than that of r, was
// started within trialTime.
func (c *Core) suspectOnTrial(now time.Duration, r *run) bool {
	for _, other := range c.runs {
		if other.Suspicion > 0 && other.state != queued && other.Task.Job != r.Task.Job && now-other.startedAt < trialTime {
			return true
		}
	}
	return false
}

// assignSuspicion divides the blame for a crash among the jobs that had runs on the
// target: the later its last start, the more suspect is a job.
func assignSuspicion(runs []LostRun) {
	weights := map[string]float64{}
	for _, r := range runs {
		weight := minSuspicionWeight
		if r.Age >= 0 {
			weight = max(weight, decayFactor(r.Age, suspicionHalfLife))
		}
		weight *= max(r.Prior, minPrior)
		weights[r.Attempt.Task.Job] = max(weights[r.Attempt.Task.Job], weight)
	}
	var sum float64
	for _, w := range weights {
		sum += w
	}
	for i := range runs {
		runs[i].Suspicion = weights[runs[i].Attempt.Task.Job] / sum
	}
}

// CallFailed records that a call to the target got no answer. The first one since
// the last answer is the first sign of a crash.
func (c *Core) CallFailed(now time.Duration) {
	if !c.silent {
		c.silent, c.silentSince = true, now
	}
}

// TargetDown records that the target's process had ended when a call was sent. The runs
// that it had confirmed before have ended with it; later ones are on the next
// incarnation. A start without an answer is in doubt: it may reach the next incarnation.
func (c *Core) TargetDown(now, sentAt time.Duration) {
	c.CallFailed(now)
	c.reachable, c.synced = false, false
	c.loseRuns(now, task.ReasonTargetDown, func(r *run) bool {
		return (r.state == running || r.state == stopping) && r.confirmedAt < sentAt
	})
	clear(c.foreignRuns)
	c.processQueue(now)
}

// loseRuns reports the started runs that lost selects as lost, and the crash of
// their target. The crash names the starts in doubt too, which may have caused it, unless
// the next incarnation has listed its runs: they may be among those.
func (c *Core) loseRuns(now time.Duration, reason task.Reason, lost func(*run) bool) {
	crash := Crash{Target: c.target, At: now, Reason: reason}
	// The runs that end below no longer limit the lease.
	endsSeen := c.endsSeen(now)
	for _, r := range c.sortedRuns() {
		if r.state == queued {
			continue
		}
		isLost := lost(r)
		if isLost || c.inDoubt(r) && reason != task.ReasonTargetRestarted {
			c.addLostRun(&crash, r, endsSeen)
		}
		if isLost {
			c.finish(now, r, task.Lost, reason)
		}
	}
	if len(crash.Runs) == 0 {
		return
	}
	slices.SortStableFunc(crash.Runs, func(a, b LostRun) int { return cmp.Compare(a.Age, b.Age) })
	assignSuspicion(crash.Runs)
	c.out.Crashes = append(c.out.Crashes, crash)
}

// addLostRun adds a run to a crash, unless an earlier report of the same crash names it.
// endsSeen tells whether the end of a run before the crash would have been noticed, unless
// it ended by a stop.
func (c *Core) addLostRun(crash *Crash, r *run, endsSeen bool) {
	if r.crashReported {
		return
	}
	r.crashReported = true
	sign := c.crashSign(crash.At)
	onTarget := (r.state == running || r.state == stopping) && !r.mayBeStopped(sign) && endsSeen
	crash.Runs = append(crash.Runs, LostRun{
		Attempt: r.attempt(), Queue: r.Queue, Accepted: onTarget, Prior: r.Suspicion, Age: sign - r.startedAt,
	})
}
