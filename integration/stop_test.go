package integration

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

// Guarantee G7: a planned stop under load breaks no connection and fails no job.
// As behind a load balancer, callers send requests to ready gateways only. They may
// turn to another gateway if a connection is refused, as nothing was sent on it.
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
				// On a busy machine, the load balancer takes longer to notice that a
				// gateway is no longer ready.
				s.Shutdown.Notice = 2000
			}})
			longJob := harness.NewJob(400, taskTime)
			longReply := c.SubmitAsync(0, longJob)
			stopLoad := c.StartLoad(harness.Load{Callers: 8, Copies: 2, Resubmit: 3, Balanced: true, Job: smallJobs(true)})
			c.AwaitDone(longJob, 20)
			row.stop(t, c)
			time.Sleep(time.Second)
			stopLoad()
			<-longReply
			for _, r := range c.Replies() {
				if !r.Complete() && !r.Refused {
					t.Errorf("job interrupted by a planned stop: %v", r)
				}
			}
			c.Judge()
		})
	}
}
