package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// AgentInfo describes an agent and its target.
type AgentInfo struct {
	// Link names this connection of the agent; each connection has its own.
	Link string
	Name string
	Zone string
}

// TargetInfo describes an agent's target.
type TargetInfo struct {
	Target   string
	Service  string
	Kind     string
	Labels   []string
	Capacity task.Resources
}

// Load is an agent's load as it reported it.
type Load struct {
	Accepting bool
	Committed task.Resources
	Backlog   time.Duration
	// Slowness is the usual ratio of measured to expected run times, learned
	// from Samples runs, and Anomaly the present ratio to the usual one.
	Slowness, Anomaly float64
	Samples           int
	Failed            float64
	// OrdersSeen is the highest number of an order that the load includes.
	OrdersSeen uint64
}

// sentOrder is an order that the agent's last load does not include.
type sentOrder struct {
	number uint64
	needs  task.Resources
	// work is in core-milliseconds.
	work float64
}

// agent is the gateway's view of one agent. Core owns it.
type agent struct {
	AgentInfo
	target   TargetInfo
	load     Load
	heard    time.Duration
	orders   uint64
	unseen   []sentOrder
	placed   map[task.ID]*taskRecord
	jobs     map[string]*job
	probedAt time.Duration
	avoided  bool
	// probesDone counts the runs that were done since the target is avoided.
	probesDone int
	// ofKind is its part in the last sum of its kind.
	ofKind kindSpeed
}

func (a *agent) report(now time.Duration, l Load) {
	a.heard, a.load = now, l
	a.unseen = slices.DeleteFunc(a.unseen, func(o sentOrder) bool { return o.number <= l.OrdersSeen })
}

// committed is the reported load with the orders that it does not include.
func (a *agent) committed() (task.Resources, float64) {
	sum := a.load.Committed
	work := a.load.Backlog.Seconds() * 1000 * float64(a.target.Capacity.CPUMillis)
	for _, o := range a.unseen {
		sum = sum.Plus(o.needs)
		work += o.work
	}
	return sum, work
}

func (a *agent) hasLabel(label string) bool {
	return label == "" || slices.Contains(a.target.Labels, label)
}

// kindKey names the targets of one service that are about as fast.
type kindKey struct{ service, kind string }

// kindSpeed is the weighted sum of the logarithms of slownesses of a kind.
type kindSpeed struct{ sum, weight float64 }

// kindWeight is how much a target's own runs say about its kind.
func (a *agent) kindWeight() float64 { return math.Min(float64(a.load.Samples), kindSamples) }

func (a *agent) logSlowness() float64 { return math.Log(max(a.load.Slowness, slownessMin)) }

// refreshKinds sums up the speeds of kinds, unless that was done a short time
// ago: with hundreds of agents it costs more than a placement.
func (c *Core) refreshKinds(now time.Duration) {
	if c.kinds != nil && now-c.kindsAt < kindsEvery {
		return
	}
	c.kinds, c.kindsAt = map[kindKey]kindSpeed{}, now
	for _, a := range c.agents {
		key := kindKey{a.target.Service, a.target.Kind}
		k := c.kinds[key]
		w := a.kindWeight()
		a.ofKind = kindSpeed{w * a.logSlowness(), w}
		c.kinds[key] = kindSpeed{k.sum + a.ofKind.sum, k.weight + w}
	}
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
	if others := k.weight - a.ofKind.weight; others > 0 {
		ofOthers := (k.sum - a.ofKind.sum) / others
		mean = (own*mean + kindSamples*ofOthers) / (own + kindSamples)
	}
	return math.Exp(mean) * max(a.load.Anomaly, slownessMin)
}

// kindsEvery is the time between two sums of the speeds of kinds. A speed moves
// by some percent in this time.
const kindsEvery = 100 * time.Millisecond

const (
	// kindSamples is the number of a target's own runs that count as much as
	// what is known of its kind.
	kindSamples = 60
	// slownessMin keeps a target that ended a few short runs from looking as if
	// it needed no time.
	slownessMin = 0.05
)
