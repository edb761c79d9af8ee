package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// prediction is the expected course of a task on an agent.
type prediction struct {
	agent *agent
	// wait is the time until the task starts and run its run time. finish is the
	// time until its end is known here; it includes the network delay both ways.
	wait, run, finish time.Duration
}

// candidate is an agent that may run tasks of a plan's step, with the load that it
// will have after the tasks that the plan has already placed on it.
type candidate struct {
	agent *agent
	// run is the predicted run time of a task of the step.
	run time.Duration
	// needs are the committed resources, work the committed work in thousandths of a
	// core times milliseconds.
	needs task.Resources
	work  float64
	// tasks is the number of tasks that the plan has placed on the agent.
	tasks int
}

// plan decides on which agents to place the tasks of one step of a job.
type plan struct {
	core       *Core
	now        time.Duration
	job        *job
	step       int
	candidates []*candidate
	// suspect is set if the job is suspected of crashing its targets.
	suspect bool
}

// newPlan returns a plan whose candidates are the agents that could run a task of
// the step.
func (c *Core) newPlan(now time.Duration, j *job, step int) *plan {
	p := &plan{core: c, now: now, job: j, step: step, suspect: c.isSuspect(j)}
	s := &j.Steps[step]
	confined := c.bulkheads.isConfined(j.Queue.Service, j.Queue.Name)
	for _, a := range c.agents {
		if !a.load.Accepting || a.target.Service != j.Queue.Service || now-a.reportedAt > c.opts.SuspectAfter {
			continue
		}
		if !a.hasLabel(s.RequiredLabel) || !s.Needs.Within(a.target.Capacity) {
			continue
		}
		if a.avoided && !c.mayProbe(now, a) {
			continue
		}
		if confined && a.reservedFor != j.Queue.Name {
			continue
		}
		needs, work := a.committed()
		p.candidates = append(p.candidates, &candidate{agent: a, run: p.runTime(a), needs: needs, work: work})
	}
	return p
}

// runTime predicts the run time of a task of the step on an agent's target.
func (p *plan) runTime(a *agent) time.Duration {
	run := float64(p.job.expected[p.step]) * p.core.slowness(p.now, a)
	if !a.hasLabel(p.job.Steps[p.step].DataRack) {
		run *= p.core.opts.RemoteFactor
	}
	return time.Duration(run)
}

// predict predicts the course of a task on a candidate. It assumes that the
// committed tasks free their capacity at a constant rate over their mean remaining
// time.
func (p *plan) predict(cand *candidate) prediction {
	step := &p.job.Steps[p.step]
	capacity := float64(cand.agent.target.Capacity.CPUMillis)
	pr := prediction{agent: cand.agent, run: cand.run}
	over := float64(cand.needs.CPUMillis+step.Needs.CPUMillis) - capacity
	if over > 0 && cand.needs.CPUMillis > 0 {
		meanLeft := cand.work / float64(cand.needs.CPUMillis)
		pr.wait = time.Duration(over / capacity * meanLeft * float64(time.Millisecond))
	}
	pr.finish = pr.wait + pr.run + 2*p.core.networkDelay(cand.agent)
	return pr
}

// bestCandidate returns the candidate of the lowest cost for a task, or nil if none
// may run it.
func (p *plan) bestCandidate(t *taskRecord) (*candidate, prediction) {
	var best *candidate
	var bestPrediction prediction
	var bestCost float64
	for _, cand := range p.candidates {
		if !p.admits(cand, t) {
			continue
		}
		pr := p.predict(cand)
		cost := p.cost(cand, t, pr)
		if best == nil || cost < bestCost {
			best, bestPrediction, bestCost = cand, pr, cost
		}
	}
	return best, bestPrediction
}

// admits reports whether a task may be placed on a candidate: an avoided target gets
// one probe at a time, and a step may limit its tasks on one target.
func (p *plan) admits(cand *candidate, t *taskRecord) bool {
	if p.core.lateStarts.excludes(p.now, t.id, cand.agent.Name) {
		return false
	}
	if cand.agent.avoided && (cand.tasks > 0 || len(cand.agent.placed) > 0 || !p.canAffordProbe(cand)) {
		return false
	}
	limit := p.job.Steps[p.step].MaxPerTarget
	return limit == 0 || cand.tasks+p.countPlaced(cand.agent, t.id.StepID) < limit
}

// canAffordProbe reports whether a task that hangs on the candidate could still
// be recalled and run on another target by the end of the queue's timeout: a probe is
// for short tasks, also where callers wait for long ones.
func (p *plan) canAffordProbe(cand *candidate) bool {
	usual := time.Duration(float64(cand.run) / max(cand.agent.load.Anomaly, 1))
	hung := overdueAge(usual, 1) + recallLatency
	return p.now+hung+2*usual < p.job.startBy
}

// countPlaced returns the number of tasks of a step that are placed on an agent.
func (p *plan) countPlaced(a *agent, step task.StepID) int {
	n := 0
	for id := range a.placed {
		if id.StepID == step {
			n++
		}
	}
	return n
}

// cost rates a candidate for a task; the lowest cost is best. It is the expected
// loss of the job's utility plus small amounts for the time until the end, the use
// of the target and the transfer of the spec. The target of the last failed or
// recalled attempt has an additional cost, and a due probe is favoured.
func (p *plan) cost(cand *candidate, t *taskRecord, pr prediction) float64 {
	cost := 1 - p.utility(pr.finish)
	cost += timeWeight * pr.finish.Seconds()
	used := float64(cand.needs.CPUMillis) / float64(cand.agent.target.Capacity.CPUMillis)
	cost += utilizationWeight*used + speedWeight*p.core.speedGains[p.job.Queue.Service].mean()*used*used
	if t.failedOn == cand.agent.Name {
		cost += failedPenalty
	}
	if reserved := cand.agent.reservedFor; reserved != "" && reserved != p.job.Queue.Name {
		cost += confinedPenalty
	}
	if p.suspect && p.core.hasSuspectOnTrial(p.now, cand.agent, p.job) {
		cost += sharedTrialPenalty
	}
	if cand.agent.avoided {
		// An avoided target is a candidate only when a probe is due.
		cost -= probeBonus
	}
	if cand.agent.Zone != p.core.opts.Zone && cand.tasks == 0 {
		cost += specTransferPenalty
	}
	return cost
}

// utility returns the expected utility of a job whose last task is expected to end
// finish from now: 1 if it is answered within its objective, lateUtility if it is
// answered later but before its deadline, else 0.
func (p *plan) utility(finish time.Duration) float64 {
	objective := onTimeProbability(finish, p.job.objective-p.now)
	deadline := onTimeProbability(finish, p.job.deadline-p.now)
	return (1-lateUtility)*min(objective, deadline) + lateUtility*deadline
}

const (
	// lateUtility is the utility of an answer after the objective.
	lateUtility = 0.2
	// timeWeight is the cost of each second until the end.
	timeWeight = 0.3
	// utilizationWeight is the cost of a target whose capacity is fully committed.
	// Other gateways see the same free capacity: the emptier a target, the more of
	// them can choose it before its next load report without overcommitting it.
	utilizationWeight = 0.2
	// speedWeight is the cost of a target whose capacity is fully committed, for each
	// unit of utility that the service's jobs gain from a fast target. It grows with the
	// square of what is committed: the last places of fast targets are worth most to
	// tasks that would be late on slow ones.
	speedWeight = 1.0
	// failedPenalty is the cost of the target on which an attempt of the task last
	// failed or was recalled.
	failedPenalty = 0.4
	// probeBonus is subtracted from the cost of an avoided target, so that a due
	// probe takes place even while other targets are free.
	probeBonus = 2.0
	// sharedTrialPenalty is the cost, for a suspect job, of a target with another one: if
	// it crashes, both are blamed.
	sharedTrialPenalty = 0.5
	// specTransferPenalty is the cost of sending the job's spec to one more agent in
	// another zone.
	specTransferPenalty = 0.0005
)

// reserve adds a task to a candidate's load.
func (p *plan) reserve(cand *candidate, pr prediction) {
	step := &p.job.Steps[p.step]
	cand.needs = cand.needs.Plus(step.Needs)
	cand.work += float64(step.Needs.CPUMillis) * float64(pr.run.Milliseconds())
	cand.tasks++
}

// hasSpareCapacity reports whether some target that is not avoided could start one
// more task of the step immediately, besides those that the plan has placed on it.
func (p *plan) hasSpareCapacity() bool {
	return slices.ContainsFunc(p.candidates, func(cand *candidate) bool { return !cand.agent.avoided && p.predict(cand).wait == 0 })
}

// choice is the agent that a plan has chosen for a task, with the prediction there.
type choice struct {
	task *taskRecord
	prediction
}

// placeAll chooses a candidate for each task. It stops at the first task that cannot
// be placed.
func (p *plan) placeAll(tasks []*taskRecord) []choice {
	var out []choice
	for _, t := range tasks {
		cand, pr := p.bestCandidate(t)
		if cand == nil {
			break
		}
		p.reserve(cand, pr)
		out = append(out, choice{t, pr})
	}
	return out
}
