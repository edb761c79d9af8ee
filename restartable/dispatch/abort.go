package dispatch

import "time"

// revoke aborts a job. If no task is known to have started, it first asks the
// agents to drop the tasks: the caller can be told that the job has not run only
// after they have confirmed it.
func (c *Core) revoke(now time.Duration, j *job, cause Cause) {
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
	open := j.openTasks(now)
	state := NotRun
	if stopped := c.stopAll(j); stopped || j.started || j.unanswered {
		state = Unfinished
	}
	c.finish(now, j, Answer{State: state, Cause: cause, RetryAfter: c.opts.RetryAfter, Open: open})
}

// stopAll tells all agents to stop their tasks of a job. It reports whether any
// agent had one.
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

// finish removes a job and answers its callers.
func (c *Core) finish(now time.Duration, j *job, a Answer) {
	delete(c.jobs, j.ID)
	for ag := range j.agents {
		delete(ag.jobs, j.ID)
	}
	a.Attempts, a.Targets, a.Elapsed, a.Refusal = j.attempts, len(j.agents), now-j.arrived, j.refusal
	j.answer(a)
	c.out.FinishedJobs = append(c.out.FinishedJobs, FinishedJob{ID: j.ID, Queue: j.Queue.Name, Answer: a})
}
