package dispatch

import "time"

// speedGain measures how much utility a service's jobs gain from fast targets: the
// difference between the utility of a job on the fastest and on the slowest suitable
// target, both idle, as a moving average weighted by the work of the jobs. It is small
// if all targets are fast enough for the jobs, or none is.
type speedGain struct{ sum, work float64 }

// speedGainWindow is the number of jobs of mean size over which the weight of an older
// one falls to 1/e.
const speedGainWindow = 200

// observe adds a job with the given gain and work.
func (g *speedGain) observe(gain, work float64) {
	const decay = 1 - 1.0/speedGainWindow
	g.sum = g.sum*decay + gain*work
	g.work = g.work*decay + work
}

// mean returns the average gain, from 0 to 1; 0 before the first job.
func (g *speedGain) mean() float64 {
	if g == nil || g.work == 0 {
		return 0
	}
	return g.sum / g.work
}

// observeSpeedGain adds the plan's step to the gain of its service. Avoided targets do
// not count: a target that hangs would make all others look fast.
func (c *Core) observeSpeedGain(p *plan) {
	var fastest, slowest *candidate
	for _, cand := range p.candidates {
		if cand.agent.avoided {
			continue
		}
		if fastest == nil || cand.run < fastest.run {
			fastest = cand
		}
		if slowest == nil || cand.run > slowest.run {
			slowest = cand
		}
	}
	if fastest == nil {
		return
	}
	idle := func(cand *candidate) time.Duration { return cand.run + 2*c.networkDelay(cand.agent) }
	step := &p.job.Steps[p.step]
	work := float64(step.Tasks) * float64(step.Needs.CPUMillis) * p.job.expected[p.step].Seconds()
	g := c.speedGains[p.job.Queue.Service]
	if g == nil {
		g = &speedGain{}
		c.speedGains[p.job.Queue.Service] = g
	}
	g.observe(p.utility(idle(fastest))-p.utility(idle(slowest)), work)
}
