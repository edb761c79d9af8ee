package experiment

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// maxAgentQueue is the queue length from which an agent refuses tasks.
const maxAgentQueue = 2048

// agentTask is a task that an agent has queued or is running.
type agentTask struct {
	gateway *gateway
	ref     scheduler.TaskRef
	work    time.Duration
	// poisoned makes the task fail on every target.
	poisoned bool
	batch    *batch
	arrived  time.Duration
	started  time.Duration
	running  bool
	aborted  bool
}

// batch groups the tasks of one start message whose outcomes are reported
// together.
type batch struct {
	// pending is the number of tasks without an outcome.
	pending int
	// noEarlyReport is true once the report of free slots was sent, or if the
	// report mode does not ask for it.
	noEarlyReport bool
	outcomes      []scheduler.Outcome
}

// agent simulates a target and its agent: slots, a FIFO queue, and reports to
// the gateways.
type agent struct {
	Target
	sim *simulation
	// index is the position of the target in the fleet.
	index   int
	running int
	queue   []*agentTask
	// tasks holds the queued and running tasks.
	tasks map[scheduler.TaskRef]*agentTask
	lost  bool
}

func (a *agent) load() scheduler.Load {
	return scheduler.Load{Target: a.ID, Slots: a.Slots, Running: a.running, Queued: len(a.queue), Accepting: true}
}

// start handles a start message of a gateway.
func (a *agent) start(g *gateway, tasks []*agentTask, mode scheduler.ReportMode) {
	if a.lost {
		return
	}
	var b *batch
	if mode != scheduler.ReportEach && len(tasks) > 1 {
		b = &batch{pending: len(tasks), noEarlyReport: mode == scheduler.ReportLast}
	}
	var refusals []scheduler.Outcome
	for _, t := range tasks {
		if len(a.queue) >= maxAgentQueue {
			refusals = append(refusals, a.outcome(t, scheduler.OutcomeNotStarted))
			continue
		}
		t.batch, t.arrived = b, a.sim.Now
		a.tasks[t.ref] = t
		a.queue = append(a.queue, t)
	}
	if len(refusals) > 0 {
		a.sim.stats.wastedMessages += 2
		for i := range refusals {
			refusals[i].TargetFull = true
		}
		a.send(g, refusals)
	}
	a.startQueued()
}

func (a *agent) outcome(t *agentTask, kind scheduler.OutcomeKind) scheduler.Outcome {
	o := scheduler.Outcome{Task: t.ref, Target: a.ID, Kind: kind}
	if t.running {
		o.Run, o.Queue = a.sim.Now-t.started, t.started-t.arrived
	}
	return o
}

// startQueued starts queued tasks on free slots.
func (a *agent) startQueued() {
	for a.running < a.Slots && len(a.queue) > 0 {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		t.running, t.started = true, a.sim.Now
		d, fails := a.runTime(a.sim.Now, t.work)
		a.sim.After(d, func() { a.finish(t, fails || t.poisoned) })
	}
}

func (a *agent) finish(t *agentTask, fails bool) {
	if a.lost || t.aborted {
		return
	}
	a.running--
	kind := scheduler.OutcomeSucceeded
	if fails {
		kind = scheduler.OutcomeFailed
	}
	o := a.outcome(t, kind)
	delete(a.tasks, t.ref)
	a.startQueued()
	a.reportOutcome(t, o)
}

// reportOutcome sends the outcome of a finished task, or keeps it until the next
// report of the task's batch.
func (a *agent) reportOutcome(t *agentTask, o scheduler.Outcome) {
	b := t.batch
	if b == nil {
		a.send(t.gateway, []scheduler.Outcome{o})
		return
	}
	b.pending--
	b.outcomes = append(b.outcomes, o)
	idle := a.running < a.Slots && !slices.ContainsFunc(a.queue, func(q *agentTask) bool { return q.gateway == t.gateway })
	failed := o.Kind == scheduler.OutcomeFailed
	if b.pending == 0 || failed || (idle && !b.noEarlyReport) {
		// Each batch gets at most one early report to tell the gateway of free slots.
		// Later successes wait for a failure or the last outcome of the batch.
		b.noEarlyReport = b.noEarlyReport || idle
		a.send(t.gateway, b.outcomes)
		b.outcomes = nil
	}
}

func (a *agent) send(g *gateway, outcomes []scheduler.Outcome) {
	a.sim.stats.countMessages("report", 1)
	load := a.load()
	a.sim.After(g.delay(a), func() { g.report(a, outcomes, load) })
}

// revoke removes tasks that have not started. It reports for each of the given
// tasks that the agent holds whether it was removed or had started.
func (a *agent) revoke(g *gateway, refs []scheduler.TaskRef) {
	if a.lost {
		return
	}
	var outcomes []scheduler.Outcome
	for _, ref := range refs {
		t := a.tasks[ref]
		switch {
		case t == nil:
		case t.running:
			outcomes = append(outcomes, scheduler.Outcome{Task: ref, Target: a.ID, Kind: scheduler.OutcomeStarted})
		default:
			a.removeQueued(t)
			outcomes = append(outcomes, a.outcome(t, scheduler.OutcomeNotStarted))
		}
	}
	a.sim.stats.countMessages("revoke_reply", 1)
	load := a.load()
	a.sim.After(g.delay(a), func() { g.report(a, outcomes, load) })
}

func (a *agent) removeQueued(t *agentTask) {
	a.queue = slices.DeleteFunc(a.queue, func(q *agentTask) bool { return q == t })
	delete(a.tasks, t.ref)
	if t.batch != nil {
		t.batch.pending--
	}
}

// cancel removes the queued tasks of jobs and aborts the running ones.
func (a *agent) cancel(g *gateway, jobs map[scheduler.JobHandle]bool) {
	if a.lost {
		return
	}
	var refs []scheduler.TaskRef
	for ref, t := range a.tasks {
		if t.gateway == g && jobs[ref.Job] {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	var outcomes []scheduler.Outcome
	for _, ref := range refs {
		t := a.tasks[ref]
		if t.running {
			t.aborted = true
			a.running--
			outcomes = append(outcomes, a.outcome(t, scheduler.OutcomeAborted))
			delete(a.tasks, ref)
			if t.batch != nil {
				t.batch.pending--
			}
			continue
		}
		a.removeQueued(t)
		outcomes = append(outcomes, a.outcome(t, scheduler.OutcomeNotStarted))
	}
	if len(outcomes) > 0 {
		a.send(g, outcomes)
	}
	a.startQueued()
}

// markLost makes the agent ignore all further messages and the ends of its
// tasks, and tells the gateways.
func (a *agent) markLost() {
	a.lost = true
	for _, g := range a.sim.gateways {
		g.handleTargetLoss(a)
	}
}
