package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// lateStarts holds the tasks whose attempt has ended with a start that got no answer. The
// next process of the target may still carry it out, so that the task goes to no other
// target meanwhile: while it ran there, nobody could stop it in time.
type lateStarts map[task.ID][]lateStart

// lateStart is a start that an agent's target may carry out late.
type lateStart struct {
	agent string
	// until is the time from which it is not carried out any more.
	until time.Duration
}

// note records what an event of an attempt says of its start.
func (l lateStarts) note(now time.Duration, agent string, e AttemptEvent) {
	switch {
	case e.Outcome == task.Done:
		// Its job has no use for another run.
		l.remove(agent, e.Task)
	case e.Outcome == task.Lost && (e.Reason == task.ReasonUnanswered || e.Reason == task.ReasonSuperseded):
		l.add(now, e.Task, agent)
	}
}

func (l lateStarts) add(now time.Duration, id task.ID, agent string) {
	l.remove(agent, id)
	l[id] = append(l[id], lateStart{agent, now + doubtRetention})
}

func (l lateStarts) remove(agent string, id task.ID) {
	l.filter(id, func(s lateStart) bool { return s.agent != agent })
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
	return slices.ContainsFunc(l[id], func(s lateStart) bool { return s.agent != agent && now < s.until })
}

// isBlocked reports whether a waiting task is bound to a target that takes no tasks now.
func (c *Core) isBlocked(now time.Duration, id task.ID) bool {
	if len(c.lateStarts[id]) == 0 {
		return false
	}
	return !slices.ContainsFunc(c.agents, func(a *agent) bool {
		return a.load.Accepting && now-a.reportedAt <= c.opts.SuspectAfter && !c.lateStarts.excludes(now, id, a.Name)
	})
}
