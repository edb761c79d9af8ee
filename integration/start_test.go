package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

// duplicateStartFault is a fault that could make a task start twice.
type duplicateStartFault struct {
	name string
	// reachable lists the gateways that callers use; nil means all.
	reachable []int
	// inject injects the fault, ends it and waits for the recovery.
	inject func(t *testing.T, c *harness.Cluster)
}

var duplicateStartFaults = []duplicateStartFault{
	{"resubmission at the same instant", nil, func(*testing.T, *harness.Cluster) { time.Sleep(faultDuration) }},
	{"owner killed", []int{1, 2}, func(t *testing.T, c *harness.Cluster) {
		c.Gateways[0].Kill()
		check(t, c.AwaitReady())
	}},
	{"owner paused past takeover", []int{1, 2}, func(t *testing.T, c *harness.Cluster) {
		c.Gateways[0].Pause()
		check(t, c.AwaitReady(0))
		time.Sleep(faultDuration)
		c.Gateways[0].Resume()
		check(t, c.AwaitReady())
	}},
	{"owner cut from half the agents", nil, func(t *testing.T, c *harness.Cluster) {
		c.Net.Cut("gateway-0", "agent-0")
		c.Net.Cut("gateway-0", "agent-1")
		time.Sleep(2 * faultDuration)
		c.Net.HealAll()
		check(t, c.AwaitReady())
	}},
	{"owner cut from log and gateways", nil, func(t *testing.T, c *harness.Cluster) {
		for _, other := range []string{"log", "gateway-1", "gateway-2"} {
			c.Net.Cut("gateway-0", other)
		}
		check(t, c.AwaitReady(0))
		time.Sleep(faultDuration)
		c.Net.HealAll()
		check(t, c.AwaitReady())
	}},
	{"agent killed and restarted", nil, func(t *testing.T, c *harness.Cluster) {
		c.Agents[0].Kill()
		time.Sleep(time.Second)
		check(t, c.Agents[0].Start())
		check(t, c.AwaitReady())
	}},
	// The relay delivers the frames of the killed owner after the agents have
	// accepted the new owner's fence.
	{"starts delayed past the takeover", []int{1, 2}, func(t *testing.T, c *harness.Cluster) {
		for _, a := range c.Agents {
			c.Net.Delay("gateway-0", a.Name, 3*time.Second)
		}
		time.Sleep(time.Second)
		c.Gateways[0].Kill()
		check(t, c.AwaitReady())
		time.Sleep(faultDuration)
	}},
}

// Guarantees G1 and G5: a task starts at most once. Guards against a second start
// when a job is submitted to several gateways concurrently and again after a
// broken connection, while the owner of its key changes, is paused or is
// partitioned from other processes.
func TestTasksStartAtMostOnce(t *testing.T) {
	for _, f := range duplicateStartFaults {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/repeatable=%t", f.name, repeatable), func(t *testing.T) {
				t.Parallel()
				c := harness.Start(t, harness.Options{Fast: true})
				stop := c.StartLoad(harness.Load{
					Callers: 12, Copies: 3, Resubmit: 5, Job: smallJobs(repeatable), Reachable: f.reachable,
				})
				time.Sleep(500 * time.Millisecond)
				f.inject(t, c)
				time.Sleep(500 * time.Millisecond)
				stop()
				awaitJobsComplete(t, c)
				c.Judge()
			})
		}
	}
}
