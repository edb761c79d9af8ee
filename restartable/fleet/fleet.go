// Package fleet simulates gateways and agents of restartable jobs in virtual
// time. It uses the decision logic of the packages dispatch, runner and subset
// and models the network and the targets. Equal seeds give equal results.
package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/virtualtime"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/subset"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Options describes a fleet and its load.
type Options struct {
	Seed              uint64
	Gateways, Targets int
	// Links is the number of gateways that an agent links to; 0 selects the
	// default of the agents.
	Links int
	// MinLoadInterval is the minimum time between a frame and a following one
	// that carries only a load.
	MinLoadInterval time.Duration
	// Load is the fraction of the targets' processor capacity that the jobs need.
	Load float64
	// Jobs are the kinds of jobs.
	Jobs []JobKind
	// Kinds are the kinds of targets, assigned to the targets in turn.
	Kinds []TargetKind
	// TaskSigma is the standard deviation of the logarithm of the run times of the
	// tasks of one job.
	TaskSigma float64
	// Duration is the time during which jobs arrive.
	Duration time.Duration
	// OneCrashingJobAfter is the time from which the next job of the first kind has a
	// task that crashes its targets; 0 for none.
	OneCrashingJobAfter time.Duration
	// FairShares are the settings of fair shares of all gateways.
	FairShares fairshare.Settings
	Burst      Burst
}

// MixedOptions returns a fleet of targets of two speeds with three kinds of jobs.
// Two thirds of the targets are fast and have just enough capacity for the long
// jobs and most of the others, so that capacity is scarce but not exhausted.
func MixedOptions(gateways, targets int) Options {
	return Options{
		Seed: 1, Gateways: gateways, Targets: targets, MinLoadInterval: 50 * time.Millisecond, Load: 0.65, Duration: 3 * time.Second,
		Jobs: []JobKind{
			{"short", 8, 60 * time.Millisecond, 7600, 0, 0}, {"long", 4, 900 * time.Millisecond, 7600, 0, 0}, {"pair", 2, 200 * time.Millisecond, 7600, 0, 0},
		},
		Kinds: []TargetKind{{"fast", 0.7, 32_000}, {"fast", 0.7, 32_000}, {"slow", 1.7, 48_000}},
	}
}

// LongJobsOptions returns a fleet like that of MixedOptions under more long jobs: two
// fifths of a load that leaves half of the capacity free. The run times of the tasks of
// a job differ.
func LongJobsOptions(gateways, targets int) Options {
	o := MixedOptions(gateways, targets)
	o.Load, o.TaskSigma = 0.51, 0.15
	o.Jobs = []JobKind{
		{"short", 8, 60 * time.Millisecond, 3600, 0.17, 0}, {"long", 4, 900 * time.Millisecond, 3600, 0.41, 0}, {"pair", 2, 200 * time.Millisecond, 3600, 0.42, 0},
	}
	return o
}

// JobKind is a kind of jobs.
type JobKind struct {
	Name string
	// Tasks and RunTime are means; the actual values vary from job to job.
	Tasks   int
	RunTime time.Duration
	// CPU is the requirement of a task, in thousandths of a core.
	CPU int64
	// LoadShare is the kind's share of the load; 0 in all kinds divides the load
	// equally.
	LoadShare float64
	// CrashShare is the share of its jobs whose first task crashes each target that
	// starts it.
	CrashShare float64
}

// TargetKind is a kind of targets.
type TargetKind struct {
	Name string
	// Slowness is the ratio of run times to those on a target of reference speed.
	Slowness float64
	// CPU is the capacity, in thousandths of a core.
	CPU int64
}

const (
	service = "s"
	// networkDelay is the one-way delay between a gateway and an agent,
	// targetCallDelay the delay of a call to a target.
	networkDelay    = 1400 * time.Microsecond
	targetCallDelay = 500 * time.Microsecond
	// reportInterval and echoInterval are those of package link, tickInterval is
	// that of package dispatch.
	reportInterval = 150 * time.Millisecond
	echoInterval   = 200 * time.Millisecond
	tickInterval   = 20 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval = 1500 * time.Millisecond
	// jobSigma and estimateSigma are standard deviations of the logarithms of the
	// size of jobs (run time and number of tasks) and of the errors of their
	// estimates.
	jobSigma      = 0.4
	estimateSigma = 0.4
	// startTime is the time of the clock at the start. It is not zero because
	// some decisions treat zero as never.
	startTime = time.Minute
	// linkSetupTime is the time for the links to be established before the first
	// job.
	linkSetupTime = 500 * time.Millisecond
)

// Fleet is a running simulation.
type Fleet struct {
	virtualtime.Clock
	opts     Options
	rng      *rand.Rand
	gateways []*gateway
	targets  []*target
	// runTimes holds the run times of the tasks of each job on a target of reference
	// speed.
	runTimes map[string][]time.Duration
	// crashing holds the jobs whose first task crashes its targets.
	crashing map[string]bool
	// crashed is set once the job of OneCrashingJobAfter has arrived.
	crashed bool
	// fastest is the lowest slowness of any target.
	fastest float64
	result  Result
}

type gateway struct {
	name  string
	core  *dispatch.Core
	links map[string]*link
}

type target struct {
	name string
	kind TargetKind
	core *runner.Core
	// description is what the heartbeats say.
	description runner.Target
	down        bool
	// running holds the running attempts.
	running map[runner.Attempt]bool
	links   []*link
}

// link is one agent's stream to one gateway.
type link struct {
	name       string
	gateway    *gateway
	target     *target
	reports    []dispatch.AttemptEvent
	crashes    []dispatch.Crash
	ordersSeen uint64
	sentAt     time.Duration
	// loadScheduled is set while a frame with a load is scheduled. sendSeq
	// numbers the scheduled frames of the link: only the newest one is sent.
	loadScheduled bool
	sendSeq       int
	// stamp is the newest stamp that the gateway has received.
	stamp time.Duration
}

// Run simulates a fleet and returns the result.
func Run(opts Options) Result {
	f := &Fleet{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), runTimes: map[string][]time.Duration{}, crashing: map[string]bool{}}
	f.Now = startTime
	f.build()
	start := f.Now + linkSetupTime
	f.scheduleJobs(start)
	// The last jobs need their whole timeout.
	f.RunUntil(start + opts.Duration + queue.Timeout)
	f.finishResult()
	return f.result
}

func (f *Fleet) build() {
	links := subset.DefaultOptions()
	if f.opts.Links > 0 {
		links.Links = f.opts.Links
	}
	f.fastest = math.Inf(1)
	for _, k := range f.opts.Kinds {
		f.fastest = min(f.fastest, k.Slowness)
	}
	byName := map[string]*gateway{}
	var names []string
	for i := range f.opts.Gateways {
		g := &gateway{name: fmt.Sprintf("gateway-%d", i), core: dispatch.NewCore(dispatch.DefaultOptions("z")), links: map[string]*link{}}
		g.core.SetFairShares(f.opts.FairShares)
		f.gateways = append(f.gateways, g)
		byName[g.name] = g
		names = append(names, g.name)
		f.repeat(tickInterval, func() { f.atGateway(g, func(c *dispatch.Core) { c.Tick(f.Now) }) })
	}
	for i := range f.opts.Targets {
		t := &target{
			name: fmt.Sprintf("target-%d", i), kind: f.opts.Kinds[i%len(f.opts.Kinds)],
			core: runner.NewCore(runner.DefaultCoreOptions()), running: map[runner.Attempt]bool{},
		}
		f.targets = append(f.targets, t)
		capacity := task.Resources{CPUMillis: t.kind.CPU, MemoryMB: 1 << 20}
		description := runner.Target{ID: t.name, Incarnation: 1, Service: service, Kind: t.kind.Name, Capacity: capacity}
		t.description = description
		t.core.Heartbeat(f.Now, description)
		t.core.ApplySnapshot(f.Now, runner.Snapshot{RequestedAt: f.Now, Incarnation: 1})
		// Start with known speeds, as in a fleet that has run for a while.
		t.core.RestoreSpeed(runner.Record{Target: description, Speed: runner.SpeedEstimate{Slowness: t.kind.Slowness, Samples: 20}})
		set := subset.New(t.name, links)
		set.UpdateGateways(f.Now, names)
		for _, name := range set.Plan(f.Now).Dial {
			f.attach(t, byName[name], description)
		}
		f.repeat(tickInterval, func() { f.atTarget(t, func(c *runner.Core) { c.Tick(f.Now) }) })
		f.After(heartbeatInterval, func() { f.heartbeat(t) })
	}
}

// heartbeat sends a heartbeat of a target, unless it is down, and schedules the next.
func (f *Fleet) heartbeat(t *target) {
	if !t.down {
		f.atTarget(t, func(c *runner.Core) { c.Heartbeat(f.Now, t.description) })
	}
	f.After(heartbeatInterval, func() { f.heartbeat(t) })
}

func (f *Fleet) attach(t *target, g *gateway, description runner.Target) {
	l := &link{name: t.name + ">" + g.name, gateway: g, target: t, stamp: f.Now}
	t.links = append(t.links, l)
	g.links[l.name] = l
	t.core.RenewGatewayLease(l.name, f.Now)
	g.core.AgentUp(f.Now, dispatch.AgentInfo{Link: l.name, Name: t.name, Zone: "z"})
	g.core.AgentTarget(l.name, dispatch.TargetInfo{Target: t.name, Service: service, Kind: description.Kind, Capacity: description.Capacity})
	f.repeat(echoInterval, func() {
		stamp := l.stamp
		f.After(networkDelay, func() { t.core.RenewGatewayLease(l.name, stamp) })
	})
	f.send(l)
}

// repeat calls run at an interval, starting at a random time within the first
// one.
func (f *Fleet) repeat(d time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		f.After(d, tick)
	}
	f.After(time.Duration(f.rng.Int64N(int64(d))), tick)
}

// atGateway applies a change to a gateway's core and carries out the resulting
// actions.
func (f *Fleet) atGateway(g *gateway, change func(c *dispatch.Core)) {
	change(g.core)
	a := g.core.Take()
	for _, s := range a.Stops {
		l := g.links[s.Link]
		f.result.Frames++
		f.After(networkDelay, func() {
			f.atTarget(l.target, func(c *runner.Core) {
				if s.Attempt == 0 {
					c.StopJobs(f.Now, l.name, []string{s.Job})
				} else {
					c.StopAttempt(f.Now, l.name, runner.Attempt{Task: s.Task, Number: s.Attempt})
				}
			})
		})
	}
	for _, o := range a.Orders {
		l := g.links[o.Link]
		stamp := l.stamp
		f.result.Frames++
		f.After(networkDelay, func() { f.deliverOrder(l, stamp, o) })
	}
	for _, r := range a.Retries {
		f.result.Retries++
		if r.Recall {
			f.result.Recalls++
		}
	}
}

func (f *Fleet) deliverOrder(l *link, stamp time.Duration, o dispatch.Order) {
	var starts []runner.Start
	for _, t := range o.Tasks {
		starts = append(starts, runner.Start{
			Task: task.ID{StepID: o.Step, Index: t.Index}, Attempt: t.Number, Queue: o.Queue, Spec: o.Spec, Suspicion: o.Suspicion, Needs: o.Needs, Expected: o.Expected,
			StartWithin: o.StartWithin, DueWithin: o.DueWithin, AtOnce: o.AtOnce, Priority: o.Priority, MaxPerTarget: o.MaxPerTarget,
		})
	}
	f.atTarget(l.target, func(c *runner.Core) {
		c.RenewGatewayLease(l.name, stamp)
		c.Submit(f.Now, l.name, stamp, starts)
	})
	l.ordersSeen = max(l.ordersSeen, o.Number)
	f.scheduleLoad(l)
}

// atTarget applies a change to an agent's core and carries out the resulting
// actions.
func (f *Fleet) atTarget(t *target, change func(c *runner.Core)) {
	change(t.core)
	a := t.core.Take()
	for _, s := range a.Starts {
		f.After(targetCallDelay, func() { f.startRun(t, s) })
	}
	for _, at := range a.Stops {
		f.After(targetCallDelay, func() { f.stopRun(t, at) })
	}
	for _, crash := range a.Crashes {
		for _, l := range t.links {
			l.crashes = append(l.crashes, toDispatch(crash))
		}
	}
	for _, r := range a.Reports {
		f.report(t, r)
	}
	if len(a.Crashes) > 0 {
		for _, l := range t.links {
			f.send(l)
		}
	}
	if len(a.Starts)+len(a.Reports) > 0 {
		for _, l := range t.links {
			f.scheduleLoad(l)
		}
	}
}

func (f *Fleet) startRun(t *target, s runner.Start) {
	a := runner.Attempt{Task: s.Task, Number: s.Attempt}
	if t.down {
		f.atTarget(t, func(c *runner.Core) {
			c.StartAnswered(f.Now, a, runner.StartUndelivered)
			c.TargetDown(f.Now, f.Now)
		})
		return
	}
	t.running[a] = true
	if s.Task.Index == 0 && f.crashing[s.Task.Job] {
		f.After(crashDelay, func() {
			if t.running[a] {
				f.crash(t)
			}
		})
	}
	f.atTarget(t, func(c *runner.Core) { c.StartAnswered(f.Now, a, runner.StartAccepted) })
	run := f.runTimes[s.Task.Job][s.Task.Index]
	f.After(time.Duration(float64(run)*t.kind.Slowness), func() { f.endRun(t, a, task.Done) })
}

func (f *Fleet) stopRun(t *target, a runner.Attempt) {
	f.atTarget(t, func(c *runner.Core) { c.StopAnswered(f.Now, a, true) })
	f.endRun(t, a, task.Stopped)
}

func (f *Fleet) endRun(t *target, a runner.Attempt, o task.Outcome) {
	if !t.running[a] {
		return
	}
	delete(t.running, a)
	incarnation := t.description.Incarnation
	var stillRunning []runner.Attempt
	for r := range t.running {
		stillRunning = append(stillRunning, r)
	}
	f.After(targetCallDelay, func() {
		f.atTarget(t, func(c *runner.Core) {
			c.ApplySnapshot(f.Now, runner.Snapshot{RequestedAt: f.Now - 2*targetCallDelay, Incarnation: incarnation, Running: stillRunning, Ended: []runner.End{{Attempt: a, Outcome: o}}})
		})
	})
}

func (f *Fleet) report(t *target, r runner.Report) {
	for _, l := range t.links {
		if l.name != r.Gateway {
			continue
		}
		l.reports = append(l.reports, dispatch.AttemptEvent{Task: r.Task, Attempt: r.Attempt, Outcome: r.Outcome, Reason: r.Reason, RunTime: r.RunTime})
		if r.Outcome != task.Started {
			f.send(l)
		}
	}
}

// scheduleLoad schedules a frame with the load, as the writer of a link does.
func (f *Fleet) scheduleLoad(l *link) {
	if l.loadScheduled {
		return
	}
	l.loadScheduled = true
	l.sendSeq++
	seq := l.sendSeq
	f.After(max(0, f.opts.MinLoadInterval-(f.Now-l.sentAt)), func() {
		if l.sendSeq == seq {
			f.send(l)
		}
	})
}

// send sends a frame of an agent and schedules the next one.
func (f *Fleet) send(l *link) {
	l.loadScheduled, l.sentAt = false, f.Now
	l.sendSeq++
	seq := l.sendSeq
	f.After(reportInterval, func() {
		if l.sendSeq == seq {
			f.send(l)
		}
	})
	f.result.Frames++
	reports, crashes, stamp, load := l.reports, l.crashes, f.Now, l.target.core.Load(f.Now)
	l.reports, l.crashes = nil, nil
	m := &dispatch.Load{
		Accepting: load.Accepting, Committed: load.Committed, Backlog: load.Backlog, Slowness: load.Slowness,
		Anomaly: load.Anomaly, Samples: load.Samples, FailedShare: load.FailedShare, OrdersSeen: l.ordersSeen,
		Fenced: load.Fenced, TasksInDoubt: load.TasksInDoubt, DoubtsChanged: true,
	}
	addQueueUse(m, load, l.gateway.core.WantsQueueUse())
	f.After(networkDelay, func() {
		l.stamp = stamp
		f.atGateway(l.gateway, func(c *dispatch.Core) {
			for _, crash := range crashes {
				c.TargetCrashed(f.Now, l.name, crash)
			}
			c.Report(f.Now, l.name, m, reports)
		})
	})
}

// scheduleJobs schedules the arrivals of all jobs as Poisson processes, one for
// each kind of jobs. The rate of one of them rises during bursts.
func (f *Fleet) scheduleJobs(start time.Duration) {
	var capacity float64
	for _, t := range f.targets {
		capacity += float64(t.kind.CPU) / t.kind.Slowness
	}
	for _, k := range f.opts.Jobs {
		cpuTimePerJob := float64(k.Tasks) * float64(k.CPU) * k.RunTime.Seconds()
		share := k.LoadShare
		if share == 0 {
			share = 1 / float64(len(f.opts.Jobs))
		}
		meanInterval := cpuTimePerJob / (capacity * f.opts.Load * share)
		n := 0
		next := func(at float64) float64 { return at + f.rng.ExpFloat64()*meanInterval/f.opts.Burst.rate(k.Name, at) }
		for at := next(0); at < f.opts.Duration.Seconds(); at = next(at) {
			n++
			id := fmt.Sprintf("%s-%d", k.Name, n)
			wait := start - f.Now + time.Duration(at*float64(time.Second))
			f.After(wait, func() { f.submit(k, id) })
		}
	}
}

var queue = queues.Queue{Service: service, MaxAttempts: 4, Timeout: 1500 * time.Millisecond, StretchFactor: 1.6, TargetLatency: 60 * time.Millisecond}

func (f *Fleet) submit(k JobKind, id string) {
	g := f.gateways[f.rng.IntN(len(f.gateways))]
	q := queue
	q.Name = k.Name
	f.crashing[id] = f.crashes(k)
	run := time.Duration(float64(k.RunTime) * f.logNormal(jobSigma))
	estimate := time.Duration(float64(run) * f.logNormal(estimateSigma))
	tasks := max(1, int(math.Round(float64(k.Tasks)*f.logNormal(jobSigma))))
	runTimes := f.drawRunTimes(run, tasks)
	f.runTimes[id] = runTimes
	longest := slices.Max(runTimes)
	arrived := f.Now
	objective := time.Duration(q.StretchFactor*float64(longest)) + q.TargetLatency
	job := f.result.add(k, run*time.Duration(tasks))
	job.Crashing, job.Arrived = f.crashing[id], arrived-startTime-linkSetupTime
	job.Possible = time.Duration(float64(longest)*f.fastest) <= min(objective, q.Timeout)
	s := dispatch.Submission{
		ID: id, Queue: q, Wait: q.Timeout,
		Steps: []dispatch.Step{{Tasks: tasks, Needs: task.Resources{CPUMillis: k.CPU, MemoryMB: 64}, Estimate: estimate}},
	}
	caller := &dispatch.Caller{Answer: func(a dispatch.Answer) {
		f.result.Attempts += a.Attempts
		f.result.Tasks += tasks

		job.State, job.Cause, job.Elapsed = a.State, a.Cause, f.Now-arrived
		if a.State == dispatch.Completed {
			f.result.Stretches = append(f.result.Stretches, job.Elapsed.Seconds()/run.Seconds())
			job.InTime = job.Elapsed <= objective
		}
	}}
	f.atGateway(g, func(c *dispatch.Core) { c.Submit(f.Now, s, caller) })
}

// drawRunTimes returns the run times of the tasks of one job.
func (f *Fleet) drawRunTimes(run time.Duration, tasks int) []time.Duration {
	out := make([]time.Duration, tasks)
	for i := range out {
		out[i] = run
		if f.opts.TaskSigma > 0 {
			out[i] = time.Duration(float64(run) * f.logNormal(f.opts.TaskSigma))
		}
	}
	return out
}

// logNormal returns a log-normally distributed factor with a mean of one.
func (f *Fleet) logNormal(sigma float64) float64 {
	return math.Exp(sigma*f.rng.NormFloat64() - sigma*sigma/2)
}
