package dispatch

import (
	"math"
	"time"
)

// kindKey names the targets of one service that say to be of one kind.
type kindKey struct{ service, kind string }

// speeds is a weighted sample of the logarithms of slownesses.
type speeds struct{ sum, squares, weight float64 }

func (s speeds) plus(log, weight float64) speeds {
	return speeds{s.sum + weight*log, s.squares + weight*log*log, s.weight + weight}
}

func (s speeds) mean() float64 { return s.sum / s.weight }

// variance includes that of the errors of what is known of each target.
func (s speeds) variance() float64 {
	m := s.mean()
	return max(s.squares/s.weight-m*m, 0)
}

// kindWeight is how much a target's own runs say about its kind.
func (a *agent) kindWeight() float64 { return math.Min(float64(a.load.Samples), kindSamples) }

func (a *agent) logSlowness() float64 { return math.Log(max(a.load.Slowness, slownessMin)) }

// refreshKinds sums up the speeds of kinds, unless that was done a short time
// ago: with hundreds of agents it costs more than a placement.
func (c *Core) refreshKinds(now time.Duration) {
	if c.kinds != nil && now-c.kindsAt < kindsEvery {
		return
	}
	c.kinds, c.services, c.kindsAt = map[kindKey]speeds{}, map[string]speeds{}, now
	for _, a := range c.agents {
		key := kindKey{a.target.Service, a.target.Kind}
		w := a.kindWeight()
		a.ofKind = speeds{}.plus(a.logSlowness(), w)
		c.kinds[key] = c.kinds[key].plus(a.logSlowness(), w)
		c.services[key.service] = c.services[key.service].plus(a.logSlowness(), w)
	}
}

// typical returns the slowness of a typical target of a service. Run times are
// expected for a target of slowness one, and runs show only the product of both:
// that the typical target is the one of slowness one holds by what is learned.
func (c *Core) typical(service string) float64 {
	if s := c.services[service]; s.weight > 0 {
		return math.Exp(s.mean())
	}
	return 1
}

// slowness returns the ratio of measured to expected run times that is to be
// expected of the agent's target. What its own runs show is mixed with what
// those of other targets of its kind show.
func (c *Core) slowness(now time.Duration, a *agent) float64 {
	c.refreshKinds(now)
	own, mean := float64(a.load.Samples), a.logSlowness()
	k := c.kinds[kindKey{a.target.Service, a.target.Kind}]
	// The agent's part is that of the time of the sum: with its present one, runs
	// that ended since would count as negative runs of the others.
	others := speeds{k.sum - a.ofKind.sum, k.squares - a.ofKind.squares, k.weight - a.ofKind.weight}
	if others.weight > 0 {
		w := min(kindSamples, runVariance/max(k.variance(), kindVarianceMin))
		mean = (own*mean + w*others.mean()) / (own + w)
	}
	return math.Exp(mean) * max(a.load.Anomaly, slownessMin)
}

// kindsEvery is the time between two sums of the speeds of kinds. A speed moves
// by some percent in this time.
const kindsEvery = 100 * time.Millisecond

const (
	// kindSamples bounds the number of a target's own runs that count as much as
	// what is known of its kind. That number is lower the more the targets of a
	// kind differ: a label need not name what makes a target fast.
	kindSamples = 60
	// runVariance is the variance of the logarithm of the ratio of a run time to
	// the expected one that a run counts with: about twice that of single runs,
	// since the tasks of a job share the error of their estimate.
	runVariance = 0.2
	// kindVarianceMin is the variance at which a kind counts for kindSamples.
	kindVarianceMin = runVariance / kindSamples
	// slownessMin keeps a target that ended a few short runs from looking as if
	// it needed no time.
	slownessMin = 0.05
)

func (c *Core) estimator(queue string) *estimator {
	e := c.estimators[queue]
	if e == nil {
		e = &estimator{}
		c.estimators[queue] = e
	}
	return e
}

// learn takes in the time of a run that was done, as that of a typical target.
func (c *Core) learn(queue string, estimate, run time.Duration, a *agent, now time.Duration, weight float64) {
	slowness := c.slowness(now, a) / c.typical(a.target.Service)
	c.estimator(queue).observe(estimate, time.Duration(float64(run)/slowness), weight)
}
