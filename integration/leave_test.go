package integration

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// leavingBound is the bound of G6.
const leavingBound = 2 * time.Second

// longLease outlasts a log outage in a test: the stand-in of the log is that of
// the leases too.
func longLease(s *settings.Agent) { s.Lease.TTL = 120_000 }

// G6: a target that is leaving gets nothing new 2 s after its leaving was
// accepted, while starts are under way and while parts of the system cannot hear
// of it through the log.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	ways := []struct {
		name  string
		leave func(c *harness.Cluster) error
	}{
		{"own leave", func(c *harness.Cluster) error {
			c.TargetMode(0, target.ModeChange{Mode: target.ModeLeave})
			return nil
		}},
		{"drain", func(c *harness.Cluster) error { return c.Drain(1, 0, true) }},
		{"SIGTERM to the agent", func(c *harness.Cluster) error { return c.Agents[0].Terminate() }},
	}
	states := []struct {
		name   string
		inject func(c *harness.Cluster)
		// refuses tells that a drain has to be refused.
		refuses bool
	}{
		{"no fault", func(*harness.Cluster) {}, false},
		{"a gateway cut from the log", func(c *harness.Cluster) { c.Net.Cut("gateway-0", "log") }, false},
		{"log down", func(c *harness.Cluster) { c.LogFaults(logserver.FaultsBody{Outage: true}) }, true},
	}
	for _, way := range ways {
		for _, state := range states {
			t.Run(way.name+"/"+state.name, func(t *testing.T) {
				t.Parallel()
				c := harness.Start(t, harness.Options{AdjustAgent: longLease})
				stop := c.StartLoad(harness.Load{Callers: 16, Copies: 2, Job: smallJobs(true)})
				c.AwaitStarts(0, 10)
				state.inject(c)
				time.Sleep(time.Second)
				// A planned stop of the agent counts from its signal.
				began := time.Now()
				err := way.leave(c)
				accepted := time.Now()
				if way.name == ways[2].name {
					accepted = began
				}
				refused := way.name == "drain" && state.refuses
				time.Sleep(leavingBound + time.Second)
				stop()
				var status *harness.StatusError
				switch {
				case refused && (!errors.As(err, &status) || status.Code != 503 && status.Code != 504):
					t.Errorf("drain without the log was answered with %v", err)
				case !refused && err != nil:
					t.Error(err)
				case !refused:
					for k, starts := range c.Starts() {
						for _, s := range starts {
							if s.Target == "target-0" && s.At.Sub(accepted) > leavingBound {
								t.Errorf("task %v started %v after leaving was accepted", k, s.At.Sub(accepted))
							}
						}
					}
				}
				c.Judge()
			})
		}
	}
}
