// Package dispatch is the gateway's side of restartable jobs: it decides which
// jobs are taken, on which agents their tasks run, and when a job is given up.
//
// Core holds the decisions and does no I/O; Dispatcher drives it.
package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Options are the settings of a Core.
type Options struct {
	// Zone is the availability zone of this gateway.
	Zone string
	// NearHop and FarHop are one-way network delays within and between zones.
	NearHop, FarHop time.Duration
	// ReturnTrip is how long before its deadline a job is answered.
	ReturnTrip time.Duration
	// SuspectAfter is the silence after which an agent gets no new work.
	SuspectAfter time.Duration
	// ProbeEvery is the time between two tasks for an avoided target.
	ProbeEvery time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
	// SuspendedAfter is the time without a tick after which this process counts
	// as having been suspended, SettleAfter how long it then takes no job: requests
	// that had waited in its connections may have been sent again elsewhere.
	SuspendedAfter, SettleAfter time.Duration
	// AttachWithin is how long after its start a gateway keeps jobs for which it
	// knows no target with room: most agents dial it within this time.
	AttachWithin time.Duration
	// RetryAfter is what a refused caller is told to wait at least.
	RetryAfter time.Duration
	// UnsupportedRetry is what the caller of a job that this release does not run
	// is told to wait; the answer changes only with another release.
	UnsupportedRetry time.Duration
}

// DefaultOptions suit the deployments of docs/design.md section 1.6.
func DefaultOptions(zone string) Options {
	return Options{
		Zone: zone, NearHop: 300 * time.Microsecond, FarHop: 1500 * time.Microsecond,
		ReturnTrip: 10 * time.Millisecond, SuspectAfter: 350 * time.Millisecond,
		SuspendedAfter: 400 * time.Millisecond, SettleAfter: 250 * time.Millisecond,
		AttachWithin: 300 * time.Millisecond, ProbeEvery: time.Second, RemoteFactor: 1.5, RetryAfter: time.Second, UnsupportedRetry: time.Minute,
	}
}

// Core decides for one gateway. It is not safe for concurrent use; all times
// are of one clock that also counts suspensions.
type Core struct {
	opts   Options
	agents []*agent
	byLink map[string]*agent
	jobs   map[string]*job
	// kinds and services have the speeds of kinds and of all targets of a service,
	// as of kindsAt.
	kinds    map[kindKey]speeds
	services map[string]speeds
	kindsAt  time.Duration
	// estimators are those of the queues by name.
	estimators map[string]*estimator
	// startedAt is when this process started.
	startedAt time.Duration
	// tickedAt is the time of the last tick; jobs are taken again from settledAt
	// on.
	tickedAt, settledAt time.Duration
	out                 Actions
}

// NewCore returns a core without agents.
func NewCore(opts Options) *Core {
	return &Core{opts: opts, byLink: map[string]*agent{}, jobs: map[string]*job{}, estimators: map[string]*estimator{}}
}

// Take returns the actions since the last call.
func (c *Core) Take() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// Status is the state that decides about new jobs, for metrics.
type Status struct {
	Jobs, Agents, Accepting, Avoided int
	// Capacity and Committed are thousandths of a core of all targets.
	Capacity, Committed int64
}

// Status returns the present state.
func (c *Core) Status(now time.Duration) Status {
	s := Status{Jobs: len(c.jobs), Agents: len(c.agents)}
	for _, a := range c.agents {
		if a.load.Accepting && now-a.heard <= c.opts.SuspectAfter {
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

// CanPlace tells whether any agent takes work.
func (c *Core) CanPlace(now time.Duration) bool {
	return slices.ContainsFunc(c.agents, func(a *agent) bool {
		return a.load.Accepting && now-a.heard <= c.opts.SuspectAfter
	})
}

// Caller waits for the answer to a job. Answer is called once at most.
type Caller struct{ Answer func(Answer) }

// Submit takes a job in. The caller is answered from within this or a later
// call. A job that is in progress here is joined.
func (c *Core) Submit(now time.Duration, s Submission, caller *Caller) {
	if j := c.jobs[s.ID]; j != nil {
		j.callers = append(j.callers, caller)
		return
	}
	j := newJob(now, s, c.estimator(s.Queue.Name).predict)
	j.callers = append(j.callers, caller)
	if !s.supported() {
		c.finish(now, j, Answer{State: NotRun, Cause: CauseUnsupported, RetryAfter: c.opts.UnsupportedRetry})
		return
	}
	c.checkSuspension(now)
	if now < c.settledAt {
		c.finish(now, j, Answer{State: NotRun, Cause: CauseSuspended, RetryAfter: c.opts.RetryAfter})
		return
	}
	c.jobs[s.ID] = j
	c.proceed(now, j)
}

// Leave notes that a caller has gone. With the last one the job is given up:
// its callers may submit it to another gateway.
func (c *Core) Leave(now time.Duration, id string, caller *Caller) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	j.callers = slices.DeleteFunc(j.callers, func(o *Caller) bool { return o == caller })
	if len(j.callers) == 0 {
		c.giveUp(now, j, CauseCallerLeft)
	}
}

// Cancel stops a job at a caller's request. It returns whether it was in
// progress here.
func (c *Core) Cancel(now time.Duration, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	c.giveUp(now, j, CauseCancelled)
	return true
}

// end applies one end of an attempt and returns the job to proceed with.
func (c *Core) end(now time.Duration, a *agent, e AttemptEvent) *job {
	t := a.placed[e.Task]
	if t == nil || t.attempt != e.Attempt {
		return nil
	}
	j := c.jobs[e.Task.Job]
	if e.Outcome == task.Started {
		if j != nil {
			j.begun = true
		}
		return j
	}
	delete(a.placed, e.Task)
	t.agent = nil
	if j == nil {
		return nil
	}
	j.onTargets--
	if e.Outcome != task.NotStarted {
		j.begun = true
	}
	t.state = waiting
	if e.Outcome != task.Done {
		c.out.Retries = append(c.out.Retries, Retry{
			Agent: a.Name, Task: t.id, Attempt: e.Attempt, Outcome: e.Outcome, Reason: e.Reason, Ran: e.RunTime, Expected: t.expected,
		})
	}
	switch e.Outcome {
	case task.Done:
		t.state = done
		a.probesDone++
		j.left[e.Task.Step]--
		st := &j.Steps[e.Task.Step]
		c.learn(j.Queue.Name, st.Estimate, e.RunTime, a, now, 1/float64(st.Tasks))
	case task.Failed:
		t.failed++
		t.failedOn = a.Name
	case task.NotStarted:
		switch e.Reason {
		case task.ReasonSuperseded:
			t.attempt += supersededSkip
		case task.ReasonBusy:
			t.returned++
		case task.ReasonDuplicate:
			// An earlier submission's run has not ended yet. Nothing may start beside
			// it; the caller tries again when it has.
			j.begun = true
			c.giveUp(now, j, CauseEarlierRun)
			return nil
		}
	}
	return j
}

// supersededSkip is added to the number of an attempt when the target has seen
// a later one: an earlier submission of the job has run there.
const supersededSkip = 16

// checkSuspension notes a suspension of this process. The clock goes on during
// one, ticks do not.
func (c *Core) checkSuspension(now time.Duration) {
	if c.tickedAt > 0 && now-c.tickedAt > c.opts.SuspendedAfter {
		c.out.Suspended = now - c.tickedAt
		c.tickedAt, c.settledAt = now, now+c.opts.SettleAfter
	}
}

// Start notes when this process started.
func (c *Core) Start(now time.Duration) { c.startedAt = now }

// awaitsAgents tells whether more agents are to be expected than have dialled.
func (c *Core) awaitsAgents(now time.Duration) bool { return now-c.startedAt < c.opts.AttachWithin }

// Tick gives up what is past its deadline, and recalls runs that hang.
func (c *Core) Tick(now time.Duration) {
	c.checkSuspension(now)
	c.tickedAt = now
	for _, j := range sortedJobs(c.jobs) {
		if now >= j.deadline-c.opts.ReturnTrip {
			c.giveUp(now, j, CauseDeadline)
			continue
		}
		if j.withdrawn == CauseNone {
			c.recallOverdue(now, j)
		}
		c.proceed(now, j)
	}
}

// sortedJobs returns the jobs in a fixed order, so that the same events lead to
// the same actions.
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
