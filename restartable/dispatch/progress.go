package dispatch

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// proceed answers a job that has ended and places what can be placed.
func (c *Core) proceed(now time.Duration, j *job) {
	if c.jobs[j.ID] != j {
		return
	}
	if j.withdrawn != CauseNone {
		c.awaitWithdrawal(now, j)
		return
	}
	if j.complete() {
		c.finish(now, j, Answer{State: Completed})
		return
	}
	for step := range j.Steps {
		for _, t := range j.tasks[step] {
			if t.failed >= j.Queue.MaxAttempts {
				c.stopAll(j)
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
// been given up.
func (c *Core) placeStep(now time.Duration, j *job, step int) bool {
	tasks := j.waitingTasks(step)
	if len(tasks) == 0 {
		return true
	}
	p := c.newPlan(now, j, step)
	choices := p.placeAll(tasks)
	if cause, last := c.refusal(now, j, step, tasks, choices); cause != CauseNone {
		if c.awaitsAgents(now) && !j.begun {
			// The next tick looks for places anew.
			return true
		}
		j.basis = c.basis(now, j, step, last)
		c.withdraw(now, j, cause)
		return false
	}
	c.send(now, j, step, choices, p.spare())
	return true
}

// refusal tells why a job ought to be given up, given the best places for its
// waiting tasks, and which of the choices decided it.
func (c *Core) refusal(now time.Duration, j *job, step int, tasks []*taskRecord, choices []choice) (Cause, *choice) {
	if len(choices) < len(tasks) {
		if j.begun && len(choices) == 0 && c.CanPlace(now) {
			// Something may come free for the rest.
			return CauseNone, nil
		}
		return c.causeOfNoPlace(j, step), nil
	}
	for i := range choices {
		ch := &choices[i]
		if onTime(ch.finish, j.deadline-now) < hopeless {
			return CauseOverload, ch
		}
		if !j.begun && ch.wait > 0 && onTime(ch.finish, j.objective-now) < crowded {
			return CauseOverload, ch
		}
	}
	return CauseNone, nil
}

const (
	// hopeless is the probability to meet its deadline below which a job is
	// refused.
	hopeless = 0.08
	// crowded is the probability to meet its objective below which a job that
	// would have to wait for a target is refused: others could use its place.
	crowded = 0.4
)

func (c *Core) basis(now time.Duration, j *job, step int, last *choice) *RefusalDetails {
	b := &RefusalDetails{Estimate: j.Steps[step].Estimate, Objective: j.objective - now, Deadline: j.deadline - now}
	if last != nil {
		b.Agent, b.ReportAge, b.Wait, b.Run = last.agent.Name, now-last.agent.heard, last.wait, last.run
	}
	return b
}

func (c *Core) causeOfNoPlace(j *job, step int) Cause {
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

// startGrace is the least time that a task may stay in an agent's queue.
const startGrace = 20 * time.Millisecond

// send hands the choices to the agents, one order to each. With spare targets,
// tasks that are expected to begin at once come back if they cannot.
func (c *Core) send(now time.Duration, j *job, step int, choices []choice, spare bool) {
	orders := map[*agent]*Order{}
	var sequence []*Order
	for _, ch := range choices {
		o := orders[ch.agent]
		if o == nil {
			o = c.newOrder(now, j, step, ch)
			orders[ch.agent] = o
			sequence = append(sequence, o)
		}
		if !spare || ch.wait > 0 || ch.task.returned >= returnsMax {
			o.AtOnce = false
		}
		c.place(now, j, ch, o)
	}
	for _, o := range sequence {
		c.out.Orders = append(c.out.Orders, *o)
	}
}

// newOrder returns an order without tasks for the agent of a choice.
func (c *Core) newOrder(now time.Duration, j *job, step int, ch choice) *Order {
	a, st := ch.agent, &j.Steps[step]
	way := ch.run + c.hop(a)
	due := max(j.objective-now-way, startGrace)
	within := due
	if j.begun {
		// What is late already must not delay what can still be in time.
		within = max(j.deadline-now-way, startGrace)
		if now+ch.finish > j.objective {
			due = within
		}
	}
	a.orders++
	return &Order{
		Link: a.Link, Number: a.orders, Step: task.StepID{Job: j.ID, Step: step}, Spec: j.Spec, Needs: st.Needs,
		Expected: j.expected[step], StartWithin: within, AtOnce: true, DueWithin: due, Priority: j.Queue.Priority, MaxPerTarget: st.MaxPerTarget,
	}
}

// place notes that the task of a choice goes to its agent with an order.
func (c *Core) place(now time.Duration, j *job, ch choice, o *Order) {
	a, t := ch.agent, ch.task
	t.attempt++
	t.state, t.agent, t.sentAt, t.expected = placed, a, now, ch.run
	t.overdueAt = now + ch.wait + time.Duration(overdueFactor*float64(ch.run)) + overdueSlack
	j.attempts++
	j.onTargets++
	j.agents[a] = true
	a.placed[t.id] = t
	a.jobs[j.ID] = j
	a.probedAt = now
	a.unseen = append(a.unseen, sentOrder{o.Number, o.Needs, float64(o.Needs.CPUMillis) * float64(ch.run.Milliseconds())})
	o.Tasks = append(o.Tasks, Attempt{t.id.Index, t.attempt})
}

// returnsMax bounds how often a task comes back from targets that other gateways
// have filled, before it waits for its turn.
const returnsMax = 2

const (
	// overdueFactor and overdueSlack tell from the predicted run time when a run
	// is taken to hang. Estimates are off by about 40%.
	overdueFactor = 2.5
	overdueSlack  = 50 * time.Millisecond
)
