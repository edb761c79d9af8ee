package dispatch

import (
	"slices"
	"time"
)

// recallOverdue stops overdue runs of a job if another target could still complete
// them before the deadline. Their tasks are placed again once the agent has reported
// that the runs have ended.
func (c *Core) recallOverdue(now time.Duration, j *job) {
	for step := range j.Steps {
		for _, t := range j.tasks[step] {
			if t.state != placed || t.recalls >= maxRecalls || !c.overdue(now, j, t) {
				continue
			}
			if c.startInDoubt(now, t) {
				// It cannot be placed again before the doubt has ended.
				continue
			}
			p := c.newPlan(now, j, step)
			p.candidates = slices.DeleteFunc(p.candidates, func(cand *candidate) bool { return cand.agent == t.agent })
			_, pr := p.bestCandidate(t)
			if pr.agent == nil || now+pr.finish+recallLatency > j.deadline {
				continue
			}
			t.state = recalled
			t.recalls++
			t.failedOn = t.agent.Name
			c.out.Stops = append(c.out.Stops, Stop{Link: t.agent.Link, Job: j.ID, Task: t.id, Attempt: t.attempt})
			c.out.Retries = append(c.out.Retries, Retry{
				Agent: t.agent.Name, Task: t.id, Attempt: t.attempt, Ran: now - t.sentAt, Expected: t.expected, Recall: true,
			})
		}
	}
}

// overdue reports whether a run takes far longer than predicted, or is on a target
// that has become so slow that the run will miss the deadline.
func (c *Core) overdue(now time.Duration, j *job, t *taskRecord) bool {
	if now >= t.overdueAt {
		return true
	}
	if !t.agent.avoided || t.agent.load.Anomaly < anomalyAvoid {
		return false
	}
	end := t.sentAt + time.Duration(float64(t.expected)*t.agent.load.Anomaly)
	return end > j.deadline
}

// maxRecalls is the maximum number of recalls of a task. A task that is overdue on
// a second target as well probably just takes longer than estimated.
const maxRecalls = 1

// recallLatency is the approximate time from the recall of a run until its end is
// reported.
const recallLatency = 60 * time.Millisecond

// confirmRecall handles the start of a task that was recalled before. Its agent may have
// disregarded the recall while the start had no answer. The run goes on, unless an earlier
// start of the task is in doubt elsewhere.
func (c *Core) confirmRecall(a *agent, t *taskRecord) {
	if t.state != recalled {
		return
	}
	if t.inDoubtOn == "" {
		t.state = placed
		return
	}
	c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: t.id.Job, Task: t.id, Attempt: t.attempt})
}
