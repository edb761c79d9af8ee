package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// A start without an answer may be carried out seconds later. Its target refuses that
// while it lives, once the attempt has ended or was stopped there, but not after it has
// started again under its ID: the new process has seen no fencing token, and the deadline
// of the start lies ahead on its clock, which begins anew. Two rules keep the task from
// running twice at a time:
//
//   - While the target answers, the start is repeated there and goes to no other target. A
//     recall of its attempt is disregarded.
//   - While it does not, the start is in doubt: the attempt is not reported as ended, and
//     no gateway starts the task, until the target has answered a call with a higher
//     fencing token and listed its runs.

// lateCallRetention is the time for which a start without an answer is remembered. It
// exceeds the delay with which targets carry out calls.
const lateCallRetention = 13 * time.Second

// inDoubt reports whether the start of a run is in doubt.
func (c *Core) inDoubt(r *run) bool { return r.state == unanswered && !c.reachable }

// reportDoubts reports the starts that have come into doubt.
func (c *Core) reportDoubts(now time.Duration) {
	for _, r := range c.sortedRuns() {
		if c.inDoubt(r) && !r.doubtReported {
			r.doubtReported = true
			c.out.StartsInDoubt = append(c.out.StartsInDoubt, StartInDoubt{r.attempt(), r.gateway, now - r.startedAt})
		}
	}
}

// tasksInDoubt returns the tasks that must not start elsewhere, sorted: those whose start
// has come into doubt, until the run has ended, and those that the next process of an
// unreachable target may start. The present one may refuse these already.
func (c *Core) tasksInDoubt(now time.Duration) []task.ID {
	var tasks []task.ID
	for _, r := range c.runs {
		if r.doubtReported || c.inDoubt(r) {
			tasks = append(tasks, r.Task)
		}
	}
	for id, at := range c.lateStarts {
		if !c.reachable && now-at <= lateCallRetention {
			tasks = append(tasks, id)
		}
	}
	slices.SortFunc(tasks, func(x, y task.ID) int { return cmp.Compare(x.String(), y.String()) })
	return slices.Compact(tasks)
}

// lateTasks returns the tasks whose run has ended otherwise than done, or was revoked, and
// of which a start without an answer may be carried out late, sorted. They may start
// elsewhere while the target answers. This agent's next process does not know of them.
func (c *Core) lateTasks(now time.Duration) []task.ID {
	var tasks []task.ID
	for id, at := range c.lateStarts {
		if r := c.runs[id]; (r == nil || r.revoked) && now-at <= lateCallRetention {
			tasks = append(tasks, id)
		}
	}
	slices.SortFunc(tasks, func(x, y task.ID) int { return cmp.Compare(x.String(), y.String()) })
	return tasks
}

// reconcileUnanswered handles a start without an answer once the target has listed its
// runs: whether the list lacks the run for certain, and whether it has it.
func (c *Core) reconcileUnanswered(now time.Duration, r *run, lacks, listed bool) {
	switch {
	case lacks && r.startedAt < c.switchedAt:
		// It carries an earlier fencing token, but may have run on the earlier incarnation.
		c.finish(now, r, task.Lost, task.ReasonTargetRestarted)
	case listed && !r.revoked:
		r.confirmedAt = now
		c.startConfirmed(r)
	case r.stopPostponed:
		c.stopUnanswered(r)
	case lacks && r.superseded:
		c.finish(now, r, task.Lost, task.ReasonSuperseded)
	case lacks && !r.revoked:
		c.repeatStart(now, r)
	case lacks && c.cannotBegin(now, r):
		// The next incarnation may still carry it out.
		c.finish(now, r, task.Lost, task.ReasonUnanswered)
	}
}

// repeatStart sends a start without an answer again to its target, which does not have it.
// A target carries out an attempt only once.
func (c *Core) repeatStart(now time.Duration, r *run) {
	if !c.target.mayRun(r.Start) {
		// The labels of the target have changed. The first start may still be carried out.
		c.revoke(now, r)
		return
	}
	r.ValidUntil = min(c.leaseExpiry[r.gateway], now+c.opts.GatewayLease)
	if now >= r.ValidUntil {
		// The expiry of the lease is about to revoke the run.
		return
	}
	r.state, r.startedAt, r.confirmedAt, r.repeated = starting, now, now, true
	c.out.Starts = append(c.out.Starts, r.Start)
}

// repetitionRefused handles a repeated start that was not accepted, which tells nothing of
// the first one.
func (c *Core) repetitionRefused(now time.Duration, r *run, result StartResult) {
	r.state = unanswered
	if result == StartSuperseded {
		// The run has ended, and the next list says how, unless an earlier submission has
		// used the same number.
		r.superseded = true
		return
	}
	c.revoke(now, r)
}

// stopUnanswered stops a run whose start has not been answered, once the target answers: a
// silent one may be gone for minutes.
func (c *Core) stopUnanswered(r *run) {
	r.stopPostponed = c.inDoubt(r)
	if !r.stopPostponed {
		c.out.Stops = append(c.out.Stops, r.attempt())
	}
}
