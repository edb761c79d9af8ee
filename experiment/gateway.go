package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

const (
	// probeInterval is the interval at which a gateway probes each agent for its
	// load; it is the default of the gateway's settings (docs/design.md,
	// section 10).
	probeInterval = 500 * time.Millisecond
	// outcomeLossDelay is the time from the loss of a target until its unfinished
	// tasks get the outcome lost.
	outcomeLossDelay = 1500 * time.Millisecond
)

// activeJob is a job in progress at a gateway.
type activeJob struct {
	spec *JobSpec
	// index is the position of the job in the generated load.
	index      int
	unfinished int
	// agentOf maps the index of a task to the agent that it was sent to, until
	// its outcome arrives.
	agentOf map[int]*agent
}

// gateway simulates a gateway: it owns a part of the jobs and carries out the
// decisions of its policy.
type gateway struct {
	sim     *simulation
	zone    int
	policy  scheduler.Policy
	jobs    map[scheduler.JobHandle]*activeJob
	targets []scheduler.Target
	// nextWake is the time of the next wake-up that the policy asked for.
	nextWake time.Duration
}

// now returns the simulated time in the form that policies expect.
func (g *gateway) now() time.Time { return time.Unix(0, int64(g.sim.Now)) }

func (g *gateway) delay(a *agent) time.Duration {
	if a.Zone == g.zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (g *gateway) setUp() {
	for _, a := range g.sim.agents {
		g.targets = append(g.targets, scheduler.Target{
			ID: a.ID, Service: service, Slots: a.Slots, Connections: 8 * a.Slots,
			Delay: g.delay(a), Connected: true,
		})
	}
	g.policy.SetTargets(g.now(), g.targets)
	g.probe()
}

// probe asks each agent for its load and repeats this every probeInterval.
func (g *gateway) probe() {
	for _, a := range g.sim.agents {
		if a.lost {
			continue
		}
		g.sim.stats.countMessages("probe", 2)
		g.sim.After(g.delay(a), func() {
			load := a.load()
			g.sim.After(g.delay(a), func() { g.policy.Report(g.now(), load); g.decide() })
		})
	}
	g.sim.After(probeInterval, g.probe)
}

// submit asks the policy to admit a job and lets it fail when its timeout ends.
func (g *gateway) submit(index int, spec *JobSpec) {
	h := scheduler.JobHandle(index + 1)
	j := scheduler.Job{Handle: h, Client: spec.Client, Service: service, Deadline: g.now().Add(spec.Timeout)}
	for _, t := range spec.Tasks {
		j.Tasks = append(j.Tasks, scheduler.Task{Expected: t.Declared})
	}
	if a := g.policy.Admit(g.now(), j, nil); !a.Admitted {
		g.sim.stats.fail(spec, a.Reason)
		return
	}
	g.jobs[h] = &activeJob{spec: spec, index: index, unfinished: len(spec.Tasks), agentOf: map[int]*agent{}}
	g.sim.After(spec.Timeout, func() { g.failJob(h, model.ReasonDeadline); g.decide() })
	g.decide()
}

// failJob fails a job in progress and cancels its tasks.
func (g *gateway) failJob(h scheduler.JobHandle, reason model.Reason) {
	g.cancel([]scheduler.JobHandle{h}, reason)
}

// cancel fails jobs and sends one message to each agent that holds tasks of
// them.
func (g *gateway) cancel(handles []scheduler.JobHandle, reason model.Reason) {
	byAgent := map[int]map[scheduler.JobHandle]bool{}
	for _, h := range handles {
		job := g.jobs[h]
		if job == nil {
			continue
		}
		delete(g.jobs, h)
		g.policy.Remove(g.now(), h)
		g.sim.stats.fail(job.spec, reason)
		for _, a := range job.agentOf {
			if byAgent[a.index] == nil {
				byAgent[a.index] = map[scheduler.JobHandle]bool{}
			}
			byAgent[a.index][h] = true
		}
	}
	for _, a := range g.sim.agents {
		if jobs := byAgent[a.index]; jobs != nil {
			g.sim.stats.countMessages("cancel", 1)
			g.sim.After(g.delay(a), func() { a.cancel(g, jobs) })
		}
	}
}

// report handles a report of an agent: task outcomes and its load.
func (g *gateway) report(a *agent, outcomes []scheduler.Outcome, load scheduler.Load) {
	if a.lost {
		return
	}
	for _, o := range outcomes {
		g.finish(a, o)
	}
	g.policy.Report(g.now(), load)
	g.decide()
}

// finish passes a task outcome to the policy and completes or fails the task's
// job if the outcome decides it.
func (g *gateway) finish(a *agent, o scheduler.Outcome) {
	g.policy.Finish(g.now(), o)
	job := g.jobs[o.Task.Job]
	if o.Kind == scheduler.OutcomeFailed && g.sim.probeTasks[o.Task] {
		g.sim.stats.wastedMessages += 2
	}
	if o.Kind == scheduler.OutcomeNotStarted && job != nil {
		g.sim.stats.wastedMessages++
	}
	if job == nil || o.Kind == scheduler.OutcomeStarted {
		return
	}
	delete(job.agentOf, o.Task.Index)
	switch o.Kind {
	case scheduler.OutcomeSucceeded:
		if job.unfinished--; job.unfinished == 0 {
			delete(g.jobs, o.Task.Job)
			g.policy.Remove(g.now(), o.Task.Job)
			g.sim.stats.complete(job, g.sim.Now)
		}
	case scheduler.OutcomeFailed:
		g.failJob(o.Task.Job, model.ReasonTaskFailed)
	case scheduler.OutcomeLost:
		g.failJob(o.Task.Job, model.ReasonOutcomeLost)
	}
}

// decide asks the policy for decisions and carries them out.
func (g *gateway) decide() {
	d := g.policy.Decide(g.now())
	for _, dropped := range d.Dropped {
		g.failJob(dropped.Job, dropped.Reason)
	}
	for i := 0; i < len(d.Assign); {
		n := i + 1
		for n < len(d.Assign) && d.Assign[n].Target == d.Assign[i].Target && d.Assign[n].Report == d.Assign[i].Report {
			n++
		}
		g.sendStarts(d.Assign[i:n])
		i = n
	}
	revokes := map[*agent][]scheduler.TaskRef{}
	for _, r := range d.Revoke {
		a := g.sim.byID[r.Target]
		revokes[a] = append(revokes[a], r.Task)
	}
	for _, a := range g.sim.agents {
		if refs := revokes[a]; refs != nil {
			g.sim.stats.countMessages("revoke", 1)
			g.sim.stats.wastedMessages += 2
			g.sim.After(g.delay(a), func() { a.revoke(g, refs) })
		}
	}
	g.scheduleWake(d.Wake)
}

// scheduleWake calls decide at the given time unless an earlier wake-up is
// already scheduled.
func (g *gateway) scheduleWake(at time.Time) {
	if at.IsZero() {
		return
	}
	wake := time.Duration(at.UnixNano())
	if g.nextWake > g.sim.Now && g.nextWake <= wake {
		return
	}
	g.nextWake = wake
	g.sim.After(max(0, wake-g.sim.Now), func() {
		if g.nextWake == wake {
			g.nextWake = 0
			g.decide()
		}
	})
}

// sendStarts sends assignments that share a target and a report mode in one
// message.
func (g *gateway) sendStarts(batch []scheduler.Assignment) {
	a := g.sim.byID[batch[0].Target]
	var tasks []*agentTask
	for _, assignment := range batch {
		job := g.jobs[assignment.Task.Job]
		if job == nil {
			continue
		}
		job.agentOf[assignment.Task.Index] = a
		g.sim.probeTasks[assignment.Task] = assignment.Reason == scheduler.ReasonProbe
		tasks = append(tasks, &agentTask{gateway: g, ref: assignment.Task, work: job.spec.Tasks[assignment.Task.Index].Work, poisoned: job.spec.Poisoned})
	}
	g.sim.stats.countMessages("start", 1)
	g.sim.stats.startedTasks += len(tasks)
	g.sim.After(g.delay(a), func() { a.start(g, tasks, batch[0].Report) })
}

// handleTargetLoss tells the policy that a target is disconnected and, after
// outcomeLossDelay, that the outcomes of its tasks are lost.
func (g *gateway) handleTargetLoss(a *agent) {
	g.targets[a.index].Connected = false
	g.policy.SetTargets(g.now(), g.targets)
	g.sim.After(outcomeLossDelay, func() {
		var refs []scheduler.TaskRef
		for h, job := range g.jobs {
			for i, holder := range job.agentOf {
				if holder == a {
					refs = append(refs, scheduler.TaskRef{Job: h, Index: i})
				}
			}
		}
		slices.SortFunc(refs, compareRefs)
		for _, ref := range refs {
			g.finish(a, scheduler.Outcome{Task: ref, Target: a.ID, Kind: scheduler.OutcomeLost})
		}
		g.decide()
	})
}

func compareRefs(a, b scheduler.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}
