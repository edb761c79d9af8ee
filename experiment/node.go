package experiment

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// agentQueue bounds the tasks that wait at an agent; more are refused.
const agentQueue = 2048

// entry is a task at an agent.
type entry struct {
	gate    *gate
	ref     scheduler.TaskRef
	work    time.Duration
	fails   bool
	batch   *batch
	arrived time.Duration
	started time.Duration
	running bool
	aborted bool
}

// batch is a start batch whose outcomes are reported together.
type batch struct {
	left int
	// early is true when no early report is due any more.
	early    bool
	outcomes []scheduler.Outcome
}

// agent models a target with its agent: slots, a queue in order of arrival,
// and reports to the gateways.
type agent struct {
	Node
	run     *run
	index   int
	running int
	queue   []*entry
	entries map[scheduler.TaskRef]*entry
	lost    bool
}

func (a *agent) load() scheduler.Load {
	return scheduler.Load{Target: a.ID, Slots: a.Slots, Running: a.running, Queued: len(a.queue), Accepting: true}
}

// start receives a start batch.
func (a *agent) start(g *gate, list []*entry, mode scheduler.ReportMode) {
	if a.lost {
		return
	}
	var b *batch
	if mode != scheduler.ReportEach && len(list) > 1 {
		b = &batch{left: len(list), early: mode == scheduler.ReportLast}
	}
	var refused []scheduler.Outcome
	for _, e := range list {
		if len(a.queue) >= agentQueue {
			refused = append(refused, a.outcome(e, scheduler.OutcomeNotStarted))
			continue
		}
		e.batch, e.arrived = b, a.run.Now
		a.entries[e.ref] = e
		a.queue = append(a.queue, e)
	}
	if len(refused) > 0 {
		a.run.stats.Wasted += 2
		for i := range refused {
			refused[i].TargetFull = true
		}
		a.send(g, refused)
	}
	a.fill()
}

func (a *agent) outcome(e *entry, kind scheduler.OutcomeKind) scheduler.Outcome {
	o := scheduler.Outcome{Task: e.ref, Target: a.ID, Kind: kind}
	if e.running {
		o.Run, o.Queue = a.run.Now-e.started, e.started-e.arrived
	}
	return o
}

// fill starts queued tasks on free slots.
func (a *agent) fill() {
	for a.running < a.Slots && len(a.queue) > 0 {
		e := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		e.running, e.started = true, a.run.Now
		d, fails := a.runTime(a.run.Now, e.work)
		a.run.After(d, func() { a.end(e, fails || e.fails) })
	}
}

func (a *agent) end(e *entry, fails bool) {
	if a.lost || e.aborted {
		return
	}
	a.running--
	kind := scheduler.OutcomeSucceeded
	if fails {
		kind = scheduler.OutcomeFailed
	}
	o := a.outcome(e, kind)
	delete(a.entries, e.ref)
	a.fill()
	a.conclude(e, o)
}

// conclude reports an outcome as the report mode says.
func (a *agent) conclude(e *entry, o scheduler.Outcome) {
	b := e.batch
	if b == nil {
		a.send(e.gate, []scheduler.Outcome{o})
		return
	}
	b.left--
	b.outcomes = append(b.outcomes, o)
	idle := a.running < a.Slots && !slices.ContainsFunc(a.queue, func(q *entry) bool { return q.gate == e.gate })
	failed := o.Kind == scheduler.OutcomeFailed
	if b.left == 0 || failed || (idle && !b.early) {
		// One early report for each batch: it tells of free slots, and the
		// outcomes that follow wait for the last one.
		b.early = b.early || idle
		a.send(e.gate, b.outcomes)
		b.outcomes = nil
	}
}

func (a *agent) send(g *gate, list []scheduler.Outcome) {
	a.run.stats.count("report", 1)
	load := a.load()
	a.run.After(g.delay(a), func() { g.report(a, list, load) })
}

// revoke takes tasks back that have not started.
func (a *agent) revoke(g *gate, refs []scheduler.TaskRef) {
	if a.lost {
		return
	}
	var list []scheduler.Outcome
	for _, ref := range refs {
		e := a.entries[ref]
		switch {
		case e == nil:
		case e.running:
			list = append(list, scheduler.Outcome{Task: ref, Target: a.ID, Kind: scheduler.OutcomeStarted})
		default:
			a.unqueue(e)
			list = append(list, a.outcome(e, scheduler.OutcomeNotStarted))
		}
	}
	a.run.stats.count("revoke_reply", 1)
	load := a.load()
	a.run.After(g.delay(a), func() { g.report(a, list, load) })
}

func (a *agent) unqueue(e *entry) {
	a.queue = slices.DeleteFunc(a.queue, func(q *entry) bool { return q == e })
	delete(a.entries, e.ref)
	if e.batch != nil {
		e.batch.left--
	}
}

// cancel drops and aborts the tasks of jobs.
func (a *agent) cancel(g *gate, jobs map[scheduler.JobHandle]bool) {
	if a.lost {
		return
	}
	var refs []scheduler.TaskRef
	for ref, e := range a.entries {
		if e.gate == g && jobs[ref.Job] {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	var list []scheduler.Outcome
	for _, ref := range refs {
		e := a.entries[ref]
		if e.running {
			e.aborted = true
			a.running--
			list = append(list, a.outcome(e, scheduler.OutcomeAborted))
			delete(a.entries, ref)
			if e.batch != nil {
				e.batch.left--
			}
			continue
		}
		a.unqueue(e)
		list = append(list, a.outcome(e, scheduler.OutcomeNotStarted))
	}
	if len(list) > 0 {
		a.send(g, list)
	}
	a.fill()
}

// lose takes the agent away with all its tasks.
func (a *agent) lose() {
	a.lost = true
	for _, g := range a.run.gates {
		g.linkLost(a)
	}
}
