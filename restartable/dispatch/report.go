package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// networkDelay returns the one-way network delay to an agent.
func (c *Core) networkDelay(a *agent) time.Duration {
	if a.Zone == c.opts.Zone {
		return c.opts.SameZoneDelay
	}
	return c.opts.CrossZoneDelay
}

// AgentUp adds an agent's link.
func (c *Core) AgentUp(now time.Duration, info AgentInfo) {
	a := &agent{AgentInfo: info, reportedAt: now, placed: map[task.ID]*taskRecord{}, jobs: map[string]*job{}, givenUp: givenUpAttempts{}}
	c.agents = append(c.agents, a)
	c.byLink[info.Link] = a
}

// AgentTarget sets the description of an agent's target.
func (c *Core) AgentTarget(link string, t TargetInfo) {
	if a := c.byLink[link]; a != nil {
		a.target = t
	}
}

// AgentDown removes an agent's link and aborts the jobs that have tasks on it.
// These tasks end 1.2 s after the agent's last contact at the latest, before the callers
// of the jobs, who get an error, submit them again.
func (c *Core) AgentDown(now time.Duration, link string) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	delete(c.byLink, link)
	c.agents = slices.DeleteFunc(c.agents, func(o *agent) bool { return o == a })
	c.doubtPlaced(now, a)
	c.doubtLateStarts(now, a.Name)
	for _, j := range sortedJobs(a.jobs) {
		if j.hasPlacedOn(a) {
			c.abort(now, j, CauseAgentLost)
		}
	}
}

// hasPlacedOn reports whether any task of the job is on an agent.
func (j *job) hasPlacedOn(a *agent) bool {
	for _, t := range a.placed {
		if t.id.Job == j.ID {
			return true
		}
	}
	return false
}

// Report applies a report of an agent: its load, unless nil, and the events of
// attempts.
func (c *Core) Report(now time.Duration, link string, load *Load, attemptEvents []AttemptEvent) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	a.reportedAt = now
	if load != nil {
		c.fencing.reported(now, a.Name, a.Process, load.FencingToken)
		load.Fenced = load.Fenced && load.FencingToken >= c.fencing.floor(a.Name)
		a.applyLoad(now, *load)
		c.lateStarts.told(now, a.Name, a.late)
		c.reportDoubts(now, a, load)
		c.updateAvoidance(a)
	}
	affected := map[string]*job{}
	for _, e := range attemptEvents {
		if j := c.applyEvent(now, a, e); j != nil {
			affected[j.ID] = j
		}
	}
	for _, j := range sortedJobs(affected) {
		c.advance(now, j)
	}
}

const (
	// failedShareAvoid is the share of failed runs above which a target is avoided,
	// failedShareTrust the share below which it may be trusted again.
	failedShareAvoid = 0.5
	failedShareTrust = 0.25
	// anomalyAvoid is the ratio of recent to usual run times above which a target is
	// avoided, anomalyTrust the ratio below which it may be trusted again.
	anomalyAvoid = 2.5
	anomalyTrust = 1.5
	// maxAvoidedShare is the maximum share of a service's targets that are avoided at
	// the same time. If more of them look bad, the cause is not in the targets.
	maxAvoidedShare = 0.5
)

// updateAvoidance decides from the load of an agent whether its target is avoided. An
// avoided target gets one probe at a time. It is trusted again when its load looks
// good and a run has succeeded since it became avoided.
func (c *Core) updateAvoidance(a *agent) {
	bad := a.load.FailedShare > failedShareAvoid || a.load.Anomaly > anomalyAvoid
	good := a.load.FailedShare < failedShareTrust && a.load.Anomaly < anomalyTrust
	switch {
	case !a.avoided && bad && c.mayAvoid(a.target.Service):
		a.avoided, a.doneSinceAvoided = true, 0
	case a.avoided && good && a.doneSinceAvoided > 0:
		a.avoided = false
	default:
		return
	}
	c.out.AvoidanceChanges = append(c.out.AvoidanceChanges, AvoidanceChange{Agent: a.Name, Avoided: a.avoided, FailedShare: a.load.FailedShare, Anomaly: a.load.Anomaly})
}

// mayAvoid reports whether one more target of a service may be avoided.
func (c *Core) mayAvoid(service string) bool {
	all, avoided := 0, 0
	for _, a := range c.agents {
		if a.target.Service == service {
			all++
			if a.avoided {
				avoided++
			}
		}
	}
	return float64(avoided+1) <= maxAvoidedShare*float64(all)
}

// mayProbe reports whether an avoided target is due for a probe.
func (c *Core) mayProbe(now time.Duration, a *agent) bool {
	return now-a.lastPlacedAt >= c.opts.ProbeInterval
}
