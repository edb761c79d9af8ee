package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
)

const (
	faultInjectionTime = 20 * time.Second
	// faultPauseMax bounds the time between two faults.
	faultPauseMax = 1500 * time.Millisecond
)

// Guarantees G1 to G5: tasks start at most once, and answers are complete, belong
// to their request and state correctly what ran. Guards against violations under
// combinations and orders of faults that no other test covers.
func TestRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d", seed)
			r := rand.New(rand.NewPCG(seed, 0))
			c := harness.Start(t, harness.Options{Fast: true})
			stop := c.StartLoad(harness.Load{Callers: 10, Copies: 2, Resubmit: 4, Job: func() harness.Job {
				j := smallJobs(rand.IntN(2) == 0)()
				j.Timeout = 10 * time.Second
				return j
			}})
			for end := time.Now().Add(faultInjectionTime); time.Now().Before(end); {
				undo := injectRandomFault(t, c, r)
				time.Sleep(time.Duration(r.Int64N(int64(faultPauseMax))))
				if undo != nil && r.IntN(3) > 0 {
					undo()
				}
				if r.IntN(4) == 0 {
					endFaults(t, c)
				}
			}
			endFaults(t, c)
			check(t, c.AwaitReady())
			stop()
			awaitJobsComplete(t, c)
			c.Judge()
		})
	}
}

// injectRandomFault injects one fault. It returns the function that ends the fault, or
// nil if only endFaults ends it.
func injectRandomFault(t *testing.T, c *harness.Cluster, r *rand.Rand) (undo func()) {
	pick := func(l []*harness.Process) *harness.Process { return l[r.IntN(len(l))] }
	gateway, agent := pick(c.Gateways), pick(c.Agents)
	switch kind := r.IntN(9); kind {
	case 0, 1:
		p := []*harness.Process{gateway, agent}[kind]
		p.Kill()
		return func() { check(t, p.Start()) }
	case 2, 3:
		p := []*harness.Process{gateway, agent}[kind-2]
		p.Pause()
		return p.Resume
	case 4:
		c.Net.Cut(gateway.Name, "log")
	case 5:
		c.Net.Cut(gateway.Name, agent.Name)
	case 6:
		other := pick(c.Gateways)
		c.Net.Cut(gateway.Name, other.Name)
	case 7:
		c.SetLogFaults(logserver.FaultsBody{Outage: r.IntN(2) == 0, LoseReplies: r.IntN(3), LoseRequests: r.IntN(2)})
	case 8:
		c.Net.Delay(gateway.Name, agent.Name, time.Duration(r.Int64N(int64(2*time.Second))))
		c.Net.Break(gateway.Name, agent.Name)
	}
	return nil
}

// endFaults ends all faults and restarts the processes that were killed.
func endFaults(t *testing.T, c *harness.Cluster) {
	c.Net.HealAll()
	c.SetLogFaults(logserver.FaultsBody{})
	for _, p := range append(append([]*harness.Process{}, c.Gateways...), c.Agents...) {
		p.Resume()
		if p.PID() == 0 {
			check(t, p.Start())
		}
	}
}
