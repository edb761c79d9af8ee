package dispatch

import "time"

// withdraw gives a job up. If nothing of it has begun as far as is known, the
// agents are asked to drop it first: only then can the caller be told that it
// has not run.
func (c *Core) withdraw(now time.Duration, j *job, cause Cause) {
	if j.begun || j.onTargets == 0 {
		c.giveUp(now, j, cause)
		return
	}
	j.withdrawn, j.withdrawnAt = cause, now
	for a := range j.agents {
		if j.hasPlacedOn(a) {
			c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: j.ID})
		}
	}
}

// withdrawWait bounds the time until all agents have confirmed a withdrawal.
const withdrawWait = 40 * time.Millisecond

// awaitWithdrawal answers a withdrawn job as soon as it is known whether
// anything of it has begun.
func (c *Core) awaitWithdrawal(now time.Duration, j *job) {
	if j.begun || j.onTargets == 0 || now-j.withdrawnAt > withdrawWait {
		c.giveUp(now, j, j.withdrawn)
	}
}

// giveUp answers a job that cannot be completed and stops what is left of it.
func (c *Core) giveUp(now time.Duration, j *job, cause Cause) {
	open := j.openTasks(now)
	state := NotRun
	if stopped := c.stopAll(j); stopped || j.begun {
		state = Unfinished
	}
	c.finish(now, j, Answer{State: state, Cause: cause, RetryAfter: c.opts.RetryAfter, Open: open})
}

// stopAll asks the agents to stop what they have of a job. It returns whether
// any has something.
func (c *Core) stopAll(j *job) bool {
	stopped := false
	for a := range j.agents {
		if !j.hasPlacedOn(a) {
			continue
		}
		stopped = true
		for id := range a.placed {
			if id.Job == j.ID {
				delete(a.placed, id)
			}
		}
		if c.byLink[a.Link] == a {
			c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: j.ID})
		}
	}
	return stopped
}

func (c *Core) finish(now time.Duration, j *job, a Answer) {
	delete(c.jobs, j.ID)
	for ag := range j.agents {
		delete(ag.jobs, j.ID)
	}
	a.Attempts, a.Targets, a.Elapsed, a.Refusal = j.attempts, len(j.agents), now-j.arrived, j.basis
	j.answer(a)
	c.out.Ended = append(c.out.Ended, FinishedJob{ID: j.ID, Queue: j.Queue.Name, Answer: a})
}
