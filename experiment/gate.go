package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

const (
	// probeInterval is the interval of the probes that carry the load (design
	// section 10).
	probeInterval = 500 * time.Millisecond
	// lostAfter is the time after which the outcomes at a lost target count as
	// lost.
	lostAfter = 1500 * time.Millisecond
)

// live is a job in progress at a gateway.
type live struct {
	spec  *JobSpec
	index int
	left  int
	at    map[int]*agent
}

// gate models a gateway: it owns some jobs and carries out the decisions of
// its policy.
type gate struct {
	run     *run
	zone    int
	policy  scheduler.Policy
	jobs    map[scheduler.JobHandle]*live
	targets []scheduler.Target
	wake    time.Duration
}

func (g *gate) wall() time.Time { return time.Unix(0, int64(g.run.Now)) }

func (g *gate) delay(a *agent) time.Duration {
	if a.Zone == g.zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (g *gate) setUp() {
	for _, a := range g.run.agents {
		g.targets = append(g.targets, scheduler.Target{
			ID: a.ID, Service: service, Slots: a.Slots, Connections: 8 * a.Slots,
			Delay: g.delay(a), Connected: true,
		})
	}
	g.policy.SetTargets(g.wall(), g.targets)
	g.probe()
}

func (g *gate) probe() {
	for _, a := range g.run.agents {
		if a.lost {
			continue
		}
		g.run.stats.count("probe", 2)
		g.run.After(g.delay(a), func() {
			load := a.load()
			g.run.After(g.delay(a), func() { g.policy.Report(g.wall(), load); g.decide() })
		})
	}
	g.run.After(probeInterval, g.probe)
}

func (g *gate) submit(index int, spec *JobSpec) {
	h := scheduler.JobHandle(index + 1)
	j := scheduler.Job{Handle: h, Client: spec.Client, Service: service, Deadline: g.wall().Add(spec.Timeout)}
	for _, t := range spec.Tasks {
		j.Tasks = append(j.Tasks, scheduler.Task{Expected: t.Declared})
	}
	if a := g.policy.Admit(g.wall(), j, nil); !a.Admitted {
		g.run.stats.fail(spec, a.Reason)
		return
	}
	g.jobs[h] = &live{spec: spec, index: index, left: len(spec.Tasks), at: map[int]*agent{}}
	g.run.After(spec.Timeout, func() { g.giveUp(h, model.ReasonDeadline); g.decide() })
	g.decide()
}

// giveUp fails a job in progress and cancels its tasks.
func (g *gate) giveUp(h scheduler.JobHandle, reason model.Reason) {
	g.cancel([]scheduler.JobHandle{h}, reason)
}

// cancel fails jobs with one message to each agent that holds tasks of them.
func (g *gate) cancel(handles []scheduler.JobHandle, reason model.Reason) {
	byAgent := map[int]map[scheduler.JobHandle]bool{}
	for _, h := range handles {
		l := g.jobs[h]
		if l == nil {
			continue
		}
		delete(g.jobs, h)
		g.policy.Remove(g.wall(), h)
		g.run.stats.fail(l.spec, reason)
		for _, a := range l.at {
			if byAgent[a.index] == nil {
				byAgent[a.index] = map[scheduler.JobHandle]bool{}
			}
			byAgent[a.index][h] = true
		}
	}
	for _, a := range g.run.agents {
		if set := byAgent[a.index]; set != nil {
			g.run.stats.count("cancel", 1)
			g.run.After(g.delay(a), func() { a.cancel(g, set) })
		}
	}
}

// report receives outcomes and the load of an agent.
func (g *gate) report(a *agent, list []scheduler.Outcome, load scheduler.Load) {
	if a.lost {
		return
	}
	for _, o := range list {
		g.finish(a, o)
	}
	g.policy.Report(g.wall(), load)
	g.decide()
}

func (g *gate) finish(a *agent, o scheduler.Outcome) {
	g.policy.Finish(g.wall(), o)
	l := g.jobs[o.Task.Job]
	if o.Kind == scheduler.OutcomeFailed && g.run.probes[o.Task] {
		g.run.stats.Wasted += 2
	}
	if o.Kind == scheduler.OutcomeNotStarted && l != nil {
		g.run.stats.Wasted++
	}
	if l == nil || o.Kind == scheduler.OutcomeStarted {
		return
	}
	delete(l.at, o.Task.Index)
	switch o.Kind {
	case scheduler.OutcomeSucceeded:
		if l.left--; l.left == 0 {
			delete(g.jobs, o.Task.Job)
			g.policy.Remove(g.wall(), o.Task.Job)
			g.run.stats.complete(l, g.run.Now)
		}
	case scheduler.OutcomeFailed:
		g.giveUp(o.Task.Job, model.ReasonTaskFailed)
	case scheduler.OutcomeLost:
		g.giveUp(o.Task.Job, model.ReasonOutcomeLost)
	}
}

// decide carries out the decisions of the policy.
func (g *gate) decide() {
	d := g.policy.Decide(g.wall())
	for _, x := range d.Dropped {
		g.giveUp(x.Job, x.Reason)
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
		a := g.run.byID[r.Target]
		revokes[a] = append(revokes[a], r.Task)
	}
	for _, a := range g.run.agents {
		if refs := revokes[a]; refs != nil {
			g.run.stats.count("revoke", 1)
			g.run.stats.Wasted += 2
			g.run.After(g.delay(a), func() { a.revoke(g, refs) })
		}
	}
	g.wakeAt(d.Wake)
}

func (g *gate) wakeAt(at time.Time) {
	if at.IsZero() {
		return
	}
	wake := time.Duration(at.UnixNano())
	if g.wake > g.run.Now && g.wake <= wake {
		return
	}
	g.wake = wake
	g.run.After(max(0, wake-g.run.Now), func() {
		if g.wake == wake {
			g.wake = 0
			g.decide()
		}
	})
}

func (g *gate) sendStarts(batch []scheduler.Assignment) {
	a := g.run.byID[batch[0].Target]
	var list []*entry
	for _, x := range batch {
		l := g.jobs[x.Task.Job]
		if l == nil {
			continue
		}
		l.at[x.Task.Index] = a
		g.run.probes[x.Task] = x.Reason == scheduler.ReasonProbe
		list = append(list, &entry{gate: g, ref: x.Task, work: l.spec.Tasks[x.Task.Index].Work, fails: l.spec.Poisoned})
	}
	g.run.stats.count("start", 1)
	g.run.stats.Starts += len(list)
	g.run.After(g.delay(a), func() { a.start(g, list, batch[0].Report) })
}

// linkLost tells the policy that a target is gone; its outcomes are lost.
func (g *gate) linkLost(a *agent) {
	g.targets[a.index].Connected = false
	g.policy.SetTargets(g.wall(), g.targets)
	g.run.After(lostAfter, func() {
		var refs []scheduler.TaskRef
		for h, l := range g.jobs {
			for i, at := range l.at {
				if at == a {
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
