package dispatch

import (
	"slices"
	"time"
)

// revoke aborts a job. If no task is known to have started, it first asks the
// agents to drop the tasks: the caller can be told that the job has not run only
// after they have confirmed it.
func (c *Core) revoke(now time.Duration, j *job, cause Cause) {
	c.withdrawOrders(j)
	if j.started || j.inFlight == 0 {
		c.abort(now, j, cause)
		return
	}
	j.revokeCause, j.revokedAt = cause, now
	for a := range j.agents {
		if j.hasPlacedOn(a) {
			c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: j.ID})
		}
	}
}

// revocationTimeout is the longest time to wait for the agents to confirm a
// revocation.
const revocationTimeout = 40 * time.Millisecond

// awaitRevocation aborts a revoked job once it is known whether any of its tasks
// has started, or the wait for the agents has timed out.
func (c *Core) awaitRevocation(now time.Duration, j *job) {
	if j.started || j.inFlight == 0 || now-j.revokedAt > revocationTimeout {
		c.abort(now, j, j.revokeCause)
	}
}

// abort answers a job that will not be completed and stops its remaining tasks.
func (c *Core) abort(now time.Duration, j *job, cause Cause) {
	state := NotRun
	if stopped := c.stopAll(now, j); stopped || j.started || j.unanswered {
		state = Unfinished
	}
	c.finish(now, j, Answer{State: state, Cause: cause, RetryAfter: c.opts.RetryAfter, Open: j.openTasks(now)})
}

// stopAll withdraws the orders of a job that have not been sent and tells all agents to
// stop their tasks of the job. It reports whether any agent had one.
func (c *Core) stopAll(now time.Duration, j *job) bool {
	c.withdrawOrders(j)
	stopped := false
	for a := range j.agents {
		if !j.hasPlacedOn(a) {
			continue
		}
		stopped = true
		for id, t := range a.placed {
			if id.Job != j.ID {
				continue
			}
			delete(a.placed, id)
			a.givenUp.add(now, t)
			if !t.started && a.Process != 0 {
				c.lateStarts.add(now, id, lateStart{agent: a.Name, attempt: t.attempt})
			}
		}
		if c.byLink[a.Link] == a {
			c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: j.ID})
		}
	}
	return stopped
}

// withdrawOrders removes the orders of a job that have been decided on but not taken
// yet, and marks their tasks as not placed. A step may be refused after another one of
// the same job was placed. A stop cannot take the place of the withdrawal: stops are
// carried out before orders, so that the agent would start the tasks afterwards.
func (c *Core) withdrawOrders(j *job) {
	c.out.Orders = slices.DeleteFunc(c.out.Orders, func(o Order) bool {
		if o.Step.Job != j.ID {
			return false
		}
		j.unplace(o)
		return true
	})
}

// unplace undoes place for all tasks of an order that is not sent.
func (j *job) unplace(o Order) {
	for _, attempt := range o.Tasks {
		t := j.tasks[o.Step.Step][attempt.Index]
		a := t.agent
		t.attempt--
		t.state, t.agent = waiting, nil
		j.attempts--
		j.inFlight--
		j.agents[a]--
		if j.agents[a] == 0 {
			delete(j.agents, a)
			delete(a.jobs, j.ID)
		}
		delete(a.placed, t.id)
		a.unacked = slices.DeleteFunc(a.unacked, func(u unackedOrder) bool { return u.number == o.Number })
	}
}

// finish removes a job and answers its callers.
func (c *Core) finish(now time.Duration, j *job, a Answer) {
	delete(c.jobs, j.ID)
	if a.State == Unfinished {
		c.keepLateStarts(now, j)
	}
	for ag := range j.agents {
		delete(ag.jobs, j.ID)
	}
	a.Attempts, a.Targets, a.Elapsed, a.Refusal = j.attempts, len(j.agents), now-j.arrived, j.refusal
	j.answer(a)
	c.out.FinishedJobs = append(c.out.FinishedJobs, FinishedJob{ID: j.ID, Queue: j.Queue.Name, Answer: a})
}
