// Package dispatch implements the gateway's side of restartable jobs: it decides
// which jobs are accepted, on which agents their tasks run, and when a job is
// aborted.
//
// Core makes the decisions and does no I/O. Dispatcher carries them out.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Options are the settings of a Core.
type Options struct {
	// Zone is the availability zone of this gateway.
	Zone string
	// SameZoneDelay and CrossZoneDelay are the one-way network delays within a zone
	// and between zones.
	SameZoneDelay, CrossZoneDelay time.Duration
	// AnswerMargin is how long before its deadline an uncompleted job is answered, so
	// that the answer reaches the caller in time.
	AnswerMargin time.Duration
	// SuspectAfter is the time without a report after which an agent gets no new
	// tasks.
	SuspectAfter time.Duration
	// ProbeInterval is the minimum time between two tasks placed on an avoided target.
	ProbeInterval time.Duration
	// RemoteFactor is the factor by which a task takes longer on another rack than
	// that of its data.
	RemoteFactor float64
	// SuspendedAfter is the time without a tick after which this process is taken
	// to have been suspended. For ResumeDelay it then refuses all jobs: requests that
	// waited in its connections may have been resubmitted to another gateway. While
	// ticks are later than MaxTickDelay, it has not read all of them, and the delay
	// begins anew, for at most ResumeMax: a VM may be slow for longer.
	SuspendedAfter, ResumeDelay, MaxTickDelay, ResumeMax time.Duration
	// StartupGrace is the time after its start in which a gateway keeps jobs that it
	// cannot place yet instead of refusing them: most agents connect within this time.
	StartupGrace time.Duration
	// RetryAfter is the minimum time that a refused caller is told to wait before it
	// retries.
	RetryAfter time.Duration
	// UnsupportedRetryAfter is the time that the caller of an unsupported job is told
	// to wait before it retries. It is longer since only an upgrade changes the
	// answer.
	UnsupportedRetryAfter time.Duration
	// Random returns a number in [0, 1). It spreads the times at which callers retry.
	Random func() float64
}

// DefaultOptions returns options for the deployments that docs/design.md describes
// in section 1.6.
func DefaultOptions(zone string) Options {
	return Options{
		Zone: zone, SameZoneDelay: 300 * time.Microsecond, CrossZoneDelay: 1500 * time.Microsecond,
		AnswerMargin: 10 * time.Millisecond, SuspectAfter: 350 * time.Millisecond,
		SuspendedAfter: 400 * time.Millisecond, ResumeDelay: 250 * time.Millisecond, MaxTickDelay: 60 * time.Millisecond, ResumeMax: 2 * time.Second,
		StartupGrace: 300 * time.Millisecond, ProbeInterval: time.Second, RemoteFactor: 1.5, RetryAfter: time.Second, UnsupportedRetryAfter: time.Minute, Random: rand.Float64,
	}
}

// Core makes the decisions of one gateway. It is not safe for concurrent use. All
// times are of one monotonic clock that keeps running while the machine is
// suspended.
type Core struct {
	opts   Options
	agents []*agent
	byLink map[string]*agent
	jobs   map[string]*job
	// kindStats and serviceStats hold the slowness statistics of each kind of target
	// and of all targets of each service, as computed at statsAt.
	kindStats    map[kindKey]slownessStats
	serviceStats map[string]slownessStats
	statsAt      time.Duration
	// estimators predict run times, by queue name.
	estimators map[string]*estimator
	// speedGains tell, by service, how much its jobs gain from fast targets.
	speedGains map[string]*speedGain
	crashes    crashLog
	bulkheads  bulkheads
	shares     *fairshare.Admission
	doubts     doubts
	lateStarts lateStarts
	fencing    fencingRecords
	// cancelled holds until when a submission of a job is refused since the job was
	// cancelled; prunedCancelledAt is when outdated entries were last removed.
	cancelled         map[string]time.Duration
	prunedCancelledAt time.Duration
	// startedAt is when this process started.
	startedAt time.Duration
	// stopAt is when this process ends, 0 while it is not known.
	stopAt time.Duration
	// lastTickAt is the time of the last tick. Until resumeAt all jobs are refused
	// because of a suspension that ended at resumedAt.
	lastTickAt, resumeAt, resumedAt time.Duration
	// out collects the actions for the next Take.
	out Actions
}

// NewCore returns a core without agents.
func NewCore(opts Options) *Core {
	return &Core{
		opts:       opts,
		byLink:     map[string]*agent{},
		jobs:       map[string]*job{},
		estimators: map[string]*estimator{},
		speedGains: map[string]*speedGain{},
		crashes:    newCrashLog(),
		bulkheads:  newBulkheads(),
		shares:     fairshare.NewAdmission(),
		doubts:     doubts{},
		lateStarts: lateStarts{},
		fencing:    fencingRecords{},
		cancelled:  map[string]time.Duration{},
	}
}

// Take returns the actions that were decided since the last call.
func (c *Core) Take() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// Status summarises the state that decides about new jobs, for metrics.
type Status struct {
	// Jobs is the number of jobs in progress, Agents that of connected agents.
	// Accepting counts the agents that accept tasks, Avoided those whose target is
	// avoided.
	Jobs, Agents, Accepting, Avoided int
	// CrashedJobs is the number of jobs under which a target has crashed in the last
	// minute, Confined that of queues that are confined to a part of the targets.
	CrashedJobs, Confined int
	// TasksInDoubt is the number of tasks with a start that a target may still carry out.
	TasksInDoubt int
	// Capacity and Committed are sums over all targets, in thousandths of a core.
	Capacity, Committed int64
}

// Status returns the current state.
func (c *Core) Status(now time.Duration) Status {
	s := Status{
		Jobs: len(c.jobs), Agents: len(c.agents), CrashedJobs: len(c.crashes.jobs), Confined: c.bulkheads.countConfined(),
		TasksInDoubt: len(c.doubts.list(now)),
	}
	for _, a := range c.agents {
		if a.load.Accepting && now-a.reportedAt <= c.opts.SuspectAfter {
			s.Accepting++
		}
		if a.avoided {
			s.Avoided++
		}
		needs, _ := a.committed()
		s.Capacity += a.target.Capacity.CPUMillis
		s.Committed += needs.CPUMillis
	}
	return s
}

// CanPlace reports whether any agent accepts tasks.
func (c *Core) CanPlace(now time.Duration) bool {
	return slices.ContainsFunc(c.agents, func(a *agent) bool {
		return a.load.Accepting && now-a.reportedAt <= c.opts.SuspectAfter
	})
}

// Caller is a request that waits for the answer to a job. Answer is called at most
// once.
type Caller struct{ Answer func(Answer) }

// Submit submits a job. The caller is answered during this or a later call to the
// Core. If a job with the same ID is in progress, the caller gets its answer.
func (c *Core) Submit(now time.Duration, s Submission, caller *Caller) {
	if j := c.jobs[s.ID]; j != nil {
		j.callers = append(j.callers, caller)
		return
	}
	j := newJob(now, s, c.estimator(s.Queue.Name).predict)
	j.callers = append(j.callers, caller)
	c.limitToStop(j)
	// A target went down under an earlier submission of the job, so that it has run, or it
	// may still run.
	j.started = c.crashes.jobs[s.ID] != nil || c.jobInDoubt(now, s.ID) || c.lateStarts.ofJob(now, s.ID)
	if !s.supported() {
		c.finish(now, j, Answer{State: NotRun, Cause: CauseUnsupported, RetryAfter: c.opts.UnsupportedRetryAfter})
		return
	}
	if now < c.cancelled[s.ID] {
		// An earlier submission may have run.
		j.started = true
		c.abort(now, j, CauseCancelled)
		return
	}
	c.detectSuspension(now)
	if now < c.resumeAt {
		c.abort(now, j, CauseSuspended)
		return
	}
	c.jobs[s.ID] = j
	c.bulkheads.jobArrived(now, j)
	c.advance(now, j)
}

// RemoveCaller removes a caller that no longer waits. A job whose callers have all
// left is aborted, since they may submit it to another gateway.
func (c *Core) RemoveCaller(now time.Duration, id string, caller *Caller) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	j.callers = slices.DeleteFunc(j.callers, func(o *Caller) bool { return o == caller })
	if len(j.callers) == 0 {
		c.abort(now, j, CauseCallerLeft)
	}
}

// applyEvent applies an agent's report of an attempt. It returns the job whose state
// may have changed, or nil.
func (c *Core) applyEvent(now time.Duration, a *agent, e AttemptEvent) *job {
	if a.Process != 0 {
		c.lateStarts.note(now, a.Name, e)
	}
	t := a.placed[e.Task]
	if t == nil || t.attempt != e.Attempt {
		if e.Outcome == task.Started {
			c.stopUnknownRun(a, e)
		} else {
			a.givenUp.ended(e.Task, e.Attempt)
		}
		return nil
	}
	j := c.jobs[e.Task.Job]
	if a.Process != 0 && e.mayBeLate() {
		t.lateOn = append(t.lateOn, a.Name)
	}
	if e.Outcome == task.Started {
		if j != nil {
			j.started = true
		}
		c.confirmRecall(a, t)
		t.started = e.Reason != task.ReasonRepeated
		t.startAt = now
		return j
	}
	delete(a.placed, e.Task)
	t.agent = nil
	if j == nil {
		return nil
	}
	j.inFlight--
	if e.Outcome != task.NotStarted {
		j.started = true
	}
	t.state = waiting
	if e.Outcome != task.Done {
		c.out.Retries = append(c.out.Retries, Retry{
			Agent: a.Name, Task: t.id, Attempt: e.Attempt, Outcome: e.Outcome, Reason: e.Reason, Ran: e.RunTime, Expected: t.expected,
		})
	}
	if e.Reason == task.ReasonSuperseded {
		t.attempt += supersededSkip
	}
	switch e.Outcome {
	case task.Done:
		t.state = done
		a.doneSinceAvoided++
		c.recordRun(t, a, e.RunTime)
		j.remaining[e.Task.Step]--
		st := &j.Steps[e.Task.Step]
		c.observeRun(j.Queue.Name, st.Estimate, e.RunTime, a, now, 1/float64(st.Tasks))
	case task.Failed:
		t.failures++
		t.failedOn = a.Name
	case task.Lost:
		t.losses++
		j.lost = true
		t.failedOn = a.Name
	case task.NotStarted:
		switch e.Reason {
		case task.ReasonUnanswered:
			// Agents of earlier releases report such an attempt as not started.
			j.unanswered = true
		case task.ReasonBusy:
			t.busyRefusals++
		case task.ReasonDuplicate:
			// A run of an earlier submission has not ended yet, and two runs of a task
			// must not overlap. The caller has to retry after it has ended.
			j.started = true
			c.abort(now, j, CauseEarlierRun)
			return nil
		}
	}
	return j
}

// stopUnknownRun stops a run that an agent has started but this core has not placed, or
// has given up. Nothing else would end it: the agent keeps a run as long as it has contact
// with its gateway. Usually the start and the stop of its job have crossed, and the agent
// ignores the second stop.
func (c *Core) stopUnknownRun(a *agent, e AttemptEvent) {
	stop := Stop{Link: a.Link, Job: e.Task.Job, Task: e.Task, Attempt: e.Attempt}
	c.out.Stops = append(c.out.Stops, stop)
	c.out.UnknownRuns = append(c.out.UnknownRuns, UnknownRun{Agent: a.Name, Task: e.Task, Attempt: e.Attempt})
}

// supersededSkip is added to a task's attempt number if the target has already
// seen that number or a higher one, because an earlier submission of the job ran
// there.
const supersededSkip = 16

// detectSuspension detects that this process was suspended, since the clock has advanced
// without ticks, or that it still reads what has arrived meanwhile, since ticks are late.
func (c *Core) detectSuspension(now time.Duration) {
	gap := now - c.lastTickAt
	switch {
	case c.lastTickAt == 0:
	case gap > c.opts.SuspendedAfter:
		c.out.Suspended = gap
		c.lastTickAt, c.resumedAt, c.resumeAt = now, now, now+c.opts.ResumeDelay
	case now < c.resumeAt && gap > c.opts.MaxTickDelay:
		c.resumeAt = min(now+c.opts.ResumeDelay, c.resumedAt+c.opts.ResumeMax)
	}
}

// StopAt announces that this process ends at a time. Jobs that are not done by then are
// answered before, and new ones that would not be are refused: their callers would lose
// their connections.
func (c *Core) StopAt(at time.Duration) {
	c.stopAt = at
	for _, j := range c.jobs {
		c.limitToStop(j)
	}
}

// limitToStop lets a job end before this process does.
func (c *Core) limitToStop(j *job) {
	if c.stopAt > 0 {
		j.deadline, j.startBy = min(j.deadline, c.stopAt), min(j.startBy, c.stopAt)
	}
}

// SetStartTime sets the time at which this process started.
func (c *Core) SetStartTime(now time.Duration) { c.startedAt = now }

// inStartupGrace reports whether the process started so recently that more agents
// are expected to connect.
func (c *Core) inStartupGrace(now time.Duration) bool { return now-c.startedAt < c.opts.StartupGrace }

// Tick aborts jobs whose deadline is at most AnswerMargin away, refuses those of which
// no task has started in time, recalls stragglers and places waiting tasks.
func (c *Core) Tick(now time.Duration) {
	c.detectSuspension(now)
	c.lastTickAt = now
	c.crashes.prune(now)
	c.doubts.prune(now)
	c.lateStarts.prune(now)
	for _, a := range c.agents {
		a.givenUp.prune(now)
	}
	c.fencing.prune(now)
	c.pruneCancelled(now)
	c.expireShareLimits(now)
	if now-c.bulkheads.updatedAt >= statsInterval {
		c.updateBulkheads(now)
	}
	for _, j := range sortedJobs(c.jobs) {
		if now >= j.deadline-c.opts.AnswerMargin {
			c.abort(now, j, CauseDeadline)
			continue
		}
		if j.revokeCause == CauseNone && !j.started && now >= j.startBy-c.opts.AnswerMargin {
			c.revoke(now, j, CauseOverload)
			continue
		}
		if j.revokeCause == CauseNone {
			c.recallStragglers(now, j)
		}
		c.advance(now, j)
	}
}

// sortedJobs returns the jobs in a deterministic order, so that the same calls
// lead to the same actions.
func sortedJobs(jobs map[string]*job) []*job {
	all := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int {
		if a.arrived != b.arrived {
			return int(a.arrived - b.arrived)
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
