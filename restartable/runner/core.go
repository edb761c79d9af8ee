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

// Core decides for one target. It is not safe for concurrent use; all times
// are of one clock that also counts suspensions.
type Core struct {
	opts   CoreOptions
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
	// retired gateways start nothing more here.
	retired map[string]bool
	stats   statistics
	out     Actions
}

// NewCore returns a core that knows no target yet.
func NewCore(opts CoreOptions) *Core {
	return &Core{
		opts: opts, strangers: map[Attempt]bool{}, runs: map[task.ID]*run{}, finished: map[Attempt]time.Duration{},
		leases: map[string]time.Duration{}, retired: map[string]bool{}, stats: newStatistics(opts.SlownessMax),
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
	if c.known && (t.Incarnation < c.target.Incarnation || t.sameLife(c.target) && t.Seq < c.target.Seq) {
		return
	}
	if c.known && !t.sameLife(c.target) {
		c.endLife(now)
		// Statistics of a target of another size or kind begin anew, with what may be
		// expected to hold on.
		learned := c.Speed(now).forTarget(c.target, t)
		if learned.Samples < c.stats.samples {
			c.stats = newStatistics(c.opts.SlownessMax)
			c.stats.adopt(learned)
		}
	}
	if !c.known {
		c.surveyed = false
	}
	c.target, c.known = t, true
	c.pump(now)
}

// RestoreSpeed takes in the speed that an earlier process of this agent has learned of
// a target of this VM.
func (c *Core) RestoreSpeed(kept Record) {
	if c.known {
		c.stats.adopt(kept.Speed.forTarget(kept.Target, c.target))
	}
}

// Speed returns what is known of the target's speed.
func (c *Core) Speed(now time.Duration) SpeedEstimate {
	sp := c.stats.summary(now, nil)
	return SpeedEstimate{Slowness: sp.slowness, Samples: sp.samples}
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

// RenewGatewayLease renews a gateway's lease from a stamp that this core's clock issued.
func (c *Core) RenewGatewayLease(gateway string, stamp time.Duration) {
	c.leases[gateway] = max(c.leases[gateway], stamp+c.opts.GatewayLease)
}

// Submit takes in starts of a gateway. The stamp is the newest one that the
// gateway had received when it sent them.
func (c *Core) Submit(now time.Duration, gateway string, stamp time.Duration, starts []Start) {
	ok, reason := c.Accepting()
	if ok && now-stamp > c.opts.OrderLifetime {
		ok, reason = false, task.ReasonStale
	}
	if c.retired[gateway] {
		ok, reason = false, task.ReasonUnlinked
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
	for _, s := range starts {
		r := c.runs[s.Task]
		if s.AtOnce && r != nil && r.state == queued && r.Attempt == s.Attempt && r.gateway == gateway {
			c.finish(now, r, task.NotStarted, task.ReasonBusy)
		}
	}
}

func (c *Core) refuse(gateway string, s Start, reason task.Reason) {
	c.out.Reports = append(c.out.Reports, Report{Gateway: gateway, Task: s.Task, Attempt: s.Attempt, Outcome: task.NotStarted, Reason: reason})
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

// Retire refuses what a gateway orders from now on; what it has queued and what
// runs goes on.
func (c *Core) Retire(gateway string) { c.retired[gateway] = true }

// GatewayIdle tells whether nothing of a gateway is queued or on the target.
func (c *Core) GatewayIdle(gateway string) bool {
	for _, r := range c.runs {
		if r.gateway == gateway {
			return false
		}
	}
	return true
}

// GatewayGone drops and stops everything of a gateway: its callers may submit
// their jobs to another gateway.
func (c *Core) GatewayGone(now time.Duration, gateway string) {
	delete(c.leases, gateway)
	delete(c.retired, gateway)
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
