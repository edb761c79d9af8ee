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
	stopping    bool
	// foreignRuns are runs on the target that this core did not start. Their
	// resource usage is unknown, so nothing starts while there are any.
	foreignRuns map[Attempt]bool
	// synced is set once the target has listed its runs in answer to a poll with
	// this agent's fencing token.
	synced bool
	runs   map[task.ID]*run
	// finishedAt holds the times at which attempts ended. Snapshots that were
	// requested earlier may still list them as running.
	finishedAt map[Attempt]time.Duration
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
		opts: opts, foreignRuns: map[Attempt]bool{}, runs: map[task.ID]*run{}, finishedAt: map[Attempt]time.Duration{},
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

// Heartbeat processes a heartbeat. One of another incarnation only makes it the
// candidate. Those that arrive after a newer one are ignored, and those that name
// another service, since a target never changes its service; but for HeartbeatTimeout at
// most, since the one that they differ from may be the wrong one.
func (c *Core) Heartbeat(now time.Duration, t Target) {
	switch {
	case !c.hasTarget:
		c.target, c.hasTarget, c.heartbeatAt, c.fullCapacity = t, true, now, t.Capacity
	case !t.sameIncarnation(c.target):
		c.candidate, c.candidateAt, c.hasCandidate = t, now, true
	case !c.capacityKnown(now), t.Seq >= c.target.Seq && t.Service == c.target.Service:
		c.target, c.heartbeatAt, c.fullCapacity = t, now, c.fullCapacity.Max(t.Capacity)
		c.processQueue(now)
	}
}

// Candidate returns the incarnation that has to be confirmed, and false if there is
// none.
func (c *Core) Candidate() (Target, bool) { return c.candidate, c.hasCandidate }

// DropCandidate forgets a candidate that the target has not confirmed.
func (c *Core) DropCandidate(now time.Duration, t Target) {
	if c.hasCandidate && c.candidate.sameIncarnation(t) {
		c.hasCandidate = false
		c.processQueue(now)
	}
}

// ConfirmCandidate makes the candidate the target, given a snapshot that t has
// answered with. It returns false, and drops the candidate, if the snapshot is of
// another incarnation.
func (c *Core) ConfirmCandidate(now time.Duration, t Target, s Snapshot) bool {
	if !c.hasCandidate || !c.candidate.sameIncarnation(t) {
		return false
	}
	if s.Incarnation != t.Incarnation {
		c.DropCandidate(now, t)
		return false
	}
	// The candidate may already have run, to their end, tasks that were started by calls
	// to its predecessor.
	for _, e := range s.Ended {
		c.applyEnd(now, e)
	}
	c.endIncarnation(now, s)
	// Statistics of a target of another capacity or kind start afresh, from the part
	// of the old estimate that is likely to apply.
	estimate := c.Speed(now).forTarget(c.FullTarget(), c.candidate)
	if estimate.Samples < c.stats.samples {
		c.stats = newStatistics(c.opts.SlownessMax)
		c.stats.restore(estimate)
	}
	c.target, c.heartbeatAt, c.fullCapacity = c.candidate, c.candidateAt, c.candidate.Capacity
	c.hasCandidate, c.switchedAt = false, now
	return c.ApplySnapshot(now, s)
}

// RestoreTarget sets the target from a record, unless a heartbeat has arrived. Its
// runs can be listed, but nothing starts before its next heartbeat: its capacity may
// have shrunk since the record was written. It reports whether it set the target.
func (c *Core) RestoreTarget(t Target) bool {
	if c.hasTarget {
		return false
	}
	c.target, c.hasTarget, c.fullCapacity = t, true, t.Capacity
	return true
}

// capacityKnown reports whether a heartbeat is so recent that the target has at least
// the capacity that it says.
func (c *Core) capacityKnown(now time.Duration) bool {
	return c.heartbeatAt > 0 && now-c.heartbeatAt <= c.opts.HeartbeatTimeout
}

// RestoreSpeed applies the speed that an earlier process of this agent estimated
// for a target of this VM.
func (c *Core) RestoreSpeed(stored Record) {
	if !c.hasTarget {
		return
	}
	if c.target.sameIncarnation(stored.Target) {
		c.fullCapacity = c.fullCapacity.Max(stored.Target.Capacity)
	}
	c.stats.restore(stored.Speed.forTarget(stored.Target, c.FullTarget()))
}

// Speed returns the estimate of the target's speed.
func (c *Core) Speed(now time.Duration) SpeedEstimate {
	sp := c.stats.summary(now, nil)
	return SpeedEstimate{Slowness: sp.slowness, Samples: sp.samples}
}

// TargetLeft records that the target has deregistered.
func (c *Core) TargetLeft(now time.Duration, id string) {
	if c.hasTarget && c.target.ID == id {
		c.target.Draining = true
		c.processQueue(now)
	}
}

// Target returns the target of the newest heartbeat.
func (c *Core) Target() (Target, bool) { return c.target, c.hasTarget }

// FullTarget returns the target with the capacity that it has when it has not shrunk. It
// tells whether a later incarnation is of the same size.
func (c *Core) FullTarget() Target {
	t := c.target
	t.Capacity = c.fullCapacity
	return t
}

// Confirmed reports whether the target has confirmed the incarnation that its
// heartbeats describe.
func (c *Core) Confirmed() bool { return c.confirmed }

// endIncarnation reports the runs that the first snapshot of a new incarnation does
// not list as lost. It may list some, since a call to an earlier incarnation of the
// same ID can reach the new one. Starts that have not been answered, or were answered
// after the snapshot was requested, are left to a later snapshot.
func (c *Core) endIncarnation(now time.Duration, s Snapshot) {
	listed := s.runningSet()
	c.loseRuns(now, task.ReasonTargetRestarted, func(r *run) bool {
		return r.state != starting && s.lacks(r, listed)
	})
	for _, r := range c.sortedRuns() {
		if r.stopAcknowledged {
			// A stop that the earlier incarnation acknowledged does not bind this one.
			r.stopAcknowledged = false
			c.out.Stops = append(c.out.Stops, r.attempt())
		}
	}
	clear(c.foreignRuns)
}

// Stop makes the core start nothing more; existing runs continue.
func (c *Core) Stop(now time.Duration) {
	c.stopping = true
	c.processQueue(now)
}

// Idle reports whether nothing is queued or on the target.
func (c *Core) Idle() bool { return len(c.runs) == 0 }

// RenewGatewayLease renews a gateway's lease from a stamp that was issued on this
// core's clock and returned by the gateway.
func (c *Core) RenewGatewayLease(gateway string, stamp time.Duration) {
	c.leaseExpiry[gateway] = max(c.leaseExpiry[gateway], stamp+c.opts.GatewayLease)
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

// StopAttempt removes one attempt from the queue or stops it.
func (c *Core) StopAttempt(now time.Duration, gateway string, a Attempt) {
	r := c.runs[a.Task]
	if r != nil && r.gateway == gateway && r.Attempt == a.Number {
		c.revoke(now, r)
		c.processQueue(now)
	}
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
	}
}

func (c *Core) stopRun(r *run) {
	r.state = stopping
	r.stopAcknowledged = false
	c.out.Stops = append(c.out.Stops, Attempt{r.Task, r.Attempt})
}

// Tick handles what is due: expired gateway leases, queue entries and unanswered
// starts.
func (c *Core) Tick(now time.Duration) {
	for gateway, until := range c.leaseExpiry {
		if now > until {
			c.out.Disconnect = append(c.out.Disconnect, gateway)
			c.RemoveGateway(now, gateway)
		}
	}
	c.expireUnanswered(now)
	c.reportOverdueStops(now)
	for a, at := range c.finishedAt {
		if now-at > finishedRetention {
			delete(c.finishedAt, a)
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
		if r.revoked && !r.overdueReported && now-r.revokedAt > stopOverdueAfter {
			r.overdueReported = true
			c.out.OverdueStops = append(c.out.OverdueStops, OverdueStop{Attempt{r.Task, r.Attempt}, r.gateway, now - r.revokedAt})
		}
	}
}

// leaseLimit returns the time beyond which the target's lease must not be renewed, given
// the runs that may be on the target. A target has one lease for all of its runs, so the
// run that has to end first decides. Runs of a predecessor get no renewal.
func (c *Core) leaseLimit(now time.Duration) time.Duration {
	if len(c.foreignRuns) > 0 {
		return now
	}
	limit := now + c.opts.GatewayLease
	for _, r := range c.runs {
		if r.state != queued {
			limit = min(limit, c.endBy(r))
		}
	}
	return limit
}

// Reachable reports whether the target answers.
func (c *Core) Reachable() bool { return c.reachable }

// Synced reports whether the target has listed its runs since contact to it was lost.
func (c *Core) Synced() bool { return c.synced }

// LimitLease returns the time up to which a call may extend the target's lease: until, or
// what its runs allow if that is earlier. It returns false if the lease must not be
// extended: an unreachable target gets none, so that its runs end.
func (c *Core) LimitLease(now, until time.Duration) (time.Duration, bool) {
	until = min(until, c.leaseLimit(now))
	return until, c.reachable && until > now
}

// LeaseGranted records that a call may extend the target's lease up to until.
func (c *Core) LeaseGranted(until time.Duration) { c.leaseGranted = max(c.leaseGranted, until) }

// endBy returns the time by which a run must have ended, since its task may be started
// elsewhere from then on: RunLimit after its gateway was last in contact, or after the
// run was revoked.
func (c *Core) endBy(r *run) time.Duration {
	limit := r.revokedEndBy
	if until, linked := c.leaseExpiry[r.gateway]; linked {
		limit = until - c.opts.GatewayLease + c.opts.RunLimit
	}
	if r.revoked {
		limit = min(limit, r.revokedEndBy)
	}
	return limit
}

// expireUnanswered reports unanswered attempts on an unreachable target as lost
// once they can no longer begin because the deadline that they carried has passed
// on the target's clock.
func (c *Core) expireUnanswered(now time.Duration) {
	if c.reachable {
		return
	}
	c.loseRuns(now, task.ReasonTargetSilent, func(r *run) bool {
		return r.state == unanswered && now-r.startedAt > c.opts.UnansweredTimeout
	})
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
