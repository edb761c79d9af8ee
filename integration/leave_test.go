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

// leaveTimeout is the time within which guarantee G6 ends all starts at a target
// whose leaving was accepted.
const leaveTimeout = 2 * time.Second

// longLease sets a lease that outlasts a log outage in a test: the log's stand-in also
// serves the leases.
func longLease(s *settings.Agent) { s.Lease.TTL = 120_000 }

// Guarantee G6: no task starts at a target later than 2 s after its leaving was
// accepted. Guards against later starts when tasks are being started at that time
// and when some or all processes cannot learn of the leaving from the log.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	ways := []struct {
		name  string
		leave func(c *harness.Cluster) error
		// byOperator is set for a change through the operators' API.
		byOperator bool
	}{
		{"own leave", func(c *harness.Cluster) error {
			c.SetTargetMode(0, target.ModeChange{Mode: target.ModeLeave})
			return nil
		}, false},
		{"drain", func(c *harness.Cluster) error { return c.Drain(1, 0, true) }, true},
		{"SIGTERM to the agent", func(c *harness.Cluster) error { return c.Agents[0].Terminate() }, false},
		{"drain of its zone", func(c *harness.Cluster) error { return c.DrainZone(1, 0, true) }, true},
	}
	states := []struct {
		name   string
		inject func(c *harness.Cluster)
		// refusesDrain requires that a drain is refused.
		refusesDrain bool
	}{
		{"no fault", func(*harness.Cluster) {}, false},
		{"a gateway cut from the log", func(c *harness.Cluster) { c.Net.Cut("gateway-0", "log") }, false},
		{"log down", func(c *harness.Cluster) { c.SetLogFaults(logserver.FaultsBody{Outage: true}) }, true},
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
				// With a planned stop of the agent, the time runs from the signal.
				began := time.Now()
				err := way.leave(c)
				accepted := time.Now()
				if way.name == ways[2].name {
					accepted = began
				}
				refused := way.byOperator && state.refusesDrain
				time.Sleep(leaveTimeout + time.Second)
				stop()
				var status *harness.StatusError
				switch {
				case refused && (!errors.As(err, &status) || status.Code != 503 && status.Code != 504):
					t.Errorf("drain during the log outage: want status 503 or 504, got %v", err)
				case !refused && err != nil:
					t.Error(err)
				case !refused:
					for k, starts := range c.Starts() {
						for _, s := range starts {
							if s.Target == "target-0" && s.At.Sub(accepted) > leaveTimeout {
								t.Errorf("task %v started %v after the leaving of its target was accepted", k, s.At.Sub(accepted))
							}
						}
					}
				}
				c.Judge()
			})
		}
	}
}
