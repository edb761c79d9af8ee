package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Crash is an agent's report that its target went down with runs on it.
type Crash struct {
	// Incarnation is that of the target. Together with the agent's name it identifies
	// the crash, which an agent reports once on each link.
	Incarnation int64
	// Certain is set if the process of the target is known to have ended.
	Certain bool
	// Age is the time since the agent noticed the crash.
	Age  time.Duration
	Runs []LostRun
}

// LostRun is a run that ended because its target went down.
type LostRun struct {
	Task    task.ID
	Attempt int
	Queue   string
	// Accepted is set if the target had accepted the start and cannot have ended the run
	// before the crash. Otherwise the run may not have begun, or may have ended unseen.
	Accepted bool
	// Suspicion is the likelihood that the run's job caused the crash.
	Suspicion float64
}

const (
	// maxCrashes is the number of crashes under a suspect task from which its job counts
	// as crashing its targets and is given up, maxInnocentCrashes that under a task which
	// is hardly suspect: it probably only ran beside the one that caused them.
	maxCrashes         = 2
	maxInnocentCrashes = 3
	// minCausedCrashes is the number of crashes under one task that its job must have
	// caused in all likelihood to count as crashing its targets.
	minCausedCrashes = 1.0
	// minTrialSuspicion is the suspicion against a job from which its tasks are tried one
	// at a time. trialTime is how long a run has to go on until the next one is tried: a
	// task that crashes its target usually does so soon after its start.
	minTrialSuspicion = 0.1
	trialTime         = 100 * time.Millisecond
	// maxLosses is the number of attempts of a task that were lost in any way after
	// which its job is given up.
	maxLosses = 4
	// crashMemory is how long crashes count. It is longer than callers try a job again.
	crashMemory = time.Minute
)

// crashID identifies a run that was lost in a crash.
type crashID struct {
	agent       string
	incarnation int64
	task        task.ID
}

// jobCrashes are the crashes under tasks of one job, of this submission and of earlier
// ones at any gateway.
type jobCrashes struct {
	// seen holds the crashes that are counted.
	seen map[crashID]bool
	// byTask holds the crashes under each task.
	byTask map[task.ID]taskCrashes
	// suspicion is the highest suspicion against the job in any of them.
	suspicion float64
	// crashing is set once the job has crashed its targets in all likelihood.
	crashing bool
	lastAt   time.Duration
}

// taskCrashes are the crashes under one task.
type taskCrashes struct {
	// number counts them. certain counts those in which the process of the target has
	// ended for sure, with the run still on it.
	number, certain int
	// caused is the number of those that the task's job has probably caused.
	caused float64
}

// crashLog remembers the crashes of the last minute by job.
type crashLog struct {
	jobs map[string]*jobCrashes
	// prunedAt is when outdated entries were last removed.
	prunedAt time.Duration
}

func newCrashLog() crashLog { return crashLog{jobs: map[string]*jobCrashes{}} }

// add counts a crash of an agent's target at a time. It returns the runs of jobs that
// are known to crash their targets since this crash, one of each job.
func (l *crashLog) add(at time.Duration, agent string, crash Crash) []LostRun {
	var crashing []LostRun
	for _, r := range crash.Runs {
		id := crashID{agent, crash.Incarnation, r.Task}
		jc := l.jobs[r.Task.Job]
		if jc == nil {
			jc = &jobCrashes{seen: map[crashID]bool{}, byTask: map[task.ID]taskCrashes{}}
			l.jobs[r.Task.Job] = jc
		}
		if jc.seen[id] {
			continue
		}
		jc.seen[id], jc.lastAt = true, max(jc.lastAt, at)
		jc.suspicion = max(jc.suspicion, r.Suspicion)
		tc := jc.byTask[r.Task]
		tc.number++
		if crash.Certain && r.Accepted {
			tc.certain++
		}
		tc.caused += r.Suspicion
		jc.byTask[r.Task] = tc
		if !jc.crashing && tc.number >= maxCrashes && tc.caused >= minCausedCrashes {
			jc.crashing = true
			crashing = append(crashing, r)
		}
	}
	return crashing
}

// prune removes jobs without a crash in the last crashMemory.
func (l *crashLog) prune(now time.Duration) {
	if now-l.prunedAt < crashMemory/10 {
		return
	}
	l.prunedAt = now
	for id, jc := range l.jobs {
		if now-jc.lastAt > crashMemory {
			delete(l.jobs, id)
		}
	}
}

// exhausted reports whether so many targets have crashed under a task of the job that
// it is not tried again.
func (jc *jobCrashes) exhausted() bool {
	if jc == nil {
		return false
	}
	if jc.crashing {
		return true
	}
	for _, tc := range jc.byTask {
		if tc.number >= maxInnocentCrashes {
			return true
		}
	}
	return false
}

// maxCertain returns the highest number of certain crashes under any task.
func (jc *jobCrashes) maxCertain() int {
	most := 0
	for _, tc := range jc.byTask {
		most = max(most, tc.certain)
	}
	return most
}

// TargetCrashed counts a crash of an agent's target. The reports of the lost runs,
// which follow, place their tasks again.
func (c *Core) TargetCrashed(now time.Duration, link string, crash Crash) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	at := now - crash.Age
	found := false
	for _, r := range c.crashes.add(at, a.Name, crash) {
		// Gateways of earlier releases do not name the queue.
		if r.Queue != "" {
			c.bulkheads.jobCrashes(at, queueKey{a.target.Service, r.Queue})
			found = true
		}
	}
	if found {
		// The next jobs of the queue may crash further targets.
		c.updateBulkheads(now)
	}
}

// giveUpCrashing answers a job whose tasks crash their targets or whose attempts are
// lost time after time. It reports whether it did.
func (c *Core) giveUpCrashing(now time.Duration, j *job) bool {
	jc := c.crashes.jobs[j.ID]
	switch {
	case jc.exhausted() && jc.crashing && jc.maxCertain() >= maxCrashes:
		c.stopAll(now, j)
		c.finish(now, j, Answer{State: Failed, Cause: CauseCrashes})
	case jc.exhausted():
		c.abort(now, j, CauseCrashes)
	case j.lost && j.maxLosses() >= maxLosses:
		c.abort(now, j, CauseLost)
	default:
		return false
	}
	return true
}

// isSuspect reports whether a job is suspected of crashing its targets.
func (c *Core) isSuspect(j *job) bool {
	jc := c.crashes.jobs[j.ID]
	return jc != nil && jc.suspicion >= minTrialSuspicion
}

// crashSuspicion returns the likelihood that a task of a suspect job crashes its target,
// and 0 for other jobs.
func (c *Core) crashSuspicion(j *job) float64 {
	if !c.isSuspect(j) {
		return 0
	}
	return c.crashes.jobs[j.ID].suspicion
}

// hasSuspectOnTrial reports whether a task of another suspect job was sent to the agent
// within trialTime.
func (c *Core) hasSuspectOnTrial(now time.Duration, a *agent, j *job) bool {
	for _, other := range a.jobs {
		if t := other.trial; t != nil && other != j && t.agent == a && now-t.sentAt < trialTime {
			return true
		}
	}
	return false
}

// onTrial returns those of a job's waiting tasks that are to be placed now: all, unless
// the job is suspected of crashing its targets. Then its tasks are tried one at a time,
// those under which a target has crashed first, so that it takes down one more target
// at most.
func (c *Core) onTrial(now time.Duration, j *job, tasks []*taskRecord) []*taskRecord {
	if len(tasks) == 0 || !c.isSuspect(j) {
		return tasks
	}
	if t := j.trial; t != nil && t.state == placed && now-t.sentAt < trialTime {
		return nil
	}
	next := tasks[0]
	jc := c.crashes.jobs[j.ID]
	if i := slices.IndexFunc(tasks, func(t *taskRecord) bool { return jc.byTask[t.id].number > 0 }); i > 0 {
		next = tasks[i]
	}
	j.trial = next
	return []*taskRecord{next}
}

// maxLosses returns the highest number of lost attempts of any task.
func (j *job) maxLosses() int {
	most := 0
	for _, step := range j.tasks {
		for _, t := range step {
			most = max(most, t.losses)
		}
	}
	return most
}
