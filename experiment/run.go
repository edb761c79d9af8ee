package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/virtualtime"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
)

// PolicyFactory creates the instance of a policy for one gateway.
type PolicyFactory func(seed uint64) scheduler.Policy

// NamedPolicy is a policy to measure.
type NamedPolicy struct {
	Name string
	New  PolicyFactory
}

// Case is a combination of fleet, faults and load in which policies are compared.
type Case struct {
	Name     string
	Fleet    Fleet
	Load     Workload
	Gateways int
	// CancelEvery is the interval at which half of the jobs in progress are
	// cancelled; 0 cancels none.
	CancelEvery time.Duration
	// WarmUp is the first part of the run; jobs that arrive in it count neither as
	// completed nor as failed.
	WarmUp time.Duration
}

// simulation runs one policy in one case.
type simulation struct {
	virtualtime.Clock
	agents   []*agent
	byID     map[scheduler.TargetID]*agent
	gateways []*gateway
	stats    *stats
	// probeTasks holds the tasks that a policy assigned as a probe of an ejected
	// target.
	probeTasks map[scheduler.TaskRef]bool
}

// drainTime is how long after the last arrival completed jobs still count.
const drainTime = 2 * time.Minute

// Run simulates the case with the policy and returns the measurements. The same
// arguments give the same result.
func (c Case) Run(p NamedPolicy, jobs []JobSpec, ref Reference, seed uint64) Result {
	s := &simulation{byID: map[scheduler.TargetID]*agent{}, stats: newStats(c, jobs, ref), probeTasks: map[scheduler.TaskRef]bool{}}
	for i, t := range c.Fleet {
		a := &agent{Target: t, sim: s, index: i, tasks: map[scheduler.TaskRef]*agentTask{}}
		s.agents = append(s.agents, a)
		s.byID[t.ID] = a
		for _, f := range t.Faults {
			if f.Lost {
				s.After(f.At, a.markLost)
			}
		}
	}
	for i := range c.Gateways {
		s.gateways = append(s.gateways, &gateway{sim: s, zone: i % zoneCount, policy: p.New(seed + uint64(i)*7919), jobs: map[scheduler.JobHandle]*activeJob{}})
	}
	for _, g := range s.gateways {
		g.setUp()
	}
	rng := rand.New(rand.NewPCG(seed, 0x9a7e))
	for i := range jobs {
		g := s.gateways[rng.IntN(len(s.gateways))]
		s.After(jobs[i].At, func() { g.submit(i, &jobs[i]) })
	}
	if c.CancelEvery > 0 {
		s.scheduleCancelWave(c, rng)
	}
	s.RunUntil(c.Load.Duration + drainTime)
	return s.stats.result(p.Name)
}

// scheduleCancelWave cancels a random half of the jobs in progress at each
// gateway after CancelEvery and then schedules the next such wave.
func (s *simulation) scheduleCancelWave(c Case, rng *rand.Rand) {
	s.After(c.CancelEvery, func() {
		for _, g := range s.gateways {
			var handles []scheduler.JobHandle
			for h := range g.jobs {
				handles = append(handles, h)
			}
			slices.Sort(handles)
			rng.Shuffle(len(handles), func(i, j int) { handles[i], handles[j] = handles[j], handles[i] })
			g.cancel(handles[:len(handles)/2], model.ReasonCancelled)
			g.decide()
		}
		s.scheduleCancelWave(c, rng)
	})
}
