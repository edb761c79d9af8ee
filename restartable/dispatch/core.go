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
	// RetryAfter is what a refused caller is told to wait at least.
	RetryAfter time.Duration
}

// DefaultOptions suit the deployments of docs/design.md section 1.6.
func DefaultOptions(zone string) Options {
	return Options{
		Zone: zone, NearHop: 300 * time.Microsecond, FarHop: 1500 * time.Microsecond,
		ReturnTrip: 10 * time.Millisecond, SuspectAfter: 350 * time.Millisecond,
		SuspendedAfter: 400 * time.Millisecond, SettleAfter: 250 * time.Millisecond,
		ProbeEvery: time.Second, RemoteFactor: 1.5, RetryAfter: time.Second,
	}
}

// Order is what one agent is to do with tasks of one step.
type Order struct {
	Link string
	// Number counts the orders of a link.
	Number   uint64
	Step     task.StepID
	Tasks    []Attempt
	Spec     string
	Needs    task.Resources
	Expected time.Duration
	// StartWithin and DueWithin are times in the agent's queue.
	StartWithin, DueWithin time.Duration
	Priority               int
	MaxPerTarget           int
}

// Attempt is one attempt of one task of an order.
type Attempt struct{ Index, Number int }

// Stop ends what an agent has of a job, or one attempt of it.
type Stop struct {
	Link string
	Job  string
	// Task and Attempt are set to stop one attempt only.
	Task    task.ID
	Attempt int
}

// Ended is an answered job, for logs and metrics.
type Ended struct {
	ID, Queue string
	Answer    Answer
}

// Change is a changed belief about an agent, for logs.
type Change struct {
	Agent   string
	Avoided bool
	// Failed and Anomaly are the values that decided it.
	Failed, Anomaly float64
}

// Retry is an attempt that did not do its task's work, for logs.
type Retry struct {
	Agent   string
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	// Ran is the time of the run, or since the order for a recall.
	Ran time.Duration
	// Expected is the prediction that the attempt was placed with.
	Expected time.Duration
	// Recall is set if the attempt is being stopped since it is overdue.
	Recall bool
}

// Actions is what the driver has to do after a call of a Core.
type Actions struct {
	Orders  []Order
	Stops   []Stop
	Ended   []Ended
	Changes []Change
	Retries []Retry
	// Suspended is the length of a suspension of this process that was noticed.
	Suspended time.Duration
}

// Event is the end of an attempt as an agent reports it.
type Event struct {
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	// RunTime is the time between start and end.
	RunTime time.Duration
}

// Core decides for one gateway. It is not safe for concurrent use; all times
// are of one clock that also counts suspensions.
type Core struct {
	opts   Options
	agents []*agent
	byLink map[string]*agent
	jobs   map[string]*job
	// estimators are those of the queues by name.
	estimators map[string]*estimator
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

func (c *Core) hop(a *agent) time.Duration {
	if a.Zone == c.opts.Zone {
		return c.opts.NearHop
	}
	return c.opts.FarHop
}

// AgentUp adds an agent's link.
func (c *Core) AgentUp(now time.Duration, info AgentInfo) {
	a := &agent{AgentInfo: info, heard: now, placed: map[task.ID]*taskRecord{}, jobs: map[string]*job{}}
	c.agents = append(c.agents, a)
	c.byLink[info.Link] = a
}

// AgentTarget takes in what an agent says of its target.
func (c *Core) AgentTarget(link string, t TargetInfo) {
	if a := c.byLink[link]; a != nil {
		a.target = t
	}
}

// AgentDown removes a link. What was placed there runs on for no longer than
// the gateway's lease at the agent; a caller that submits the job again is told
// to do so only by a broken answer, which it follows up after that time.
func (c *Core) AgentDown(now time.Duration, link string) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	delete(c.byLink, link)
	c.agents = slices.DeleteFunc(c.agents, func(o *agent) bool { return o == a })
	for _, j := range sortedJobs(a.jobs) {
		if j.hasPlacedOn(a) {
			c.giveUp(now, j, CauseAgentLost)
		}
	}
}

func (j *job) hasPlacedOn(a *agent) bool {
	for _, t := range a.placed {
		if t.id.Job == j.ID {
			return true
		}
	}
	return false
}

// Report takes in an agent's load and the ends of attempts.
func (c *Core) Report(now time.Duration, link string, load *Load, ends []Event) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	a.heard = now
	if load != nil {
		a.report(now, *load)
		c.judge(a)
	}
	touched := map[string]*job{}
	for _, e := range ends {
		if j := c.end(now, a, e); j != nil {
			touched[j.ID] = j
		}
	}
	for _, j := range sortedJobs(touched) {
		c.proceed(now, j)
	}
}

const (
	// failedShareAvoid and failedShareTrust are the shares of failed runs at
	// which a target is avoided and may be trusted again.
	failedShareAvoid = 0.5
	failedShareTrust = 0.25
	// anomalyAvoid and anomalyTrust are the ratios of the present to the usual
	// run times at which a target is avoided and may be trusted again.
	anomalyAvoid = 2.5
	anomalyTrust = 1.5
	// avoidedShareMax is the share of a service's targets that may be avoided at
	// a time. If more look bad, the cause is not a single target.
	avoidedShareMax = 0.5
)

// judge decides whether an agent's target is avoided. An avoided target gets
// single probes, and is trusted again after one of them is done.
func (c *Core) judge(a *agent) {
	bad := a.load.Failed > failedShareAvoid || a.load.Anomaly > anomalyAvoid
	good := a.load.Failed < failedShareTrust && a.load.Anomaly < anomalyTrust
	switch {
	case !a.avoided && bad && c.mayAvoid(a.target.Service):
		a.avoided, a.probesDone = true, 0
	case a.avoided && good && a.probesDone > 0:
		a.avoided = false
	default:
		return
	}
	c.out.Changes = append(c.out.Changes, Change{Agent: a.Name, Avoided: a.avoided, Failed: a.load.Failed, Anomaly: a.load.Anomaly})
}

func (c *Core) mayAvoid(service string) bool {
	all, avoided := 0, 0
	for _, a := range c.agents {
		if a.target.Service == service {
			all++
			if a.avoided {
				avoided++
			}
		}
	}
	return float64(avoided+1) <= avoidedShareMax*float64(all)
}

func (c *Core) mayProbe(now time.Duration, a *agent) bool {
	return now-a.probedAt >= c.opts.ProbeEvery
}

// Submit takes a job in. The answer function is called once, from within this
// or a later call. A job that is in progress here is joined.
func (c *Core) Submit(now time.Duration, s Submission, answer func(Answer)) {
	if j := c.jobs[s.ID]; j != nil {
		j.callers = append(j.callers, answer)
		return
	}
	j := newJob(now, s, c.estimator(s.Queue.Name).predict)
	j.callers = append(j.callers, answer)
	c.checkSuspension(now)
	if now < c.settledAt {
		c.finish(now, j, Answer{State: NotRun, Cause: CauseSuspended, RetryAfter: c.opts.RetryAfter})
		return
	}
	c.jobs[s.ID] = j
	c.proceed(now, j)
}

func (c *Core) estimator(queue string) *estimator {
	e := c.estimators[queue]
	if e == nil {
		e = &estimator{}
		c.estimators[queue] = e
	}
	return e
}

// Leave notes that the job's only caller has gone. Its tasks are stopped: the
// caller may submit the job to another gateway.
func (c *Core) Leave(now time.Duration, id string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if len(j.callers) > 1 {
		j.callers = j.callers[1:]
		return
	}
	c.giveUp(now, j, CauseCallerLeft)
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
func (c *Core) end(now time.Duration, a *agent, e Event) *job {
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
		run := time.Duration(float64(e.RunTime) / c.slowness(a))
		c.estimator(j.Queue.Name).observe(st.Estimate, run, 1/float64(st.Tasks))
	case task.Failed:
		t.failed++
		t.failedOn = a.Name
	case task.NotStarted:
		switch e.Reason {
		case task.ReasonSuperseded:
			t.attempt += supersededSkip
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
		j.basis = c.basis(now, j, step, last)
		c.withdraw(now, j, cause)
		return false
	}
	c.send(now, j, step, choices)
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

func (c *Core) basis(now time.Duration, j *job, step int, last *choice) *Basis {
	b := &Basis{Estimate: j.Steps[step].Estimate, Objective: j.objective - now, Deadline: j.deadline - now}
	if last != nil {
		b.Agent, b.Heard, b.Wait, b.Run = last.agent.Name, now-last.agent.heard, last.wait, last.run
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

func (c *Core) send(now time.Duration, j *job, step int, choices []choice) {
	byAgent := map[*agent]*Order{}
	var order []*agent
	st := &j.Steps[step]
	for _, ch := range choices {
		a, t := ch.agent, ch.task
		o := byAgent[a]
		if o == nil {
			due := max(j.objective-now-ch.run-c.hop(a), startGrace)
			within := due
			if j.begun {
				// What is late already must not delay what can still be in time.
				within = max(j.deadline-now-ch.run-c.hop(a), startGrace)
				if now+ch.finish > j.objective {
					due = within
				}
			}
			o = &Order{
				Link: a.Link, Step: task.StepID{Job: j.ID, Step: step}, Spec: j.Spec, Needs: st.Needs, Expected: j.expected[step],
				StartWithin: within, DueWithin: due, Priority: j.Queue.Priority, MaxPerTarget: st.MaxPerTarget,
			}
			byAgent[a] = o
			order = append(order, a)
			a.orders++
			o.Number = a.orders
		}
		t.state, t.agent, t.sentAt, t.expected = placed, a, now, ch.run
		t.attempt++
		t.overdueAt = now + ch.wait + time.Duration(overdueFactor*float64(ch.run)) + overdueSlack
		j.attempts++
		j.agents[a] = true
		a.placed[t.id] = t
		j.onTargets++
		a.jobs[j.ID] = j
		a.probedAt = now
		a.unseen = append(a.unseen, sentOrder{a.orders, st.Needs, float64(st.Needs.CPUMillis) * float64(ch.run.Milliseconds())})
		o.Tasks = append(o.Tasks, Attempt{t.id.Index, t.attempt})
	}
	for _, a := range order {
		c.out.Orders = append(c.out.Orders, *byAgent[a])
	}
}

const (
	// overdueFactor and overdueSlack tell from the predicted run time when a run
	// is taken to hang. Estimates are off by about 40%.
	overdueFactor = 2.5
	overdueSlack  = 50 * time.Millisecond
)

// checkSuspension notes a suspension of this process. The clock goes on during
// one, ticks do not.
func (c *Core) checkSuspension(now time.Duration) {
	if c.tickedAt > 0 && now-c.tickedAt > c.opts.SuspendedAfter {
		c.out.Suspended = now - c.tickedAt
		c.tickedAt, c.settledAt = now, now+c.opts.SettleAfter
	}
}

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

// withdraw gives a job up. If nothing of it has begun as far as is known, the
// agents are asked to drop it first: only then can the caller be told that it
// has not run.
func (c *Core) withdraw(now time.Duration, j *job, cause Cause) {
	if j.begun || j.onTargets == 0 {
		c.giveUp(now, j, cause)
		return
	}
	j.withdrawn, j.withdrawnAt = cause, now
	for a := range j.agents {
		if j.hasPlacedOn(a) {
			c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: j.ID})
		}
	}
}

// withdrawWait bounds the time until all agents have confirmed a withdrawal.
const withdrawWait = 40 * time.Millisecond

// awaitWithdrawal answers a withdrawn job as soon as it is known whether
// anything of it has begun.
func (c *Core) awaitWithdrawal(now time.Duration, j *job) {
	if j.begun || j.onTargets == 0 || now-j.withdrawnAt > withdrawWait {
		c.giveUp(now, j, j.withdrawn)
	}
}

// giveUp answers a job that cannot be completed and stops what is left of it.
func (c *Core) giveUp(now time.Duration, j *job, cause Cause) {
	open := j.openTasks(now)
	state := NotRun
	if j.begun || c.stopAll(j) {
		state = Unfinished
		c.stopAll(j)
	}
	c.finish(now, j, Answer{State: state, Cause: cause, RetryAfter: c.opts.RetryAfter, Open: open})
}

// stopAll asks the agents to stop what they have of a job. It returns whether
// any has something.
func (c *Core) stopAll(j *job) bool {
	stopped := false
	for a := range j.agents {
		if !j.hasPlacedOn(a) {
			continue
		}
		stopped = true
		for id := range a.placed {
			if id.Job == j.ID {
				delete(a.placed, id)
			}
		}
		if c.byLink[a.Link] == a {
			c.out.Stops = append(c.out.Stops, Stop{Link: a.Link, Job: j.ID})
		}
	}
	return stopped
}

func (c *Core) finish(now time.Duration, j *job, a Answer) {
	delete(c.jobs, j.ID)
	for ag := range j.agents {
		delete(ag.jobs, j.ID)
	}
	a.Attempts, a.Targets, a.Elapsed, a.Basis = j.attempts, len(j.agents), now-j.arrived, j.basis
	j.answer(a)
	c.out.Ended = append(c.out.Ended, Ended{ID: j.ID, Queue: j.Queue.Name, Answer: a})
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
