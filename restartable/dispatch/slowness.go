package dispatch

import (
	"math"
	"time"
)

// kindKey identifies the targets of one service that report the same kind.
type kindKey struct{ service, kind string }

// slownessStats holds the weighted sums of the logarithms of targets' slowness and
// of their squares, and the sum of the weights.
type slownessStats struct{ sum, squares, weight float64 }

// plus returns s with one more value.
func (s slownessStats) plus(log, weight float64) slownessStats {
	return slownessStats{s.sum + weight*log, s.squares + weight*log*log, s.weight + weight}
}

func (s slownessStats) mean() float64 { return s.sum / s.weight }

// variance returns the variance of the values. It includes the variance of their
// estimation errors.
func (s slownessStats) variance() float64 {
	m := s.mean()
	return max(s.squares/s.weight-m*m, 0)
}

// sampleWeight returns the weight of a target in the statistics of its kind: the
// number of its runs, up to a limit.
func (a *agent) sampleWeight() float64 { return math.Min(float64(a.load.Samples), maxKindSamples) }

func (a *agent) logSlowness() float64 { return math.Log(max(a.load.Slowness, minSlowness)) }

// refreshStats computes the statistics of kinds and services, unless they are
// recent: with hundreds of agents this costs more than placing a job.
func (c *Core) refreshStats(now time.Duration) {
	if c.kindStats != nil && now-c.statsAt < statsInterval {
		return
	}
	c.kindStats, c.serviceStats, c.statsAt = map[kindKey]slownessStats{}, map[string]slownessStats{}, now
	for _, a := range c.agents {
		key := kindKey{a.target.Service, a.target.Kind}
		w := a.sampleWeight()
		a.kindContribution = slownessStats{}.plus(a.logSlowness(), w)
		c.kindStats[key] = c.kindStats[key].plus(a.logSlowness(), w)
		c.serviceStats[key.service] = c.serviceStats[key.service].plus(a.logSlowness(), w)
	}
}

// typicalSlowness returns the weighted geometric mean of the slowness of a service's
// targets. A run shows only the product of a task's run time at slowness 1 and the
// target's slowness, not the two factors, so slowness 1 has to be defined: observeRun
// learns run times as those of a target of typical slowness.
func (c *Core) typicalSlowness(service string) float64 {
	if s := c.serviceStats[service]; s.weight > 0 {
		return math.Exp(s.mean())
	}
	return 1
}

// slowness predicts the ratio of measured to expected run times of the agent's
// target. It is a weighted mean of what the target's own runs show and what the runs
// of other targets of its kind show, times the current anomaly.
func (c *Core) slowness(now time.Duration, a *agent) float64 {
	c.refreshStats(now)
	own, mean := float64(a.load.Samples), a.logSlowness()
	k := c.kindStats[kindKey{a.target.Service, a.target.Kind}]
	// Subtract the agent's contribution as it was when the sums were computed. Its
	// current one includes later runs, which would count as negative runs of the
	// others.
	others := slownessStats{k.sum - a.kindContribution.sum, k.squares - a.kindContribution.squares, k.weight - a.kindContribution.weight}
	if others.weight > 0 {
		w := min(maxKindSamples, runVariance/max(k.variance(), minKindVariance))
		mean = (own*mean + w*others.mean()) / (own + w)
	}
	return math.Exp(mean) * max(a.load.Anomaly, minSlowness)
}

// statsInterval is the interval between computations of the statistics of kinds. A
// target's slowness changes by a few percent in this time.
const statsInterval = 100 * time.Millisecond

const (
	// maxKindSamples is the maximum weight of a kind's statistics in the slowness of a
	// target, in runs of the target. The weight is lower the more the targets of the
	// kind differ, since the label of a kind need not say how fast a target is. It is
	// also the maximum weight of a target in the statistics of its kind.
	maxKindSamples = 60
	// runVariance is the variance that is assumed for the logarithm of the ratio of a
	// run time to the expected one. It is about twice the variance of single runs,
	// since the tasks of a job share the error of their estimate.
	runVariance = 0.2
	// minKindVariance is the variance of a kind at or below which its statistics have
	// the weight maxKindSamples.
	minKindVariance = runVariance / maxKindSamples
	// minSlowness is the lower limit of a reported slowness or anomaly. Without it a
	// target with a few short runs could look as if its tasks took no time.
	minSlowness = 0.05
)

// estimator returns the run time estimator of a queue.
func (c *Core) estimator(queue string) *estimator {
	e := c.estimators[queue]
	if e == nil {
		e = &estimator{}
		c.estimators[queue] = e
	}
	return e
}

// observeRun adds a successful run to a queue's estimator, with its run time converted
// to that on a typical target.
func (c *Core) observeRun(queue string, estimate, run time.Duration, a *agent, now time.Duration, weight float64) {
	slowness := c.slowness(now, a) / c.typicalSlowness(a.target.Service)
	c.estimator(queue).observe(estimate, time.Duration(float64(run)/slowness), weight)
}
