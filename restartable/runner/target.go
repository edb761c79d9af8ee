package runner

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// StartResult is the target's answer to a start.
type StartResult int

// Answers to a start.
const (
	StartAccepted StartResult = iota + 1
	// StartRefused means that the target did not start the task and will not.
	StartRefused
	// StartSuperseded means that the target has seen this attempt or a later one.
	StartSuperseded
	// StartUnanswered means that the outcome is unknown: the task may have
	// started or may still start.
	StartUnanswered
	// StartUndelivered means that the target did not get the request.
	StartUndelivered
)

// StartAnswered processes the answer to a start.
func (c *Core) StartAnswered(now time.Duration, a Attempt, result StartResult) {
	r := c.findRun(a)
	if r == nil || r.state != starting {
		return
	}
	r.confirmedAt = now
	if r.repeated && result != StartAccepted && result != StartUnanswered {
		c.repetitionRefused(now, r, result)
		return
	}
	switch result {
	case StartAccepted:
		c.startConfirmed(r)
	case StartRefused:
		c.finish(now, r, task.NotStarted, task.ReasonRefused)
	case StartSuperseded:
		c.finish(now, r, task.NotStarted, task.ReasonSuperseded)
	case StartUndelivered:
		c.finish(now, r, task.NotStarted, task.ReasonNoTarget)
	case StartUnanswered:
		r.state = unanswered
		c.lateStarts[a.Task] = now
		if r.recalled {
			r.resume()
		}
		if r.revoked {
			c.stopUnanswered(r)
		}
	}
	c.processQueue(now)
}

// startConfirmed records that a run has begun.
func (c *Core) startConfirmed(r *run) {
	r.state = running
	started := Report{Gateway: r.gateway, Task: r.Task, Attempt: r.Attempt, Outcome: task.Started}
	if r.repeated {
		started.Reason = task.ReasonRepeated
	}
	c.out.Reports = append(c.out.Reports, started)
	if r.revoked {
		c.stopRun(r)
	}
}

// StopAnswered processes the answer to a stop. A stop that was not acknowledged
// is sent again; the target ignores duplicates.
func (c *Core) StopAnswered(now time.Duration, a Attempt, acknowledged bool) {
	if c.foreignRuns[a] {
		if !acknowledged {
			c.out.Stops = append(c.out.Stops, a)
		}
		return
	}
	r := c.findRun(a)
	if r == nil || r.stopAcknowledged || (r.state != stopping && r.state != unanswered) {
		return
	}
	switch {
	case acknowledged:
		r.stopAcknowledged, r.confirmedAt = true, now
	case r.state == unanswered:
		c.stopUnanswered(r)
	default:
		c.out.Stops = append(c.out.Stops, a)
	}
}

func (c *Core) findRun(a Attempt) *run {
	r := c.runs[a.Task]
	if r == nil || r.Attempt != a.Number {
		return nil
	}
	return r
}

// End is an ended run that the target lists.
type End struct {
	Attempt Attempt
	Outcome task.Outcome
}

// Snapshot is the target's list of running and ended attempts.
type Snapshot struct {
	// RequestedAt is when the snapshot was requested, on the core's clock.
	RequestedAt time.Duration
	Incarnation int64
	Running     []Attempt
	Ended       []End
	// Incomplete is set if further attempts may be running. Then an attempt that is not
	// listed has not necessarily ended.
	Incomplete bool
}

// lacks reports whether the snapshot proves that a run is not on the target, given the
// set of the attempts that it lists.
func (s *Snapshot) lacks(r *run, listed map[Attempt]bool) bool {
	return !s.Incomplete && !listed[r.attempt()] && s.RequestedAt > r.confirmedAt
}

func (s *Snapshot) runningSet() map[Attempt]bool {
	set := make(map[Attempt]bool, len(s.Running))
	for _, a := range s.Running {
		set[a] = true
	}
	return set
}

// ApplySnapshot updates the core from a snapshot. It returns false if the
// snapshot is of an incarnation of the target other than the current one.
func (c *Core) ApplySnapshot(now time.Duration, s Snapshot) bool {
	matches := c.hasTarget && s.Incarnation == c.target.Incarnation
	if !matches {
		if s.RequestedAt >= c.switchedAt {
			c.reachable = false
		}
		return false
	}
	c.reachable, c.confirmed = true, true
	c.silent, c.endsMissed = false, s.Incomplete
	for _, e := range s.Ended {
		c.applyEnd(now, e)
	}
	c.reconcile(now, s)
	c.synced = c.synced || s.RequestedAt >= c.syncAfter
	c.processQueue(now)
	return true
}

func (c *Core) applyEnd(now time.Duration, e End) {
	delete(c.foreignRuns, e.Attempt)
	r := c.findRun(e.Attempt)
	if r == nil || r.state == queued {
		return
	}
	var reason task.Reason
	if e.Outcome == task.Lost {
		reason = task.ReasonLeaseLapsed
	}
	c.finish(now, r, e.Outcome, reason)
}

// reconcile finds listed runs that the core did not start, and attempts of the
// core that the target no longer lists.
func (c *Core) reconcile(now time.Duration, s Snapshot) {
	listed := s.runningSet()
	for _, a := range s.Running {
		if at, ended := c.finishedAt[a]; ended && s.RequestedAt <= at {
			continue
		}
		if c.findRun(a) == nil && !c.foreignRuns[a] {
			c.foreignRuns[a] = true
			c.out.ForeignRuns = append(c.out.ForeignRuns, a)
			c.out.Stops = append(c.out.Stops, a)
		}
	}
	for a := range c.foreignRuns {
		if !listed[a] && !s.Incomplete {
			delete(c.foreignRuns, a)
		}
	}
	for _, r := range c.sortedRuns() {
		lacks := s.lacks(r, listed)
		switch {
		case r.state == unanswered:
			c.reconcileUnanswered(now, r, lacks, listed[r.attempt()])
		case !lacks:
		case r.state == running, r.state == stopping && r.stopAcknowledged:
			c.finish(now, r, task.Lost, task.ReasonNotListed)
		}
	}
}

// cannotBegin reports whether an unanswered start that is not listed can no longer take
// effect on the present incarnation: its stop was acknowledged, or its deadline has passed
// on the target's clock.
func (c *Core) cannotBegin(now time.Duration, r *run) bool {
	return r.stopAcknowledged || now-r.startedAt > c.opts.UnansweredTimeout
}

// Unreachable records that the target does not answer. If leasesExpired is set,
// every lease that the target was granted has expired, and its runs are reported
// as lost, but for starts in doubt.
func (c *Core) Unreachable(now time.Duration, leasesExpired bool) {
	c.reachable = false
	if leasesExpired {
		c.loseRuns(now, task.ReasonTargetSilent, func(r *run) bool { return r.state != starting && r.state != unanswered })
		clear(c.foreignRuns)
		c.synced = false
	}
	c.processQueue(now)
}

// Load summarises the target's state for gateways.
type Load struct {
	Accepting bool
	Reason    task.Reason
	Committed task.Resources
	// Backlog is the time in which the whole target, with no other work, would
	// complete everything that is committed.
	Backlog time.Duration
	// Slowness is the usual ratio of measured to expected run times, estimated
	// from Samples runs. Anomaly is the ratio of the recent slowness to the usual
	// one; it is 1 unless they differ significantly.
	Slowness, Anomaly float64
	Samples           int
	// FailedShare is the share of recent runs that failed.
	FailedShare float64
	Running     int
	Queued      int
	// FencingToken is the token of the calls to the target.
	FencingToken int64
	// Fenced is set while the target refuses the calls of earlier processes of this agent,
	// and has ended what they had started. TasksInDoubt are the tasks with a start in doubt,
	// LateTasks those that come into doubt if the target goes out of contact.
	Fenced       bool
	TasksInDoubt []task.ID
	LateTasks    []task.ID
	// QueueUse holds the parts of Committed by queue, sorted by queue.
	QueueUse []QueueUse
}

// Load returns the current load.
func (c *Core) Load(now time.Duration) Load {
	l := Load{Committed: c.used.Plus(c.waiting), Queued: len(c.queue), Running: len(c.runs) - len(c.queue)}
	l.Accepting, l.Reason = c.Accepting(now)
	l.Fenced, l.TasksInDoubt = c.synced && c.reachable && len(c.foreignRuns) == 0, c.tasksInDoubt(now)
	l.LateTasks = c.lateTasks(now)
	l.QueueUse = c.queueUse()
	sp := c.stats.summary(now, c.elapsedRatios(now))
	l.Slowness, l.Anomaly, l.Samples, l.FailedShare = sp.slowness, sp.anomaly, sp.samples, sp.failedShare
	slowness := sp.slowness * sp.anomaly
	var work float64
	for _, r := range c.runs {
		left := time.Duration(float64(r.Expected) * slowness)
		if r.state != queued {
			// For an overdue run, the remaining time is taken to be at least a
			// third of its estimated run time.
			left = max(left-(now-r.startedAt), left/3)
		}
		work += float64(r.Needs.CPUMillis) * left.Seconds()
	}
	if c.target.Capacity.CPUMillis > 0 {
		l.Backlog = time.Duration(work / float64(c.target.Capacity.CPUMillis) * float64(time.Second))
	}
	return l
}

// elapsedRatios returns the ratio of elapsed to expected time of each running
// attempt.
func (c *Core) elapsedRatios(now time.Duration) []float64 {
	var ratios []float64
	for _, r := range c.runs {
		if r.state == running && r.Expected > 0 {
			ratios = append(ratios, float64(now-r.startedAt)/float64(r.Expected))
		}
	}
	// The order decides how much each counts, and that of the map is random.
	slices.Sort(ratios)
	return ratios
}
