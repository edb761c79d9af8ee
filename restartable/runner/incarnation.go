package runner

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

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

// Confirmed reports whether the target has confirmed the incarnation that its
// heartbeats describe.
func (c *Core) Confirmed() bool { return c.confirmed }

// Target returns the target of the newest heartbeat.
func (c *Core) Target() (Target, bool) { return c.target, c.hasTarget }

// FullTarget returns the target with the capacity that it has when it has not shrunk. It
// tells whether a later incarnation is of the same size.
func (c *Core) FullTarget() Target {
	t := c.target
	t.Capacity = c.fullCapacity
	return t
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

// TargetLeft records that the target has deregistered.
func (c *Core) TargetLeft(now time.Duration, id string) {
	if c.hasTarget && c.target.ID == id {
		c.target.Draining = true
		c.processQueue(now)
	}
}
