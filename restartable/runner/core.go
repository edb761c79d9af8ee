// Package runner is the agent's side of restartable jobs: it decides what
// starts on the agent's target, when, and what has to stop.
//
// Core holds the decisions and does no I/O; Runner drives it.
package runner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Options are the times of a Core.
type Options struct {
	// GatewayLease is how long after the issue of a stamp the tasks of the
	// gateway that returned it keep running.
	GatewayLease time.Duration
	// OrderLifetime is the age of a stamp at which starts are refused.
	OrderLifetime time.Duration
	// ResolveAfter is how long a start without an answer may still take effect
	// once its own deadline has passed on the target's clock.
	ResolveAfter time.Duration
	// SlownessMax bounds the learned ratio of measured to expected run times.
	SlownessMax float64
}

// DefaultOptions suit targets whose leases last at most one second.
func DefaultOptions() Options {
	return Options{
		GatewayLease:  900 * time.Millisecond,
		OrderLifetime: 500 * time.Millisecond,
		ResolveAfter:  1200 * time.Millisecond,
		SlownessMax:   50,
	}
}

// Target is what a target's heartbeat says of it.
type Target struct {
	ID string
	// Born distinguishes the lives of a target that keeps its id; Seq rises with
	// each heartbeat of a life.
	Born, Seq int64
	Service   string
	// Kind names the model of the machine; targets of one kind are about as fast.
	Kind     string
	Labels   []string
	Capacity task.Resources
	Draining bool
}

// Same tells whether two descriptions of a target are equal.
func (t Target) Same(o Target) bool {
	return t.sameLife(o) && t.Service == o.Service && t.Kind == o.Kind && t.Capacity == o.Capacity &&
		t.Draining == o.Draining && slices.Equal(t.Labels, o.Labels)
}

func (t Target) sameLife(o Target) bool { return t.ID == o.ID && t.Born == o.Born }

// Start asks for one attempt of one task.
type Start struct {
	Task     task.ID
	Attempt  int
	Spec     string
	Needs    task.Resources
	Expected time.Duration
	// StartWithin is the longest time in the queue, DueWithin the time in which
	// the task ought to start.
	StartWithin  time.Duration
	DueWithin    time.Duration
	Priority     int
	MaxPerTarget int
}

// runState is how far an attempt has come on the target.
type runState int

const (
	queued runState = iota
	starting
	running
	// unanswered runs may have begun or may begin later.
	unanswered
	// stopping runs have been told to stop and still take their capacity.
	stopping
)

// run is an attempt that the core knows of.
type run struct {
	Start
	gateway string
	state   runState
	// queueUntil, dueAt, queuedAt and startedAt are times of the core's clock.
	queueUntil time.Duration
	dueAt      time.Duration
	queuedAt   time.Duration
	startedAt  time.Duration
	// confirmedAt is when the target last confirmed a state of this run; a look
	// at the target that began before it proves nothing about the run.
	confirmedAt time.Duration
	// stopAcked is set once the target has acknowledged a stop.
	stopAcked bool
	// revoked is set when the gateway no longer wants the attempt.
	revoked bool
}

// Report is an event for one gateway.
type Report struct {
	Gateway string
	Task    task.ID
	Attempt int
	Outcome task.Outcome
	Reason  task.Reason
	RunTime time.Duration
}

// Actions is what the driver has to do after a call of a Core.
type Actions struct {
	Starts  []Start
	Stops   []Attempt
	Reports []Report
	// Disconnect names gateways whose lease has lapsed.
	Disconnect []string
}

// Attempt names one attempt of a task.
type Attempt struct {
	Task   task.ID
	Number int
}

// Core decides for one target. It is not safe for concurrent use; all times
// are of one clock that also counts suspensions.
type Core struct {
	opts   Options
	target Target
	// known is false until the first heartbeat and after the end of a life.
	known     bool
	reachable bool
	stopping  bool
	// strangers are runs on the target that this core has not started. Their
	// size is unknown, so that nothing starts beside them.
	strangers map[Attempt]bool
	// surveyed is set once the target has listed what runs on it under this
	// agent's fencing token.
	surveyed bool
	runs     map[task.ID]*run
	// finished has the times at which attempts ended; lists that were asked for
	// before may still show them at work.
	finished map[Attempt]time.Duration
	queue    []*run
	used     task.Resources
	waiting  task.Resources
	leases   map[string]time.Duration
	stats    statistics
	out      Actions
}

// NewCore returns a core that knows no target yet.
func NewCore(opts Options) *Core {
	return &Core{
		opts: opts, strangers: map[Attempt]bool{}, runs: map[task.ID]*run{}, finished: map[Attempt]time.Duration{},
		leases: map[string]time.Duration{}, stats: newStatistics(opts.SlownessMax),
	}
}

// Take returns the actions since the last call.
func (c *Core) Take() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// Accepting tells whether a start could begin now or after other runs.
func (c *Core) Accepting() (bool, task.Reason) {
	switch {
	case c.stopping:
		return false, task.ReasonStopping
	case !c.known || !c.reachable:
		return false, task.ReasonNoTarget
	case c.target.Draining:
		return false, task.ReasonDraining
	}
	return true, ""
}

// Heartbeat takes in what the target says of itself. Heartbeats of earlier lives
// and those that newer ones have overtaken are ignored.
func (c *Core) Heartbeat(now time.Duration, t Target) {
	if c.known && (t.Born < c.target.Born || t.sameLife(c.target) && t.Seq < c.target.Seq) {
		return
	}
	if c.known && !t.sameLife(c.target) {
		c.endLife(now)
	}
	if !c.known {
		c.surveyed = false
	}
	c.target, c.known = t, true
	c.pump(now)
}

// TargetLeft notes that the target of this life has said goodbye.
func (c *Core) TargetLeft(now time.Duration, id string) {
	if c.known && c.target.ID == id {
		c.target.Draining = true
		c.pump(now)
	}
}

// Target returns the target of the newest heartbeat.
func (c *Core) Target() (Target, bool) { return c.target, c.known }

// endLife reports all runs as lost: a new life of a target runs nothing.
func (c *Core) endLife(now time.Duration) {
	for _, r := range c.sortedRuns() {
		if r.state != queued {
			c.finish(now, r, task.Lost, "")
		}
	}
	clear(c.strangers)
	c.known, c.surveyed = false, false
}

// Stop makes the core start nothing more; what runs goes on.
func (c *Core) Stop(now time.Duration) {
	c.stopping = true
	c.pump(now)
}

// Idle tells whether nothing is queued or on the target.
func (c *Core) Idle() bool { return len(c.runs) == 0 }

// Echo renews a gateway's lease from a stamp that this core's clock issued.
func (c *Core) Echo(gateway string, stamp time.Duration) {
	c.leases[gateway] = max(c.leases[gateway], stamp+c.opts.GatewayLease)
}

// Order takes in starts of a gateway. The stamp is the newest one that the
// gateway had received when it sent them.
func (c *Core) Order(now time.Duration, gateway string, stamp time.Duration, starts []Start) {
	ok, reason := c.Accepting()
	if ok && now-stamp > c.opts.OrderLifetime {
		ok, reason = false, task.ReasonStale
	}
	for _, s := range starts {
		switch {
		case !ok:
			c.refuse(gateway, s, reason)
		case c.runs[s.Task] != nil:
			c.refuse(gateway, s, task.ReasonDuplicate)
		default:
			c.enqueue(now, gateway, s)
		}
	}
	c.pump(now)
}

func (c *Core) refuse(gateway string, s Start, reason task.Reason) {
	c.out.Reports = append(c.out.Reports, Report{Gateway: gateway, Task: s.Task, Attempt: s.Attempt, Outcome: task.NotStarted, Reason: reason})
}

func (c *Core) enqueue(now time.Duration, gateway string, s Start) {
	r := &run{Start: s, gateway: gateway, queuedAt: now, queueUntil: now + s.StartWithin, dueAt: now + s.DueWithin}
	c.runs[s.Task] = r
	c.waiting = c.waiting.Plus(s.Needs)
	at, _ := slices.BinarySearchFunc(c.queue, r, compareQueued)
	c.queue = slices.Insert(c.queue, at, r)
}

// compareQueued orders the queue by the time left until a task has to start.
// Tasks that are due at the same time go by priority, then by arrival.
func compareQueued(a, b *run) int {
	if a.dueAt != b.dueAt {
		return int(a.dueAt - b.dueAt)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	// An equal element stands before the one that is inserted.
	return -1
}

// StopJobs drops what the gateway has queued of the jobs and stops what runs.
func (c *Core) StopJobs(now time.Duration, gateway string, jobs []string) {
	for _, r := range c.sortedRuns() {
		if r.gateway == gateway && slices.Contains(jobs, r.Task.Job) {
			c.revoke(now, r)
		}
	}
	c.pump(now)
}

// StopAttempt drops or stops one attempt.
func (c *Core) StopAttempt(now time.Duration, gateway string, a Attempt) {
	r := c.runs[a.Task]
	if r != nil && r.gateway == gateway && r.Attempt == a.Number {
		c.revoke(now, r)
		c.pump(now)
	}
}

// GatewayGone drops and stops everything of a gateway: its callers may submit
// their jobs to another gateway.
func (c *Core) GatewayGone(now time.Duration, gateway string) {
	delete(c.leases, gateway)
	for _, r := range c.sortedRuns() {
		if r.gateway == gateway {
			c.revoke(now, r)
		}
	}
	c.pump(now)
}

func (c *Core) revoke(now time.Duration, r *run) {
	r.revoked = true
	switch r.state {
	case queued:
		c.finish(now, r, task.NotStarted, task.ReasonRevoked)
	case starting:
		// The stop follows the answer of the start: an earlier stop of a run that
		// is not there yet could be overtaken by it.
	case running:
		c.stopRun(r)
	}
}

func (c *Core) stopRun(r *run) {
	r.state = stopping
	r.stopAcked = false
	c.out.Stops = append(c.out.Stops, Attempt{r.Task, r.Attempt})
}

// Tick applies what is due: lapsed gateway leases and expired queue entries.
func (c *Core) Tick(now time.Duration) {
	for gateway, until := range c.leases {
		if now > until {
			c.out.Disconnect = append(c.out.Disconnect, gateway)
			c.GatewayGone(now, gateway)
		}
	}
	c.resolve(now)
	for a, at := range c.finished {
		if now-at > finishedKept {
			delete(c.finished, a)
		}
	}
	c.pump(now)
}

// finishedKept is longer than any call to the target takes.
const finishedKept = 3 * time.Second

// resolve ends attempts without an answer that can no longer begin, since the
// deadline that they carried has passed on the target's clock.
func (c *Core) resolve(now time.Duration) {
	for _, r := range c.sortedRuns() {
		late := now-r.startedAt > c.opts.ResolveAfter
		if r.state == unanswered && late && !c.reachable {
			c.finish(now, r, task.Lost, "")
		}
	}
}

// pump starts what fits, in the order of the queue, and reports what has
// waited too long.
func (c *Core) pump(now time.Duration) {
	accepting, reason := c.Accepting()
	// finish removes from c.queue, hence the copy.
	for _, r := range slices.Clone(c.queue) {
		switch {
		case !accepting:
			c.finish(now, r, task.NotStarted, reason)
		case now > c.leases[r.gateway]:
			c.finish(now, r, task.NotStarted, task.ReasonGatewayLost)
		case now > r.queueUntil:
			c.finish(now, r, task.NotStarted, task.ReasonExpired)
		case c.fits(r):
			c.begin(now, r)
		}
	}
}

func (c *Core) fits(r *run) bool {
	if !c.surveyed || len(c.strangers) > 0 {
		return false
	}
	if r.MaxPerTarget > 0 && c.runsOfStep(r.Task.StepID) >= r.MaxPerTarget {
		return false
	}
	return c.used.Plus(r.Needs).Within(c.target.Capacity)
}

func (c *Core) runsOfStep(id task.StepID) int {
	n := 0
	for _, r := range c.runs {
		if r.Task.StepID == id && r.state != queued {
			n++
		}
	}
	return n
}

func (c *Core) begin(now time.Duration, r *run) {
	c.unqueue(r)
	r.state, r.startedAt, r.confirmedAt = starting, now, now
	c.used = c.used.Plus(r.Needs)
	c.out.Starts = append(c.out.Starts, r.Start)
}

func (c *Core) unqueue(r *run) {
	c.queue = slices.DeleteFunc(c.queue, func(q *run) bool { return q == r })
	c.waiting = c.waiting.Minus(r.Needs)
}

// finish forgets an attempt, frees what it took and reports its outcome.
func (c *Core) finish(now time.Duration, r *run, outcome task.Outcome, reason task.Reason) {
	var took time.Duration
	if r.state == queued {
		c.unqueue(r)
	} else {
		c.used = c.used.Minus(r.Needs)
		took = now - r.startedAt
	}
	delete(c.runs, r.Task)
	if r.state != queued {
		c.finished[Attempt{r.Task, r.Attempt}] = now
	}
	c.stats.ended(now, outcome, took, r.Expected)
	c.out.Reports = append(c.out.Reports, Report{
		Gateway: r.gateway, Task: r.Task, Attempt: r.Attempt, Outcome: outcome, Reason: reason, RunTime: took,
	})
}

// sortedRuns returns the runs in a fixed order, so that the same events lead
// to the same actions.
func (c *Core) sortedRuns() []*run {
	all := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		if a.queuedAt != b.queuedAt {
			return cmp.Compare(a.queuedAt, b.queuedAt)
		}
		return strings.Compare(a.Task.String(), b.Task.String())
	})
	return all
}
