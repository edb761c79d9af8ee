package integration

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

// G7: planned stops under load cut no connection and fail no job. Callers reach
// ready gateways only, as behind a load balancer; a connection that is refused
// before anything was sent may go to another gateway.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	for _, row := range []struct {
		name string
		stop func(t *testing.T, c *harness.Cluster)
	}{
		{"gateway", func(t *testing.T, c *harness.Cluster) { check(t, c.Gateways[0].Terminate()) }},
		{"agent", func(t *testing.T, c *harness.Cluster) { check(t, c.Agents[0].Terminate()) }},
		{"target", func(t *testing.T, c *harness.Cluster) { check(t, c.TerminateTarget(0)) }},
		{"rolling restart of the gateways", func(t *testing.T, c *harness.Cluster) {
			for _, g := range c.Gateways {
				check(t, g.Terminate())
				check(t, g.Start())
				check(t, c.AwaitReady())
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := harness.Start(t, harness.Options{AdjustGateway: func(s *settings.Gateway) {
				// The balancer of a busy machine needs time to see readiness.
				s.Shutdown.Notice = 2000
			}})
			longJob := harness.NewJob(400, taskTime)
			long := c.Submitted(0, longJob)
			end := c.StartLoad(harness.Load{Callers: 8, Copies: 2, Resubmit: 3, Balanced: true, Job: smallJobs(true)})
			c.AwaitDone(longJob, 20)
			row.stop(t, c)
			time.Sleep(time.Second)
			end()
			<-long
			for _, r := range c.Replies() {
				if !r.Complete() && !r.Refused {
					t.Errorf("interrupted: %v", r)
				}
			}
			c.Judge()
		})
	}
}
