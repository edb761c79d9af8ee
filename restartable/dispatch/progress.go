package dispatch

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// advance answers a job whose tasks are done or have failed, and otherwise places
// its waiting tasks.
func (c *Core) advance(now time.Duration, j *job) {
	if c.jobs[j.ID] != j {
		return
	}
	if j.revokeCause != CauseNone {
		c.awaitRevocation(now, j)
		return
	}
	if j.complete() {
		c.finish(now, j, Answer{State: Completed})
		return
	}
	if c.giveUpCrashing(now, j) || c.giveUpDoubtful(now, j) {
		return
	}
	if c.isHeld(now, j) {
		// The next tick tries again.
		c.hold(now, j)
		return
	}
	for step := range j.Steps {
		for _, t := range j.tasks[step] {
			if t.failures >= j.Queue.MaxAttempts {
				c.stopAll(now, j)
				c.finish(now, j, Answer{State: Failed, Cause: CauseAttempts})
				return
			}
		}
	}
	for step := range j.Steps {
		if !c.placeStep(now, j, step) {
			return
		}
	}
}

// placeStep places the waiting tasks of a step. It returns false if the job has
// been aborted or is being revoked. After a suspension the tasks wait, since it may not
// have been read yet that their callers have left.
func (c *Core) placeStep(now time.Duration, j *job, step int) bool {
	c.detectSuspension(now)
	if now < c.resumeAt {
		return true
	}
	tasks := c.onTrial(now, j, c.placeableTasks(now, j, step))
	if len(tasks) == 0 {
		return true
	}
	p := c.newPlan(now, j, step)
	choices := p.placeAll(tasks)
	cause, last := c.refusalCause(now, j, step, tasks, choices)
	if cause != CauseNone && c.inStartupGrace(now) && !j.started {
		// The next tick tries again.
		return true
	}
	if j.attempts == 0 {
		c.observeSpeedGain(p)
	}
	if c.refuseByShare(now, j, step, choices, cause) {
		return false
	}
	if cause != CauseNone {
		j.refusal = c.refusalDetails(now, j, step, last)
		c.revoke(now, j, cause)
		return false
	}
	c.sendOrders(now, j, step, choices, p.hasSpareCapacity())
	return true
}

// refusalCause returns why a job has to be aborted, given the best choices for its
// waiting tasks, and the choice that decides it, if any. It returns CauseNone if the
// choices are good enough.
func (c *Core) refusalCause(now time.Duration, j *job, step int, tasks []*taskRecord, choices []choice) (Cause, *choice) {
	if len(choices) < len(tasks) {
		if j.started && len(choices) == 0 && c.CanPlace(now) {
			// Capacity may become free for the remaining tasks.
			return CauseNone, nil
		}
		return c.noPlacementCause(j, step), nil
	}
	for i := range choices {
		ch := &choices[i]
		if onTimeProbability(ch.finish, j.deadline-now) < minDeadlineProbability {
			return CauseOverload, ch
		}
		if !j.started && now+ch.wait > j.startBy {
			return CauseOverload, ch
		}
		if !j.started && ch.wait > 0 && onTimeProbability(ch.finish, j.objective-now) < minObjectiveProbability {
			return CauseOverload, ch
		}
	}
	return CauseNone, nil
}

const (
	// minDeadlineProbability is the probability of meeting the deadline below which a
	// job is refused.
	minDeadlineProbability = 0.08
	// minObjectiveProbability is the probability of meeting the objective below which
	// a job that has not started is refused if it would have to wait for a target:
	// other jobs make better use of the capacity.
	minObjectiveProbability = 0.6
)

// refusalDetails describes a refusal. last is the choice that decided it, or nil.
func (c *Core) refusalDetails(now time.Duration, j *job, step int, last *choice) *RefusalDetails {
	details := &RefusalDetails{Estimate: j.Steps[step].Estimate, Objective: j.objective - now, Deadline: j.deadline - now}
	if last != nil {
		details.Agent, details.ReportAge, details.Wait, details.Run = last.agent.Name, now-last.agent.reportedAt, last.wait, last.run
	}
	return details
}

// noPlacementCause returns why a task of the step cannot be placed: CauseTooLarge if
// the service has targets but none is suitable, otherwise CauseNoTarget.
func (c *Core) noPlacementCause(j *job, step int) Cause {
	serves := false
	for _, a := range c.agents {
		if a.target.Service != j.Queue.Service {
			continue
		}
		serves = true
		if j.Steps[step].Needs.Within(a.target.Capacity) && a.hasLabel(j.Steps[step].RequiredLabel) {
			return CauseNoTarget
		}
	}
	if serves {
		return CauseTooLarge
	}
	return CauseNoTarget
}

// minQueueTime is the minimum time that a task may wait in an agent's queue.
const minQueueTime = 20 * time.Millisecond

// sendOrders orders the tasks of the choices, with one order for each agent. If other
// targets have spare capacity, an agent that cannot start its tasks immediately as
// predicted has to refuse them, so that they go to another target.
func (c *Core) sendOrders(now time.Duration, j *job, step int, choices []choice, spare bool) {
	orders := map[*agent]*Order{}
	var sequence []*Order
	for _, ch := range choices {
		o := orders[ch.agent]
		if o == nil {
			o = c.newOrder(now, j, step, ch)
			orders[ch.agent] = o
			sequence = append(sequence, o)
		}
		if !spare || ch.wait > 0 || ch.task.busyRefusals >= maxBusyRefusals {
			o.AtOnce = false
		}
		c.place(now, j, ch, o)
	}
	for _, o := range sequence {
		c.out.Orders = append(c.out.Orders, *o)
	}
}

// newOrder returns an order without tasks to the agent of a choice.
func (c *Core) newOrder(now time.Duration, j *job, step int, ch choice) *Order {
	a, st := ch.agent, &j.Steps[step]
	runAndDelay := ch.run + c.networkDelay(a)
	due := max(j.objective-now-runAndDelay, minQueueTime)
	within := due
	if j.started {
		// A task that is expected to miss the objective must not delay tasks that can
		// still meet theirs, so it is due only by the deadline.
		within = max(j.deadline-now-runAndDelay, minQueueTime)
		if now+ch.finish > j.objective {
			due = within
		}
	}
	a.lastOrder++
	return &Order{
		Link: a.Link, Number: a.lastOrder, Step: task.StepID{Job: j.ID, Step: step}, Queue: j.Queue.Name, Service: j.Queue.Service, RequiredLabel: st.RequiredLabel, Spec: j.Spec, Needs: st.Needs,
		Expected: j.expected[step], StartWithin: within, AtOnce: true, DueWithin: due, Priority: j.Queue.Priority, MaxPerTarget: st.MaxPerTarget,
		Suspicion: c.crashSuspicion(j),
	}
}

// place adds the task of a choice to an order and records that it is on its agent.
func (c *Core) place(now time.Duration, j *job, ch choice, o *Order) {
	a, t := ch.agent, ch.task
	t.attempt = max(t.attempt, a.givenUp[t.id].number) + 1
	t.state, t.agent, t.sentAt, t.expected, t.started, t.inDoubtOn = placed, a, now, ch.run, false, ""
	t.startAt = now + ch.wait
	j.attempts++
	j.inFlight++
	j.agents[a]++
	a.placed[t.id] = t
	a.jobs[j.ID] = j
	a.lastPlacedAt = now
	a.unacked = append(a.unacked, unackedOrder{o.Number, o.Needs, float64(o.Needs.CPUMillis) * float64(ch.run.Milliseconds()), j.Queue.Name})
	o.Tasks = append(o.Tasks, Attempt{t.id.Index, t.attempt})
}

// maxBusyRefusals is how often a task may be refused by targets that other gateways
// have filled. After that it waits in the queue of the next target.
const maxBusyRefusals = 2
