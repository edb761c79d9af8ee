package dispatch

import (
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
	FailedShare       float64
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
	ofKind speeds
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
