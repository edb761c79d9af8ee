package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// prediction is what is expected of a task on an agent.
type prediction struct {
	agent *agent
	// wait, run and finish are durations from now; finish includes the way there
	// and back.
	wait, run, finish time.Duration
}

// slot is an agent with what a plan has already put on it.
type slot struct {
	agent *agent
	// run is how long a task of the step is expected to run there.
	run   time.Duration
	needs task.Resources
	work  float64
	tasks int
}

// plan places the tasks of one step of a job.
type plan struct {
	core  *Core
	now   time.Duration
	job   *job
	step  int
	slots []*slot
}

func (c *Core) newPlan(now time.Duration, j *job, step int) *plan {
	p := &plan{core: c, now: now, job: j, step: step}
	s := &j.Steps[step]
	for _, a := range c.agents {
		if !a.load.Accepting || a.target.Service != j.Queue.Service || now-a.heard > c.opts.SuspectAfter {
			continue
		}
		if !a.hasLabel(s.RequiredLabel) || !s.Needs.Within(a.target.Capacity) {
			continue
		}
		if a.avoided && !c.mayProbe(now, a) {
			continue
		}
		needs, work := a.committed()
		p.slots = append(p.slots, &slot{agent: a, run: p.runTime(a), needs: needs, work: work})
	}
	return p
}

func (p *plan) runTime(a *agent) time.Duration {
	run := float64(p.job.expected[p.step]) * p.core.slowness(p.now, a)
	if !a.hasLabel(p.job.Steps[p.step].DataRack) {
		run *= p.core.opts.RemoteFactor
	}
	return time.Duration(run)
}

// predict estimates when a task would end on a slot. Runs that are in the way
// are taken to end evenly over the time that they still need on average.
func (p *plan) predict(s *slot) prediction {
	step := &p.job.Steps[p.step]
	capacity := float64(s.agent.target.Capacity.CPUMillis)
	pr := prediction{agent: s.agent, run: s.run}
	over := float64(s.needs.CPUMillis+step.Needs.CPUMillis) - capacity
	if over > 0 && s.needs.CPUMillis > 0 {
		meanLeft := s.work / float64(s.needs.CPUMillis)
		pr.wait = time.Duration(over / capacity * meanLeft * float64(time.Millisecond))
	}
	pr.finish = pr.wait + pr.run + 2*p.core.hop(s.agent)
	return pr
}

// choose returns the best slot for a task, or nil if there is none.
func (p *plan) choose(t *taskRecord) (*slot, prediction) {
	var best *slot
	var bestPrediction prediction
	var bestCost float64
	for _, s := range p.slots {
		if !p.admits(s, t) {
			continue
		}
		pr := p.predict(s)
		cost := p.cost(s, t, pr)
		if best == nil || cost < bestCost {
			best, bestPrediction, bestCost = s, pr, cost
		}
	}
	return best, bestPrediction
}

func (p *plan) admits(s *slot, t *taskRecord) bool {
	if s.agent.avoided && (s.tasks > 0 || len(s.agent.placed) > 0 || !p.affordsProbe(s)) {
		return false
	}
	limit := p.job.Steps[p.step].MaxPerTarget
	return limit == 0 || s.tasks+p.onAgent(s.agent, t.id.StepID) < limit
}

// affordsProbe tells whether a task that hangs on the slot could still be
// recalled and run elsewhere in time.
func (p *plan) affordsProbe(s *slot) bool {
	usual := time.Duration(float64(s.run) / max(s.agent.load.Anomaly, 1))
	hung := time.Duration(overdueFactor*float64(usual)) + overdueSlack + recallTime
	return p.now+hung+2*usual < p.job.deadline
}

func (p *plan) onAgent(a *agent, step task.StepID) int {
	n := 0
	for id := range a.placed {
		if id.StepID == step {
			n++
		}
	}
	return n
}

// cost orders the slots of a task: the expected loss of the job's worth, and
// a little for the time, the capacity and the bytes that it takes.
func (p *plan) cost(s *slot, t *taskRecord, pr prediction) float64 {
	cost := 1 - p.worth(pr.finish)
	cost += timeWeight * pr.finish.Seconds()
	cost += crowdingWeight * float64(s.needs.CPUMillis) / float64(s.agent.target.Capacity.CPUMillis)
	if t.failedOn == s.agent.Name {
		cost += failedPenalty
	}
	if s.agent.avoided {
		// Admitted only when a probe is due.
		cost -= probePreference
	}
	if s.agent.Zone != p.core.opts.Zone && s.tasks == 0 {
		cost += newAgentPenalty
	}
	return cost
}

// worth is the expected share of a job's worth if its last task ends after a
// time from now.
func (p *plan) worth(finish time.Duration) float64 {
	objective := onTime(finish, p.job.objective-p.now)
	deadline := onTime(finish, p.job.deadline-p.now)
	return (1-lateShare)*min(objective, deadline) + lateShare*deadline
}

const (
	// lateShare is the worth of an answer after the objective.
	lateShare = 0.2
	// timeWeight is the cost of a second.
	timeWeight = 0.3
	// crowdingWeight is the cost of a target that is full but for this task. Other
	// gateways see the same free places: the emptier a target, the more of them can
	// choose it before the next load arrives and still find a place.
	crowdingWeight = 0.2
	// failedPenalty sends a task that has failed to another target.
	failedPenalty = 0.4
	// probePreference makes sure that an avoided target is probed even while the
	// others are free.
	probePreference = 2.0
	// newAgentPenalty weighs the bytes of one more copy of the job's spec.
	newAgentPenalty = 0.0005
)

func (p *plan) take(s *slot, pr prediction) {
	step := &p.job.Steps[p.step]
	s.needs = s.needs.Plus(step.Needs)
	s.work += float64(step.Needs.CPUMillis) * float64(pr.run.Milliseconds())
	s.tasks++
}

// spare tells whether a target that the plan has not filled could begin a task
// of the step at once.
func (p *plan) spare() bool {
	return slices.ContainsFunc(p.slots, func(s *slot) bool { return !s.agent.avoided && p.predict(s).wait == 0 })
}

// choice is one task with the slot that a plan has chosen for it.
type choice struct {
	task *taskRecord
	prediction
}

// placeAll chooses a slot for each task. It returns fewer choices if some task
// cannot be placed.
func (p *plan) placeAll(tasks []*taskRecord) []choice {
	var out []choice
	for _, t := range tasks {
		s, pr := p.choose(t)
		if s == nil {
			break
		}
		p.take(s, pr)
		out = append(out, choice{t, pr})
	}
	return out
}
