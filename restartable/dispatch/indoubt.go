package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// doubtRetention is how long a start stays in doubt without news of its agent. It exceeds
// the delay with which targets carry out calls.
const doubtRetention = 13 * time.Second

// taskDoubts holds tasks with a start in doubt, by job: for each until when the doubt is
// kept.
type taskDoubts map[string]map[task.ID]time.Duration

func (d taskDoubts) add(until time.Duration, tasks ...task.ID) {
	for _, id := range tasks {
		if d[id.Job] == nil {
			d[id.Job] = map[task.ID]time.Duration{}
		}
		d[id.Job][id] = max(d[id.Job][id], until)
	}
}

func (d taskDoubts) hasJob(now time.Duration, job string) bool {
	for _, until := range d[job] {
		if now < until {
			return true
		}
	}
	return false
}

func (d taskDoubts) has(now time.Duration, id task.ID) bool { return now < d[id.Job][id] }

// prune removes what has expired.
func (d taskDoubts) prune(now time.Duration) {
	for job, tasks := range d {
		maps.DeleteFunc(tasks, func(_ task.ID, until time.Duration) bool { return now >= until })
		if len(tasks) == 0 {
			delete(d, job)
		}
	}
}

// TaskInDoubt is a task with a start in doubt on an agent.
type TaskInDoubt struct {
	Task  task.ID
	Agent string
}

// doubts holds by agent the tasks, of this and of earlier submissions at any gateway, with
// a start that a target has not answered and may still carry out. Until that is excluded,
// they must not start again: two runs could overlap. It covers the agents that are or were
// linked to this gateway.
type doubts map[string]taskDoubts

// add records tasks with a start in doubt on an agent.
func (d doubts) add(now time.Duration, agent string, tasks ...task.ID) {
	d.addUntil(now+doubtRetention, agent, tasks...)
}

// addUntil records tasks with a start in doubt on an agent until a time.
func (d doubts) addUntil(until time.Duration, agent string, tasks ...task.ID) {
	if len(tasks) == 0 {
		return
	}
	if d[agent] == nil {
		d[agent] = taskDoubts{}
	}
	d[agent].add(until, tasks...)
}

// list returns the tasks in doubt on the agents that are or were linked to this gateway,
// sorted.
func (d doubts) list(now time.Duration) []TaskInDoubt {
	var out []TaskInDoubt
	for agent, known := range d {
		for _, tasks := range known {
			for id, until := range tasks {
				if now < until {
					out = append(out, TaskInDoubt{id, agent})
				}
			}
		}
	}
	slices.SortFunc(out, func(x, y TaskInDoubt) int {
		return cmp.Or(strings.Compare(x.Task.String(), y.Task.String()), strings.Compare(x.Agent, y.Agent))
	})
	return out
}

// prune removes what has expired.
func (d doubts) prune(now time.Duration) {
	for agent, known := range d {
		known.prune(now)
		if len(known) == 0 {
			delete(d, agent)
		}
	}
}

// reportDoubts applies what the load of an agent says of doubts. Those of before end only
// if the target refuses all earlier calls: a restarted agent knows nothing of the starts of
// its predecessor.
func (c *Core) reportDoubts(now time.Duration, a *agent, l *Load) {
	if l.Fenced {
		delete(c.doubts, a.Name)
	} else {
		c.doubtLateStarts(now, a.Name)
	}
	if l.DoubtsChanged {
		a.inDoubt = l.TasksInDoubt
	}
	c.doubts.add(now, a.Name, a.inDoubt...)
	for _, id := range a.inDoubt {
		c.stopElsewhere(TaskInDoubt{id, a.Name})
	}
}

// TasksRelayed records all tasks that an agent relays as in doubt from other gateways, and
// its own late tasks, which come into doubt if it is not heard from.
func (c *Core) TasksRelayed(now time.Duration, link string, tasks []TaskInDoubt) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	a.relayed = map[string]taskDoubts{}
	a.late = lateTasksOf(a.Name, tasks)
	c.lateStarts.told(now, a.Name, a.late)
	for _, t := range tasks {
		if a.relayed[t.Agent] == nil {
			a.relayed[t.Agent] = taskDoubts{}
		}
		a.relayed[t.Agent].add(math.MaxInt64, t.Task)
		if !c.hearsFrom(now, t.Agent) {
			c.stopElsewhere(t)
		}
	}
}

// stopElsewhere stops the run of a task that has come into doubt on another agent. An
// earlier start there got no answer, and the task was started here before its target
// went out of contact.
func (c *Core) stopElsewhere(d TaskInDoubt) {
	j := c.jobs[d.Task.Job]
	if j == nil || d.Task.Step >= len(j.tasks) || d.Task.Index >= len(j.tasks[d.Task.Step]) {
		return
	}
	t := j.tasks[d.Task.Step][d.Task.Index]
	if t.agent == nil || t.agent.Name == d.Agent || t.inDoubtOn != "" {
		return
	}
	t.state, t.inDoubtOn = recalled, d.Agent
	c.out.Stops = append(c.out.Stops, Stop{Link: t.agent.Link, Job: j.ID, Task: t.id, Attempt: t.attempt})
	c.out.DoubtfulRuns = append(c.out.DoubtfulRuns, DoubtfulRun{Task: t.id, Attempt: t.attempt, Agent: t.agent.Name, InDoubtOn: d.Agent})
}

// TasksInDoubt returns the tasks in doubt that this gateway tells its agents.
func (c *Core) TasksInDoubt(now time.Duration) []TaskInDoubt { return c.doubts.list(now) }

// hearsFrom reports whether an agent says on a link to this gateway what is in doubt. What
// other gateways know of it is older then. It knows of all starts once its target refuses
// the calls of its earlier processes.
func (c *Core) hearsFrom(now time.Duration, name string) bool {
	return slices.ContainsFunc(c.agents, func(a *agent) bool {
		return a.Name == name && a.load.Fenced && now-a.reportedAt <= c.opts.SuspectAfter
	})
}

// findDoubt returns an agent of whose doubts a condition holds, and false if there is none.
func (c *Core) findDoubt(now time.Duration, holds func(d taskDoubts) bool) (string, bool) {
	for agent, known := range c.doubts {
		if holds(known) {
			return agent, true
		}
	}
	for _, a := range c.agents {
		for agent, known := range a.relayed {
			if holds(known) && !c.hearsFrom(now, agent) {
				return agent, true
			}
		}
	}
	return "", false
}

// jobInDoubt reports whether any task of a job is in doubt.
func (c *Core) jobInDoubt(now time.Duration, job string) bool {
	_, found := c.findDoubt(now, func(d taskDoubts) bool { return d.hasJob(now, job) })
	return found
}

// taskInDoubt reports whether a task is in doubt.
func (c *Core) taskInDoubt(now time.Duration, id task.ID) bool {
	_, found := c.findDoubt(now, func(d taskDoubts) bool { return d.has(now, id) })
	return found
}

// doubtPlaced records the tasks on an agent that is out of reach: it may have sent starts
// that its successor does not know of. Agents of earlier releases, which name no process,
// would not end the doubt.
func (c *Core) doubtPlaced(now time.Duration, a *agent) {
	if a.Process == 0 {
		return
	}
	for id, t := range a.placed {
		if !t.started {
			c.doubts.add(now, a.Name, id)
		}
	}
}

// isHeld reports whether nothing of a job must start, since an earlier submission of it is
// in doubt.
func (c *Core) isHeld(now time.Duration, j *job) bool {
	return j.attempts == 0 && c.jobInDoubt(now, j.ID)
}

// hold records that a job is held. It counts as started, since an earlier submission may
// still run.
func (c *Core) hold(now time.Duration, j *job) {
	if !j.held {
		agent, _ := c.findDoubt(now, func(d taskDoubts) bool { return d.hasJob(now, j.ID) })
		c.out.HeldJobs = append(c.out.HeldJobs, HeldJob{j.ID, j.Queue.Name, agent})
	}
	j.started, j.held = true, true
}

// placeableTasks returns the waiting tasks of a step whose start is not in doubt, and that
// are not bound to a target that takes no tasks.
func (c *Core) placeableTasks(now time.Duration, j *job, step int) []*taskRecord {
	tasks := j.waitingTasks(step)
	if len(tasks) == 0 {
		return tasks
	}
	doubtful := c.jobInDoubt(now, j.ID)
	return slices.DeleteFunc(tasks, func(t *taskRecord) bool {
		return doubtful && c.taskInDoubt(now, t.id) || c.isBlocked(now, t.id)
	})
}

// giveUpDoubtful answers a job that cannot be completed in time any more because of a
// start in doubt. It reports whether it did.
func (c *Core) giveUpDoubtful(now time.Duration, j *job) bool {
	blocked := c.blockedFor(now, j)
	if blocked == 0 || onTimeProbability(blocked, j.deadline-now) >= minDeadlineProbability {
		return false
	}
	j.started = true
	c.abort(now, j, CauseInDoubt)
	return true
}

// startInDoubt reports whether the agent of a placed task says that its start is in doubt.
func (c *Core) startInDoubt(now time.Duration, t *taskRecord) bool {
	return !t.started && c.doubts[t.agent.Name].has(now, t.id)
}

// blockedFor returns the expected run time of what must not start before a doubt has
// ended: a whole job that is held, or the longest task whose start is in doubt. It is 0 if
// there is none.
func (c *Core) blockedFor(now time.Duration, j *job) time.Duration {
	if c.isHeld(now, j) {
		return max(j.criticalPath(), 1)
	}
	doubtful := c.jobInDoubt(now, j.ID)
	if !doubtful && len(c.lateStarts) == 0 {
		return 0
	}
	var longest time.Duration
	for step, tasks := range j.tasks {
		for _, t := range tasks {
			if c.isTaskBlocked(now, j, t, doubtful) {
				longest = max(longest, j.expected[step], 1)
			}
		}
	}
	return longest
}

// isTaskBlocked reports whether a task of a job must not start, or its start is in doubt.
// doubtful is set if any task of the job is in doubt.
func (c *Core) isTaskBlocked(now time.Duration, j *job, t *taskRecord, doubtful bool) bool {
	switch {
	case t.state == waiting && j.ready(t.id.Step):
		return doubtful && c.taskInDoubt(now, t.id) || c.isBlocked(now, t.id)
	case t.agent != nil:
		return doubtful && c.startInDoubt(now, t)
	}
	return false
}
