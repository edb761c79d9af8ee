package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// lateStarts holds the tasks with a start that a target may carry out late, although the
// attempt has ended or its job was given up: one that got no answer, or one of which the
// agent has not told. The agent reports when the next process of its target may carry it
// out, but the agent's own next process does not know of it.
type lateStarts map[task.ID][]lateStart

// lateStart is a start that an agent's target may carry out late.
type lateStart struct {
	agent string
	// attempt is the number of the first such attempt on that agent, or anyAttempt.
	attempt int
	// until is the time from which none is carried out any more.
	until time.Duration
	// boundUntil is the time before which the task must not start on another target, since
	// the start got no answer until it was stopped; 0 for any time.
	boundUntil time.Duration
}

// note records what an event of an attempt says of its start.
func (l lateStarts) note(now time.Duration, agent string, e AttemptEvent) {
	switch e.Outcome {
	case task.Done:
		// This submission has no use for another run.
		l.remove(agent, e.Task, 0)
	case task.Started, task.NotStarted:
		if !e.mayBeLate() {
			l.remove(agent, e.Task, e.Attempt)
		}
	case task.Lost:
		if e.mayBeLate() {
			l.add(now, e.Task, lateStart{agent: agent, attempt: anyAttempt, boundUntil: now + doubtRetention})
		}
	}
}

// mayBeLate reports whether an event says that a start of the attempt may still be carried
// out.
func (e *AttemptEvent) mayBeLate() bool {
	switch e.Outcome {
	case task.Started:
		return e.Reason == task.ReasonRepeated
	case task.Lost:
		return e.Reason == task.ReasonUnanswered || e.Reason == task.ReasonSuperseded
	}
	return false
}

// keepLateStarts records the starts of a job that is answered as unfinished: its caller may
// submit it again, so that tasks which are done run again as well.
func (c *Core) keepLateStarts(now time.Duration, j *job) {
	for _, step := range j.tasks {
		for _, t := range step {
			for _, agent := range t.lateOn {
				c.lateStarts.add(now, t.id, lateStart{agent: agent, attempt: anyAttempt})
			}
		}
	}
}

// lateTasksOf returns an agent's own tasks among those that it relays.
func lateTasksOf(agent string, relayed []TaskInDoubt) []task.ID {
	var own []task.ID
	for _, t := range relayed {
		if t.Agent == agent {
			own = append(own, t.Task)
		}
	}
	return own
}

// told records the late tasks that an agent lists. It forgets none: those that are missing
// may be of the agent's earlier process.
func (l lateStarts) told(now time.Duration, agent string, tasks []task.ID) {
	for _, id := range tasks {
		l.add(now, id, lateStart{agent: agent, attempt: anyAttempt})
	}
}

// anyAttempt is the attempt of a late start that is forgotten only with the end of its task.
const anyAttempt = -1

func (l lateStarts) add(now time.Duration, id task.ID, s lateStart) {
	s.until = now + doubtRetention
	i := slices.IndexFunc(l[id], func(known lateStart) bool { return known.agent == s.agent })
	if i < 0 {
		l[id] = append(l[id], s)
		return
	}
	known := &l[id][i]
	known.until, known.boundUntil = s.until, max(known.boundUntil, s.boundUntil)
	if s.attempt != known.attempt {
		// The report of one attempt says nothing of the other.
		known.attempt = anyAttempt
	}
}

// remove forgets the starts of a task on an agent. If attempt is not 0, it forgets only
// that one.
func (l lateStarts) remove(agent string, id task.ID, attempt int) {
	l.filter(id, func(s lateStart) bool { return s.agent != agent || attempt != 0 && s.attempt != attempt })
}

func (l lateStarts) filter(id task.ID, keep func(lateStart) bool) {
	kept := slices.DeleteFunc(l[id], func(s lateStart) bool { return !keep(s) })
	if len(kept) == 0 {
		delete(l, id)
		return
	}
	l[id] = kept
}

// prune removes what has expired.
func (l lateStarts) prune(now time.Duration) {
	for id := range l {
		l.filter(id, func(s lateStart) bool { return now < s.until })
	}
}

// excludes reports whether a task must not start on an agent, since it is bound to the
// target of another one.
func (l lateStarts) excludes(now time.Duration, id task.ID, agent string) bool {
	return slices.ContainsFunc(l[id], func(s lateStart) bool { return now < s.boundUntil && s.agent != agent })
}

// ofJob reports whether a start of any task of a job may be carried out late.
func (l lateStarts) ofJob(now time.Duration, job string) bool {
	for id, starts := range l {
		if id.Job == job && slices.ContainsFunc(starts, func(s lateStart) bool { return now < s.until }) {
			return true
		}
	}
	return false
}

// isBound reports whether a task must not start on any target but one.
func (l lateStarts) isBound(now time.Duration, id task.ID) bool {
	return slices.ContainsFunc(l[id], func(s lateStart) bool { return now < s.boundUntil })
}

// on returns the tasks with a late start on an agent, sorted.
func (l lateStarts) on(agent string) []task.ID {
	var tasks []task.ID
	for id := range l {
		if l.until(agent, id) > 0 {
			tasks = append(tasks, id)
		}
	}
	slices.SortFunc(tasks, func(x, y task.ID) int { return strings.Compare(x.String(), y.String()) })
	return tasks
}

// until returns the time up to which a task's late start on an agent may be carried out, or
// 0 if there is none.
func (l lateStarts) until(agent string, id task.ID) time.Duration {
	for _, s := range l[id] {
		if s.agent == agent {
			return s.until
		}
	}
	return 0
}

// doubtLateStarts brings the late starts on an agent into doubt, and stops the runs of
// their tasks elsewhere: its target may have crashed, and it may not know of them.
func (c *Core) doubtLateStarts(now time.Duration, agent string) {
	for _, id := range c.lateStarts.on(agent) {
		if until := c.lateStarts.until(agent, id); now < until {
			c.doubts.addUntil(until, agent, id)
			c.stopElsewhere(TaskInDoubt{id, agent})
		}
	}
}

// isBlocked reports whether a waiting task is bound to a target that takes no tasks now.
func (c *Core) isBlocked(now time.Duration, id task.ID) bool {
	return c.lateStarts.isBound(now, id) && !slices.ContainsFunc(c.agents, func(a *agent) bool {
		return a.load.Accepting && now-a.reportedAt <= c.opts.SuspectAfter && !c.lateStarts.excludes(now, id, a.Name)
	})
}
