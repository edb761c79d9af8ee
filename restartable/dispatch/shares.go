package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

// CauseShare is the cause of a job that is refused since its queue uses more than its
// share of the service while another queue wants capacity.
const CauseShare Cause = "share"

// QueueUse is what the tasks of one queue occupy on a target, running, starting and
// queued ones.
type QueueUse struct {
	Queue     string
	CPUMillis int64
}

// SetFairShares applies the settings of fair shares. What agents have reported before
// they were switched off is outdated when they are switched on again.
func (c *Core) SetFairShares(s fairshare.Settings) {
	if s.Enabled && !c.shares.Enabled() {
		for _, a := range c.agents {
			a.queueUse, a.reportsQueueUse = nil, false
		}
	}
	c.shares.Set(s)
}

// WantsQueueUse reports whether agents are to report the use of each queue.
func (c *Core) WantsQueueUse() bool { return c.shares.Enabled() }

// applyQueueUse applies the use by queue of a reported load, if that has one.
func (a *agent) applyQueueUse(l *Load) {
	if l.QueueUseChanged {
		a.queueUse, a.reportsQueueUse = l.QueueUse, true
	}
}

// addQueueUse adds the use of each queue on the agent's target: what it has reported and
// the orders that its load does not include yet. An agent of an earlier release reports
// none, and its target counts as unused.
func (a *agent) addQueueUse(sum map[string]float64) {
	if !a.reportsQueueUse {
		return
	}
	for _, u := range a.queueUse {
		sum[u.Queue] += float64(u.CPUMillis)
	}
	for _, o := range a.unacked {
		sum[o.queue] += float64(o.needs.CPUMillis)
	}
}

// serviceUsage sums the use of a service over the agents that accept tasks.
func (c *Core) serviceUsage(now time.Duration, service string) fairshare.Usage {
	u := fairshare.Usage{Queues: map[string]float64{}}
	for _, a := range c.agents {
		if a.target.Service != service || !a.load.Accepting || now-a.reportedAt > c.opts.SuspectAfter {
			continue
		}
		u.Agents++
		u.Capacity += float64(a.target.Capacity.CPUMillis)
		if a.reportsQueueUse {
			u.Reported++
		}
		a.addQueueUse(u.Queues)
	}
	return u
}

// refuseByShare decides on a job of which nothing has been sent and that would be placed
// by choices unless cause says otherwise. It answers the job and returns true if there is
// no spare capacity for it and its queue uses more than its share. There is none if the
// first task would have to wait, which does not depend on the number of tasks: if any task
// counted, large jobs would be refused more often than small ones.
func (c *Core) refuseByShare(now time.Duration, j *job, step int, choices []choice, cause Cause) bool {
	if !c.shares.Enabled() || j.attempts > 0 || j.started {
		return false
	}
	var share *fairshare.Share
	if cause == CauseNone && len(choices) > 0 && choices[0].wait > 0 && !c.inStartupGrace(now) {
		share = c.exceededShare(now, j.Queue)
	}
	if cause == CauseNone || cause == CauseOverload {
		met := cause == CauseNone && share == nil && !c.hasToWait(now, j, step, choices)
		c.shares.Observe(now, j.Queue.Service, j.Queue.Name, j.demand(), met)
	}
	if share == nil {
		return false
	}
	j.refusal = &RefusalDetails{Share: share, Objective: j.objective - now, Deadline: j.deadline - now}
	retryAfter := c.shares.RetryAfter(now, j.Queue.Service, *share, c.opts.Random())
	c.finish(now, j, Answer{State: NotRun, Cause: CauseShare, RetryAfter: retryAfter})
	return true
}

// exceededShare returns the share of a queue that uses more than that while another queue
// wants capacity, and otherwise nil.
func (c *Core) exceededShare(now time.Duration, q queues.Queue) *fairshare.Share {
	share, exceeded, change := c.shares.Reject(now, q.Service, q.Name, c.serviceUsage(now, q.Service))
	if change != nil {
		c.out.ShareChanges = append(c.out.ShareChanges, *change)
	}
	if !exceeded {
		return nil
	}
	return &share
}

// hasToWait reports whether a task of a step waits for its target while no target could
// start one immediately. A wait for a fast target while others are free takes nothing from
// the job's queue.
func (c *Core) hasToWait(now time.Duration, j *job, step int, choices []choice) bool {
	waits := slices.ContainsFunc(choices, func(ch choice) bool { return ch.wait > 0 })
	return waits && !c.newPlan(now, j, step).hasSpareCapacity()
}

// demand returns what the job asks of its service.
func (j *job) demand() fairshare.Job {
	var d fairshare.Job
	for i, s := range j.Steps {
		needs := float64(s.Tasks) * float64(s.Needs.CPUMillis)
		d.Needs += needs
		d.Work += needs * j.expected[i].Seconds()
	}
	return d
}

// expireShareLimits ends the limits of queues that have had no job refused for a while.
func (c *Core) expireShareLimits(now time.Duration) {
	usage := func(service string) fairshare.Usage { return c.serviceUsage(now, service) }
	c.out.ShareChanges = append(c.out.ShareChanges, c.shares.Expire(now, usage)...)
}

// FairShares returns the shares of all queues by service; nil while fair shares are
// switched off.
func (c *Core) FairShares(now time.Duration) map[string][]fairshare.Share {
	if !c.shares.Enabled() {
		return nil
	}
	out := map[string][]fairshare.Share{}
	for _, a := range c.agents {
		if service := a.target.Service; out[service] == nil {
			out[service] = c.shares.Shares(now, service, c.serviceUsage(now, service))
		}
	}
	return out
}
