package dispatch

import (
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
		p.slots = append(p.slots, &slot{agent: a, needs: needs, work: work})
	}
	return p
}

// predict estimates when a task would end on a slot. Runs that are in the way
// are taken to end evenly over the time that they still need on average.
func (p *plan) predict(s *slot) prediction {
	step := &p.job.Steps[p.step]
	capacity := float64(s.agent.target.Capacity.CPUMillis)
	pr := prediction{agent: s.agent, run: s.agent.runTime(step, p.core.opts.RemoteFactor)}
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
	if s.agent.avoided && (s.tasks > 0 || len(s.agent.placed) > 0) {
		return false
	}
	limit := p.job.Steps[p.step].MaxPerTarget
	return limit == 0 || s.tasks+p.onAgent(s.agent, t.id.StepID) < limit
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

// cost orders the slots of a task, in seconds. The end of the run counts most;
// among targets that end it well before the objective, the one that costs least
// of the fast capacity and of the network is taken.
func (p *plan) cost(s *slot, t *taskRecord, pr prediction) float64 {
	cost := pr.finish.Seconds()
	if t.failedOn == s.agent.Name {
		cost += failedPenalty.Seconds()
	}
	if s.agent.avoided {
		cost += avoidedPenalty.Seconds()
	}
	if s.agent.Zone != p.core.opts.Zone && s.tasks == 0 {
		cost += newAgentPenalty.Seconds()
	}
	return cost
}

const (
	// failedPenalty sends a task that has failed to another target, unless that
	// would cost more than this.
	failedPenalty = 300 * time.Millisecond
	// avoidedPenalty lets an avoided target be probed only when the others are
	// loaded.
	avoidedPenalty = 20 * time.Millisecond
	// newAgentPenalty weighs the bytes of one more copy of the job's spec.
	newAgentPenalty = time.Millisecond
)

func (p *plan) take(s *slot, pr prediction) {
	step := &p.job.Steps[p.step]
	s.needs = s.needs.Plus(step.Needs)
	s.work += float64(step.Needs.CPUMillis) * float64(pr.run.Milliseconds())
	s.tasks++
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
