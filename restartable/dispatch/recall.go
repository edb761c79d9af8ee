package dispatch

import (
	"slices"
	"time"
)

// recallStragglers stops runs of a job that take far too long if another target could
// complete their tasks before the deadline. The tasks are placed again once the agent has
// reported that the runs have ended.
func (c *Core) recallStragglers(now time.Duration, j *job) {
	for step := range j.Steps {
		for _, t := range j.tasks[step] {
			if t.state != placed || !c.mayRecall(now, j, t) {
				continue
			}
			rerun, ok := c.rerunTime(now, j, step, t)
			if ok && (c.isHanging(now, j, t) || c.isOnSlowTarget(now, j, t, rerun)) {
				c.recall(now, j, t)
			}
		}
	}
}

// mayRecall reports whether a run is a straggler by its own time, or on a target that has
// become slow, and whether its task may start elsewhere.
func (c *Core) mayRecall(now time.Duration, j *job, t *taskRecord) bool {
	if t.recalls >= maxRecalls || c.startInDoubt(now, t) {
		// A start in doubt cannot be placed again before the doubt has ended.
		return false
	}
	return t.agent.looksSlow() || c.isHanging(now, j, t)
}

// rerunTime returns the time until a task would be done if its run was recalled now. It
// returns false if no other target can complete it before the deadline.
func (c *Core) rerunTime(now time.Duration, j *job, step int, t *taskRecord) (time.Duration, bool) {
	p := c.newPlan(now, j, step)
	p.candidates = slices.DeleteFunc(p.candidates, func(cand *candidate) bool { return cand.agent == t.agent })
	_, pr := p.bestCandidate(t)
	rerun := pr.finish + recallLatency
	return rerun, pr.agent != nil && now+rerun <= j.deadline
}

// recall stops a run, so that its task is placed on another target.
func (c *Core) recall(now time.Duration, j *job, t *taskRecord) {
	t.state = recalled
	t.recalls++
	t.failedOn = t.agent.Name
	c.out.Stops = append(c.out.Stops, Stop{Link: t.agent.Link, Job: j.ID, Task: t.id, Attempt: t.attempt})
	c.out.Retries = append(c.out.Retries, Retry{
		Agent: t.agent.Name, Task: t.id, Attempt: t.attempt, Ran: now - t.sentAt, Expected: t.expected, Recall: true,
	})
}

const (
	// A run is overdue overdueFactor times its predicted run time plus overdueSlack
	// after its start. Estimates are off by about 40%.
	overdueFactor = 2.5
	overdueSlack  = 50 * time.Millisecond
	// maxRecalls is the maximum number of recalls of a task, maxHangingRecalls that of a
	// task whose runs only take long: if it is overdue on a second target as well, it
	// probably just takes longer than estimated.
	maxRecalls        = 3
	maxHangingRecalls = 1
	// recallLatency is the approximate time from the recall of a run until its end is
	// reported.
	recallLatency = 60 * time.Millisecond
	// minRecallGain is how many times sooner a task must be done elsewhere than on its
	// slow target: a recall throws away the work that was done.
	minRecallGain = 2.0
	// healthyTargetRatio is how many times longer than predicted a run may be expected to
	// take on a target that looks healthy, if there is no other evidence.
	healthyTargetRatio = 3.0
	// onTimeRatio is the ratio of a run time to the predicted one up to which a run was
	// on time.
	onTimeRatio = 1.5
)

// overdueAge returns the age at which a run is overdue, if the tasks of its job take
// ratio times as long as predicted.
func overdueAge(expected time.Duration, ratio float64) time.Duration {
	return time.Duration(overdueFactor*ratio*float64(expected)) + overdueSlack
}

// recordRun records the run time of a task that is done, as evidence about its job and its
// target.
func (c *Core) recordRun(t *taskRecord, a *agent, run time.Duration) {
	t.doneOn, t.doneRatio = a.Name, float64(run)/float64(max(t.expected, 1))
	if t.doneRatio <= onTimeRatio {
		a.newestOnTime = max(a.newestOnTime, t.startAt)
	}
}

// isHanging reports whether a run takes far longer than predicted without a sign that its
// task takes long on any target. The estimate of a job's run time may be wrong by any
// factor, which is the same for its tasks: those on other targets show it. Without any, the
// target tells something: if runs that started later have ended on time, it is healthy,
// unless only some of its runs hang.
func (c *Core) isHanging(now time.Duration, j *job, t *taskRecord) bool {
	age := now - t.startAt
	if t.recalls >= maxHangingRecalls || age < overdueAge(t.expected, 1) {
		return false
	}
	ratio, known := j.minRatioElsewhere(now, t)
	if !known && t.agent.newestOnTime > t.startAt {
		ratio = healthyTargetRatio
	}
	return age >= overdueAge(t.expected, max(ratio, 1))
}

// minRatioElsewhere returns the smallest ratio of run time to prediction of the other tasks
// of t's step on other targets, and whether there is any that is comparable: done, or
// running for at least as long as t.
func (j *job) minRatioElsewhere(now time.Duration, t *taskRecord) (float64, bool) {
	smallest, known := 0.0, false
	for _, other := range j.tasks[t.id.Step] {
		ratio, ok := other.ratioSoFar(now, t)
		if ok && (!known || ratio < smallest) {
			smallest, known = ratio, true
		}
	}
	return smallest, known
}

// ratioSoFar returns the ratio of the run time of a task to the predicted one if it is
// comparable with t. That of a run that goes on is a lower limit.
func (o *taskRecord) ratioSoFar(now time.Duration, t *taskRecord) (float64, bool) {
	switch {
	case o.state == done:
		return o.doneRatio, o.doneOn != t.agent.Name
	case o.state == placed && o.started && o.agent != t.agent && o.startAt <= t.startAt+overdueSlack:
		return float64(now-o.startAt) / float64(max(o.expected, 1)), true
	}
	return 0, false
}

// looksSlow reports whether an agent's target has become so slow that it is avoided.
func (a *agent) looksSlow() bool { return a.avoided && a.load.Anomaly >= anomalyAvoid }

// isOnSlowTarget reports whether a run is on a target that has become so slow that the job
// will miss its objective, and its task would be done far sooner elsewhere.
func (c *Core) isOnSlowTarget(now time.Duration, j *job, t *taskRecord, rerun time.Duration) bool {
	if !t.agent.looksSlow() {
		return false
	}
	end := t.sentAt + time.Duration(float64(t.expected)*t.agent.load.Anomaly)
	return end > j.deadline || end > j.objective && float64(end-now) > minRecallGain*float64(rerun)
}

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
