// Package fleet plays gateways and agents of restartable jobs in virtual time:
// the decisions are those of the packages dispatch, runner and subset, network
// and targets are modelled. A seed decides everything.
package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/virtualtime"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/subset"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Options describe a fleet and its load.
type Options struct {
	Seed              uint64
	Gateways, Targets int
	// Links is the number of gateways that an agent links to, the daemons' one if
	// it is 0.
	Links int
	// LoadGap is the least time between two frames that only carry a load.
	LoadGap time.Duration
	// Load is the share of the targets' processors that the jobs need.
	Load float64
	// Jobs are the kinds of jobs, with equal shares of the load.
	Jobs []JobKind
	// Kinds are the kinds of targets, in turn.
	Kinds []TargetKind
	// Length is the time in which jobs arrive.
	Length time.Duration
}

// Mixed returns a fleet of targets of two speeds with three kinds of jobs. Two of
// three targets are fast, and they have just the room for the long jobs and most
// of the others: places are scarce, though not all are taken.
func Mixed(gateways, targets int) Options {
	return Options{
		Seed: 1, Gateways: gateways, Targets: targets, LoadGap: 50 * time.Millisecond, Load: 0.65, Length: 3 * time.Second,
		Jobs: []JobKind{
			{"short", 8, 60 * time.Millisecond, 7600}, {"long", 4, 900 * time.Millisecond, 7600}, {"pair", 2, 200 * time.Millisecond, 7600},
		},
		Kinds: []TargetKind{{"fast", 0.7, 32_000}, {"fast", 0.7, 32_000}, {"slow", 1.7, 48_000}},
	}
}

// JobKind is one kind of jobs.
type JobKind struct {
	Name string
	// Tasks and Run are means; both vary from job to job.
	Tasks int
	Run   time.Duration
	// CPU is what a task takes, in thousandths of a core.
	CPU int64
}

// TargetKind is one kind of targets.
type TargetKind struct {
	Name string
	// Slowness is the ratio of run times to those on a target of reference speed.
	Slowness float64
	// CPU is the capacity, in thousandths of a core.
	CPU int64
}

const (
	service = "s"
	// hop is the one-way delay of the network, callTime that of a call to a target.
	hop      = 1400 * time.Microsecond
	callTime = 500 * time.Microsecond
	// reportEvery, echoEvery and the ticks are those of the daemons.
	reportEvery = 150 * time.Millisecond
	echoEvery   = 200 * time.Millisecond
	tickEvery   = 20 * time.Millisecond
	// timeSpread and estimateSpread are standard deviations of the logarithms of
	// run times and of the errors of their estimates.
	timeSpread     = 0.4
	estimateSpread = 0.4
	// beginning is the time of the clock at the start: some decisions take zero as
	// never.
	beginning = time.Minute
	// settle is the time in which the links are set up before the first job.
	settle = 500 * time.Millisecond
)

// Fleet is a running simulation.
type Fleet struct {
	virtualtime.Clock
	opts     Options
	rng      *rand.Rand
	gateways []*gateway
	targets  []*target
	result   Result
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
	// running has the runs at work.
	running map[runner.Attempt]bool
	links   []*link
}

// link is one agent's stream to one gateway.
type link struct {
	name    string
	gateway *gateway
	target  *target
	reports []dispatch.AttemptEvent
	seen    uint64
	sentAt  time.Duration
	// due is set while a frame with a load is planned, next counts the plans.
	due  bool
	next int
	// stamp is the newest one that the gateway has.
	stamp time.Duration
}

// Run plays a fleet.
func Run(opts Options) Result {
	f := &Fleet{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), result: Result{Offered: map[string]int{}, InTime: map[string]int{}}}
	f.Now = beginning
	f.build()
	start := f.Now + settle
	f.arrivals(start)
	f.RunUntil(start + opts.Length)
	f.finish()
	return f.result
}

func (f *Fleet) build() {
	links := subset.DefaultOptions()
	if f.opts.Links > 0 {
		links.Links = f.opts.Links
	}
	byName := map[string]*gateway{}
	var names []string
	for i := range f.opts.Gateways {
		g := &gateway{name: fmt.Sprintf("gateway-%d", i), core: dispatch.NewCore(dispatch.DefaultOptions("z")), links: map[string]*link{}}
		f.gateways = append(f.gateways, g)
		byName[g.name] = g
		names = append(names, g.name)
		f.every(tickEvery, func() { f.atGateway(g, func(c *dispatch.Core) { c.Tick(f.Now) }) })
	}
	for i := range f.opts.Targets {
		t := &target{
			name: fmt.Sprintf("target-%d", i), kind: f.opts.Kinds[i%len(f.opts.Kinds)],
			core: runner.NewCore(runner.DefaultOptions()), running: map[runner.Attempt]bool{},
		}
		f.targets = append(f.targets, t)
		capacity := task.Resources{CPUMillis: t.kind.CPU, MemoryMB: 1 << 20}
		life := runner.Target{ID: t.name, Born: 1, Service: service, Kind: t.kind.Name, Capacity: capacity}
		t.core.Heartbeat(f.Now, life)
		t.core.Looked(f.Now, runner.Look{Began: f.Now, Born: 1})
		// Speeds have been learned, as in a fleet that has run for a while.
		t.core.Adopt(runner.Record{Target: life, Learned: runner.Learned{Slowness: t.kind.Slowness, Samples: 20}})
		set := subset.New(t.name, links)
		set.UpdateGateways(f.Now, names)
		for _, name := range set.Plan(f.Now).Dial {
			f.attach(t, byName[name], life)
		}
		f.every(tickEvery, func() { f.atTarget(t, func(c *runner.Core) { c.Tick(f.Now) }) })
	}
}

func (f *Fleet) attach(t *target, g *gateway, life runner.Target) {
	l := &link{name: t.name + ">" + g.name, gateway: g, target: t, stamp: f.Now}
	t.links = append(t.links, l)
	g.links[l.name] = l
	t.core.Echo(l.name, f.Now)
	g.core.AgentUp(f.Now, dispatch.AgentInfo{Link: l.name, Name: t.name, Zone: "z"})
	g.core.AgentTarget(l.name, dispatch.TargetInfo{Target: t.name, Service: service, Kind: life.Kind, Capacity: life.Capacity})
	f.every(echoEvery, func() {
		stamp := l.stamp
		f.After(hop, func() { t.core.Echo(l.name, stamp) })
	})
	f.send(l)
}

// every runs an event again and again, from a random time on.
func (f *Fleet) every(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		f.After(d, again)
	}
	f.After(time.Duration(f.rng.Int64N(int64(d))), again)
}

// atGateway applies a change to a gateway and sends what follows from it.
func (f *Fleet) atGateway(g *gateway, change func(c *dispatch.Core)) {
	change(g.core)
	a := g.core.Take()
	for _, s := range a.Stops {
		l := g.links[s.Link]
		f.result.Frames++
		f.After(hop, func() {
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
		f.After(hop, func() { f.order(l, stamp, o) })
	}
	for _, r := range a.Retries {
		f.result.Retries++
		if r.Recall {
			f.result.Recalls++
		}
	}
}

func (f *Fleet) order(l *link, stamp time.Duration, o dispatch.Order) {
	var starts []runner.Start
	for _, t := range o.Tasks {
		starts = append(starts, runner.Start{
			Task: task.ID{StepID: o.Step, Index: t.Index}, Attempt: t.Number, Spec: o.Spec, Needs: o.Needs, Expected: o.Expected,
			StartWithin: o.StartWithin, DueWithin: o.DueWithin, AtOnce: o.AtOnce, Priority: o.Priority, MaxPerTarget: o.MaxPerTarget,
		})
	}
	f.atTarget(l.target, func(c *runner.Core) {
		c.Echo(l.name, stamp)
		c.Order(f.Now, l.name, stamp, starts)
	})
	l.seen = max(l.seen, o.Number)
	f.planLoad(l)
}

// atTarget applies a change to an agent and carries out what follows from it.
func (f *Fleet) atTarget(t *target, change func(c *runner.Core)) {
	change(t.core)
	a := t.core.Take()
	for _, s := range a.Starts {
		f.After(callTime, func() { f.start(t, s) })
	}
	for _, at := range a.Stops {
		f.After(callTime, func() { f.stop(t, at) })
	}
	for _, r := range a.Reports {
		f.report(t, r)
	}
	if len(a.Starts)+len(a.Reports) > 0 {
		for _, l := range t.links {
			f.planLoad(l)
		}
	}
}

func (f *Fleet) start(t *target, s runner.Start) {
	a := runner.Attempt{Task: s.Task, Number: s.Attempt}
	t.running[a] = true
	f.atTarget(t, func(c *runner.Core) { c.Started(f.Now, a, runner.StartAccepted) })
	run, err := time.ParseDuration(s.Spec)
	if err != nil {
		panic(err) // submit writes it
	}
	f.After(time.Duration(float64(run)*t.kind.Slowness), func() { f.end(t, a, task.Done) })
}

func (f *Fleet) stop(t *target, a runner.Attempt) {
	f.atTarget(t, func(c *runner.Core) { c.StopAnswered(f.Now, a, true) })
	f.end(t, a, task.Stopped)
}

func (f *Fleet) end(t *target, a runner.Attempt, o task.Outcome) {
	if !t.running[a] {
		return
	}
	delete(t.running, a)
	var left []runner.Attempt
	for r := range t.running {
		left = append(left, r)
	}
	f.After(callTime, func() {
		f.atTarget(t, func(c *runner.Core) {
			c.Looked(f.Now, runner.Look{Began: f.Now - 2*callTime, Born: 1, Running: left, Ended: []runner.End{{Attempt: a, Outcome: o}}})
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

// planLoad sends a load soon, as the writer of a link does.
func (f *Fleet) planLoad(l *link) {
	if l.due {
		return
	}
	l.due = true
	l.next++
	plan := l.next
	f.After(max(0, f.opts.LoadGap-(f.Now-l.sentAt)), func() {
		if l.next == plan {
			f.send(l)
		}
	})
}

// send sends a frame of an agent, and plans the next one.
func (f *Fleet) send(l *link) {
	l.due, l.sentAt = false, f.Now
	l.next++
	plan := l.next
	f.After(reportEvery, func() {
		if l.next == plan {
			f.send(l)
		}
	})
	f.result.Frames++
	reports, stamp, load := l.reports, f.Now, l.target.core.Load(f.Now)
	l.reports = nil
	m := &dispatch.Load{
		Accepting: load.Accepting, Committed: load.Committed, Backlog: load.Backlog, Slowness: load.Slowness,
		Anomaly: load.Anomaly, Samples: load.Samples, FailedShare: load.Failed, OrdersSeen: l.seen,
	}
	f.After(hop, func() {
		l.stamp = stamp
		f.atGateway(l.gateway, func(c *dispatch.Core) { c.Report(f.Now, l.name, m, reports) })
	})
}

// arrivals plans the jobs: at each gateway in turn by chance.
func (f *Fleet) arrivals(start time.Duration) {
	var capacity float64
	for _, t := range f.targets {
		capacity += float64(t.kind.CPU) / t.kind.Slowness
	}
	for _, k := range f.opts.Jobs {
		perJob := float64(k.Tasks) * float64(k.CPU) * k.Run.Seconds()
		gap := perJob * float64(len(f.opts.Jobs)) / (capacity * f.opts.Load)
		n := 0
		for at := f.rng.ExpFloat64() * gap; at < f.opts.Length.Seconds(); at += f.rng.ExpFloat64() * gap {
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
	run := time.Duration(float64(k.Run) * f.vary(timeSpread))
	estimate := time.Duration(float64(run) * f.vary(estimateSpread))
	tasks := max(1, int(math.Round(float64(k.Tasks)*f.vary(timeSpread))))
	arrived := f.Now
	objective := time.Duration(q.StretchFactor*float64(run)) + q.TargetLatency
	f.result.Offered[k.Name]++
	s := dispatch.Submission{
		ID: id, Queue: q, Spec: run.String(), Wait: q.Timeout,
		Steps: []dispatch.Step{{Tasks: tasks, Needs: task.Resources{CPUMillis: k.CPU, MemoryMB: 64}, Estimate: estimate}},
	}
	caller := &dispatch.Caller{Answer: func(a dispatch.Answer) {
		f.result.Attempts += a.Attempts
		f.result.Tasks += tasks
		if a.State != dispatch.Completed {
			return
		}
		took := f.Now - arrived
		f.result.Stretches = append(f.result.Stretches, took.Seconds()/run.Seconds())
		if took <= objective {
			f.result.InTime[k.Name]++
		}
	}}
	f.atGateway(g, func(c *dispatch.Core) { c.Submit(f.Now, s, caller) })
}

// vary returns a factor of mean one.
func (f *Fleet) vary(spread float64) float64 {
	return math.Exp(spread*f.rng.NormFloat64() - spread*spread/2)
}
