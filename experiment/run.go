package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/virtualtime"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// Maker returns a new instance of a policy for one gateway.
type Maker func(seed uint64) scheduler.Policy

// Contender is a policy that takes part in an experiment.
type Contender struct {
	Name string
	New  Maker
}

// Case is one experiment.
type Case struct {
	Name     string
	Fleet    Fleet
	Load     Workload
	Gateways int
	// CancelEvery cancels half of the jobs in progress at this interval.
	CancelEvery time.Duration
	// WarmUp is the start of the run whose jobs are not reported.
	WarmUp time.Duration
}

// run is one policy in one case.
type run struct {
	virtualtime.Clock
	agents []*agent
	byID   map[scheduler.TargetID]*agent
	gates  []*gate
	stats  *stats
	probes map[scheduler.TaskRef]bool
}

// drainTime is the time after the last arrival until which answers count.
const drainTime = 2 * time.Minute

// Run drives the policy through the case and returns what was measured.
func (c Case) Run(p Contender, jobs []JobSpec, ref Reference, seed uint64) Result {
	r := &run{byID: map[scheduler.TargetID]*agent{}, stats: newStats(c, jobs, ref), probes: map[scheduler.TaskRef]bool{}}
	for i, n := range c.Fleet {
		a := &agent{Node: n, run: r, index: i, entries: map[scheduler.TaskRef]*entry{}}
		r.agents = append(r.agents, a)
		r.byID[n.ID] = a
		for _, f := range n.Faults {
			if f.Lost {
				r.After(f.At, a.lose)
			}
		}
	}
	for i := range c.Gateways {
		r.gates = append(r.gates, &gate{run: r, zone: i % zones, policy: p.New(seed + uint64(i)*7919), jobs: map[scheduler.JobHandle]*live{}})
	}
	for _, g := range r.gates {
		g.setUp()
	}
	rng := rand.New(rand.NewPCG(seed, 0x9a7e))
	for i := range jobs {
		g := r.gates[rng.IntN(len(r.gates))]
		r.After(jobs[i].At, func() { g.submit(i, &jobs[i]) })
	}
	if c.CancelEvery > 0 {
		r.cancelWave(c, rng)
	}
	r.RunUntil(c.Load.Duration + drainTime)
	return r.stats.result(p.Name)
}

// cancelWave cancels half of the jobs in progress, again and again.
func (r *run) cancelWave(c Case, rng *rand.Rand) {
	r.After(c.CancelEvery, func() {
		for _, g := range r.gates {
			var list []scheduler.JobHandle
			for h := range g.jobs {
				list = append(list, h)
			}
			slices.Sort(list)
			rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			g.cancel(list[:len(list)/2], model.ReasonCancelled)
			g.decide()
		}
		r.cancelWave(c, rng)
	})
}
