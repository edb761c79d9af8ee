// Package runner is the agent's side of restartable jobs: it decides which tasks
// start on the agent's target, when they start, and which have to stop.
//
// Core makes the decisions and does no I/O; Runner drives it.
package runner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Core holds the state of one target and decides what to start and stop on it. It
// is not safe for concurrent use. All times are on one clock, which keeps
// counting while the VM is suspended.
type Core struct {
	opts   CoreOptions
	target Target
	// hasTarget is false until the first heartbeat. confirmed is set once a snapshot of
	// the target has shown that it is the incarnation that the heartbeats describe.
	hasTarget, confirmed bool
	// heartbeatAt is when its newest heartbeat arrived; 0 if the target was only
	// restored from a record.
	heartbeatAt time.Duration
	// fullCapacity is the largest capacity that the incarnation has reported.
	fullCapacity task.Resources
	// candidate is another incarnation that a heartbeat has named, at candidateAt. It
	// becomes the target when its own snapshot confirms it: the heartbeat may be late, or
	// come from another writer, while the runs of the present incarnation go on.
	candidate    Target
	candidateAt  time.Duration
	hasCandidate bool
	// switchedAt is when the present incarnation replaced an earlier one.
	switchedAt time.Duration
	reachable  bool
	// silent is set while calls get no answer, since silentSince.
	silent      bool
	silentSince time.Duration
	// endsMissed is set while runs may have ended on the target without a list that says
	// so.
	endsMissed bool
	stopping   bool
	// foreignRuns are runs on the target that this core did not start. Their
	// resource usage is unknown, so nothing starts while there are any.
	foreignRuns map[Attempt]bool
	// synced is set once the target has listed its runs in answer to a poll with
	// this agent's fencing token.
	synced bool
	// syncAfter is the time of the request from which on a list counts for synced.
	syncAfter time.Duration
	runs      map[task.ID]*run
	// finishedAt holds the times at which attempts ended. Snapshots that were
	// requested earlier may still list them as running.
	finishedAt map[Attempt]time.Duration
	// lateStarts holds when a start of a task that is not done last got no answer: the
	// target may carry it out seconds later.
	lateStarts map[task.ID]time.Duration
	queue      []*run
	// used holds the resources of the runs that may be on the target, waiting those
	// of the queued ones.
	used        task.Resources
	waiting     task.Resources
	leaseExpiry map[string]time.Duration
	// leaseGranted is the latest time on this core's clock up to which a call may have
	// extended the target's lease.
	leaseGranted time.Duration
	// retired gateways may not start new tasks.
	retired map[string]bool
	// zoneDrained is whether operators have drained the agent's availability zone, as
	// of drainRevision.
	zoneDrained   bool
	drainRevision uint64
	stats         statistics
	out           Actions
}

// NewCore returns a core without a target.
func NewCore(opts CoreOptions) *Core {
	return &Core{
		opts: opts, foreignRuns: map[Attempt]bool{}, runs: map[task.ID]*run{}, finishedAt: map[Attempt]time.Duration{}, lateStarts: map[task.ID]time.Duration{},
		leaseExpiry: map[string]time.Duration{}, retired: map[string]bool{}, stats: newStatistics(opts.SlownessMax),
	}
}

// Take returns the actions accumulated since the last call.
func (c *Core) Take() Actions {
	out := c.out
	c.out = Actions{}
	return out
}

// Accepting reports whether new starts are accepted, to begin now or from the
// queue, and if not, the reason.
func (c *Core) Accepting(now time.Duration) (bool, task.Reason) {
	switch {
	case c.stopping:
		return false, task.ReasonStopping
	case !c.hasTarget || !c.reachable || !c.capacityKnown(now):
		return false, task.ReasonNoTarget
	case c.target.Draining:
		return false, task.ReasonDraining
	case c.zoneDrained:
		return false, task.ReasonZoneDrained
	}
	return true, ""
}

// SetZoneDrain records whether the agent's availability zone is drained as of a
// revision, and returns queued tasks if it is. Older revisions have no effect. It
// reports whether the state has changed.
func (c *Core) SetZoneDrain(now time.Duration, revision uint64, drained bool) bool {
	if revision <= c.drainRevision {
		return false
	}
	changed := drained != c.zoneDrained
	c.drainRevision, c.zoneDrained = revision, drained
	c.processQueue(now)
	return changed
}

// Speed returns the estimate of the target's speed.
func (c *Core) Speed(now time.Duration) SpeedEstimate {
	sp := c.stats.summary(now, nil)
	return SpeedEstimate{Slowness: sp.slowness, Samples: sp.samples}
}

// Stop makes the core start nothing more; existing runs continue.
func (c *Core) Stop(now time.Duration) {
	c.stopping = true
	c.processQueue(now)
}

// Idle reports whether nothing is queued or on the target. Starts in doubt do not count:
// nothing can be done about them, and the gateways remember them.
func (c *Core) Idle() bool {
	for _, r := range c.runs {
		if !c.inDoubt(r) {
			return false
		}
	}
	return true
}

// Submit queues the starts requested by a gateway, or refuses them. The stamp is
// the newest one that the gateway had received when it sent the request.
func (c *Core) Submit(now time.Duration, gateway string, stamp time.Duration, starts []Start) {
	ok, reason := c.Accepting(now)
	if ok && now-stamp > c.opts.MaxOrderAge {
		ok, reason = false, task.ReasonStale
	}
	if c.retired[gateway] {
		ok, reason = false, task.ReasonUnlinked
	}
	for _, s := range starts {
		switch {
		case !ok:
			c.reportRefused(gateway, s, reason)
		case c.runs[s.Task] != nil:
			c.reportRefused(gateway, s, task.ReasonDuplicate)
		default:
			c.enqueue(now, gateway, s)
		}
	}
	c.processQueue(now)
	for _, s := range starts {
		r := c.runs[s.Task]
		if s.AtOnce && r != nil && r.state == queued && r.Attempt == s.Attempt && r.gateway == gateway {
			c.finish(now, r, task.NotStarted, task.ReasonBusy)
		}
	}
}

func (c *Core) reportRefused(gateway string, s Start, reason task.Reason) {
	c.out.Reports = append(c.out.Reports, Report{Gateway: gateway, Task: s.Task, Attempt: s.Attempt, Outcome: task.NotStarted, Reason: reason})
}

// StopJobs removes the gateway's queued tasks of the jobs and stops the running
// ones.
func (c *Core) StopJobs(now time.Duration, gateway string, jobs []string) {
	for _, r := range c.sortedRuns() {
		if r.gateway == gateway && slices.Contains(jobs, r.Task.Job) {
			c.revoke(now, r)
		}
	}
	c.processQueue(now)
}

// StopAttempt removes one attempt from the queue or stops it. One whose start has no answer
// goes on: its task could go nowhere else, since the start may be carried out late.
func (c *Core) StopAttempt(now time.Duration, gateway string, a Attempt) {
	r := c.runs[a.Task]
	if r == nil || r.gateway != gateway || r.Attempt != a.Number || r.hasUnansweredStart() {
		return
	}
	r.recalled = r.state == starting && !r.revoked
	c.revoke(now, r)
	c.processQueue(now)
}

// Retire refuses new starts from a gateway; its queued and running tasks
// continue.
func (c *Core) Retire(gateway string) { c.retired[gateway] = true }

// GatewayIdle reports whether a gateway has nothing queued or on the target.
func (c *Core) GatewayIdle(gateway string) bool {
	for _, r := range c.runs {
		if r.gateway == gateway {
			return false
		}
	}
	return true
}

// RemoveGateway cancels all tasks of a gateway whose link has ended, since its
// callers may submit their jobs to another gateway.
func (c *Core) RemoveGateway(now time.Duration, gateway string) {
	for _, r := range c.sortedRuns() {
		if r.gateway == gateway {
			c.revoke(now, r)
		}
	}
	delete(c.leaseExpiry, gateway)
	delete(c.retired, gateway)
	c.processQueue(now)
}

func (c *Core) revoke(now time.Duration, r *run) {
	if r.revoked {
		r.recalled = false
	}
	r.revokedEndBy = min(c.endBy(r), now+c.opts.RunLimit)
	if !r.revoked {
		r.revoked, r.revokedAt = true, now
	}
	switch r.state {
	case queued:
		c.finish(now, r, task.NotStarted, task.ReasonRevoked)
	case starting:
		// The stop is sent after the answer to the start: a stop sent now could
		// overtake the start and find no run to stop.
	case running:
		c.stopRun(r)
	case unanswered:
		c.stopUnanswered(r)
	}
}

func (c *Core) stopRun(r *run) {
	r.state = stopping
	r.stopAcknowledged = false
	c.out.Stops = append(c.out.Stops, Attempt{r.Task, r.Attempt})
}

// Tick handles what is due: expired gateway leases and queue entries.
func (c *Core) Tick(now time.Duration) {
	for gateway, until := range c.leaseExpiry {
		if now > until {
			c.out.Disconnect = append(c.out.Disconnect, gateway)
			c.RemoveGateway(now, gateway)
		}
	}
	c.reportDoubts(now)
	c.reportOverdueStops(now)
	for a, at := range c.finishedAt {
		if now-at > finishedRetention {
			delete(c.finishedAt, a)
		}
	}
	for id, at := range c.lateStarts {
		if now-at > lateCallRetention {
			delete(c.lateStarts, id)
		}
	}
	c.processQueue(now)
}

// finishedRetention is longer than any call to the target can take.
const finishedRetention = 3 * time.Second

// stopOverdueAfter is the time from the revocation of a run after which it should have
// ended: a stop is usually acknowledged within some milliseconds.
const stopOverdueAfter = 200 * time.Millisecond

// reportOverdueStops reports each run once that has been revoked and does not end.
func (c *Core) reportOverdueStops(now time.Duration) {
	for _, r := range c.runs {
		if r.revoked && !r.overdueReported && !c.inDoubt(r) && now-r.revokedAt > stopOverdueAfter {
			r.overdueReported = true
			c.out.OverdueStops = append(c.out.OverdueStops, OverdueStop{Attempt{r.Task, r.Attempt}, r.gateway, now - r.revokedAt})
		}
	}
}

// finish removes an attempt, releases its resources and reports its outcome.
func (c *Core) finish(now time.Duration, r *run, outcome task.Outcome, reason task.Reason) {
	var took time.Duration
	if r.state == queued {
		c.dequeue(r)
	} else {
		c.used = c.used.Minus(r.Needs)
		took = now - r.startedAt
	}
	delete(c.runs, r.Task)
	if outcome == task.Done {
		// Its job has no use for another run, so that no other one can overlap with a late
		// start.
		delete(c.lateStarts, r.Task)
	}
	if r.state != queued {
		c.finishedAt[Attempt{r.Task, r.Attempt}] = now
	}
	c.stats.runEnded(now, outcome, took, r.Expected)
	c.out.Reports = append(c.out.Reports, Report{
		Gateway: r.gateway, Task: r.Task, Attempt: r.Attempt, Outcome: outcome, Reason: reason, RunTime: took,
	})
}

// sortedRuns returns the runs in a deterministic order, so that equal events lead
// to equal actions.
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
