package dispatch

import (
	"slices"
	"time"
)

// recallOverdue stops runs that take far longer than predicted if another
// target would still end them in time. They are placed again once the agent has
// reported their end.
func (c *Core) recallOverdue(now time.Duration, j *job) {
	for step := range j.Steps {
		for _, t := range j.tasks[step] {
			if t.state != placed || t.recalls >= recallsMax || !c.overdue(now, j, t) {
				continue
			}
			p := c.newPlan(now, j, step)
			p.slots = slices.DeleteFunc(p.slots, func(s *slot) bool { return s.agent == t.agent })
			_, pr := p.choose(t)
			if pr.agent == nil || now+pr.finish+recallTime > j.deadline {
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

// overdue tells whether a run is taken to hang: it takes far longer than
// predicted, or its target has become so slow that it will miss the deadline.
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

// recallsMax bounds the recalls of a task: one that is overdue on a second
// target is long.
const recallsMax = 1

// recallTime is about how long it takes until a stopped run has ended.
const recallTime = 60 * time.Millisecond
