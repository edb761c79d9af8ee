package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

func (c *Core) hop(a *agent) time.Duration {
	if a.Zone == c.opts.Zone {
		return c.opts.NearHop
	}
	return c.opts.FarHop
}

// AgentUp adds an agent's link.
func (c *Core) AgentUp(now time.Duration, info AgentInfo) {
	a := &agent{AgentInfo: info, heard: now, placed: map[task.ID]*taskRecord{}, jobs: map[string]*job{}}
	c.agents = append(c.agents, a)
	c.byLink[info.Link] = a
}

// AgentTarget takes in what an agent says of its target.
func (c *Core) AgentTarget(link string, t TargetInfo) {
	if a := c.byLink[link]; a != nil {
		a.target = t
	}
}

// AgentDown removes a link. What was placed there runs on for no longer than
// the gateway's lease at the agent; a caller that submits the job again is told
// to do so only by a broken answer, which it follows up after that time.
func (c *Core) AgentDown(now time.Duration, link string) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	delete(c.byLink, link)
	c.agents = slices.DeleteFunc(c.agents, func(o *agent) bool { return o == a })
	for _, j := range sortedJobs(a.jobs) {
		if j.hasPlacedOn(a) {
			c.giveUp(now, j, CauseAgentLost)
		}
	}
}

func (j *job) hasPlacedOn(a *agent) bool {
	for _, t := range a.placed {
		if t.id.Job == j.ID {
			return true
		}
	}
	return false
}

// Report takes in an agent's load and the ends of attempts.
func (c *Core) Report(now time.Duration, link string, load *Load, ends []AttemptEvent) {
	a := c.byLink[link]
	if a == nil {
		return
	}
	a.heard = now
	if load != nil {
		a.report(now, *load)
		c.judge(a)
	}
	touched := map[string]*job{}
	for _, e := range ends {
		if j := c.end(now, a, e); j != nil {
			touched[j.ID] = j
		}
	}
	for _, j := range sortedJobs(touched) {
		c.proceed(now, j)
	}
}

const (
	// failedShareAvoid and failedShareTrust are the shares of failed runs at
	// which a target is avoided and may be trusted again.
	failedShareAvoid = 0.5
	failedShareTrust = 0.25
	// anomalyAvoid and anomalyTrust are the ratios of the present to the usual
	// run times at which a target is avoided and may be trusted again.
	anomalyAvoid = 2.5
	anomalyTrust = 1.5
	// avoidedShareMax is the share of a service's targets that may be avoided at
	// a time. If more look bad, the cause is not a single target.
	avoidedShareMax = 0.5
)

// judge decides whether an agent's target is avoided. An avoided target gets
// single probes, and is trusted again after one of them is done.
func (c *Core) judge(a *agent) {
	bad := a.load.FailedShare > failedShareAvoid || a.load.Anomaly > anomalyAvoid
	good := a.load.FailedShare < failedShareTrust && a.load.Anomaly < anomalyTrust
	switch {
	case !a.avoided && bad && c.mayAvoid(a.target.Service):
		a.avoided, a.probesDone = true, 0
	case a.avoided && good && a.probesDone > 0:
		a.avoided = false
	default:
		return
	}
	c.out.Changes = append(c.out.Changes, Change{Agent: a.Name, Avoided: a.avoided, Failed: a.load.FailedShare, Anomaly: a.load.Anomaly})
}

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
	return float64(avoided+1) <= avoidedShareMax*float64(all)
}

func (c *Core) mayProbe(now time.Duration, a *agent) bool {
	return now-a.probedAt >= c.opts.ProbeEvery
}
