package runner

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

func (c *Core) enqueue(now time.Duration, gateway string, s Start) {
	r := &run{Start: s, gateway: gateway, queuedAt: now, queueUntil: now + s.StartWithin, dueAt: now + s.DueWithin}
	c.runs[s.Task] = r
	c.waiting = c.waiting.Plus(s.Needs)
	at, _ := slices.BinarySearchFunc(c.queue, r, compareQueued)
	c.queue = slices.Insert(c.queue, at, r)
}

// compareQueued orders the queue by due time (earliest deadline first), then by
// priority, then by arrival.
func compareQueued(a, b *run) int {
	if a.dueAt != b.dueAt {
		return int(a.dueAt - b.dueAt)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	// b is the run to insert; an equal run that is already queued sorts before
	// it.
	return -1
}

// processQueue starts the queued tasks that fit, in queue order, and reports
// those that can no longer start.
func (c *Core) processQueue(now time.Duration) {
	accepting, reason := c.Accepting(now)
	// finish and startRun remove elements from c.queue, hence the copy.
	for _, r := range slices.Clone(c.queue) {
		switch {
		case now > c.leaseExpiry[r.gateway]:
			c.finish(now, r, task.NotStarted, task.ReasonGatewayLost)
		case !accepting:
			c.finish(now, r, task.NotStarted, reason)
		case !c.target.mayRun(r.Start):
			// The gateway compared them with the target that it knew of. Another incarnation
			// may have replaced that one, or its labels may have changed.
			c.finish(now, r, task.NotStarted, task.ReasonUnsuitable)
		case now > r.queueUntil:
			c.finish(now, r, task.NotStarted, task.ReasonExpired)
		case !r.Needs.Within(c.target.Capacity):
			c.finish(now, r, task.NotStarted, task.ReasonTooLarge)
		case c.fits(now, r):
			c.startRun(now, r)
		}
	}
}

func (c *Core) fits(now time.Duration, r *run) bool {
	if r.Suspicion > 0 && c.suspectOnTrial(now, r) {
		return false
	}
	if !c.synced || c.hasCandidate || len(c.foreignRuns) > 0 {
		return false
	}
	// The target may have crashed: a start that gets no answer stays in doubt until it is
	// back, while a task that waits here can still go to another target.
	if c.silent {
		return false
	}
	if r.MaxPerTarget > 0 && c.countStepRuns(r.Task.StepID) >= r.MaxPerTarget {
		return false
	}
	if !c.used.Plus(r.Needs).Within(c.target.Capacity) {
		return false
	}
	// The run inherits the lease that the target has, which must not outlast it, and its
	// start needs a lease. Both hold again after the next stamp of the gateway, or the
	// next list of the target.
	return c.leaseGranted <= c.endBy(r) && c.leaseLimit(now) > now
}

func (c *Core) countStepRuns(id task.StepID) int {
	n := 0
	for _, r := range c.runs {
		if r.Task.StepID == id && r.state != queued {
			n++
		}
	}
	return n
}

func (c *Core) startRun(now time.Duration, r *run) {
	c.dequeue(r)
	r.state, r.startedAt, r.confirmedAt = starting, now, now
	r.ValidUntil = min(c.leaseExpiry[r.gateway], now+c.opts.GatewayLease)
	c.used = c.used.Plus(r.Needs)
	c.out.Starts = append(c.out.Starts, r.Start)
}

func (c *Core) dequeue(r *run) {
	c.queue = slices.DeleteFunc(c.queue, func(q *run) bool { return q == r })
	c.waiting = c.waiting.Minus(r.Needs)
}
