package integration

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m, "gateway", "agent", "standin-log", "standin-target"))
}

const (
	// taskTime is the run time of a task in most tests.
	taskTime = 40 * time.Millisecond
	// faultDuration is how long a fault lasts if no condition determines its end.
	faultDuration = 3 * time.Second
)

// smallJobs returns a function that creates jobs of one to eight tasks.
func smallJobs(repeatable bool) func() harness.Job {
	return func() harness.Job {
		j := harness.NewJob(1+rand.IntN(8), taskTime)
		j.NotRepeatable = !repeatable
		return j
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitJobsComplete waits until a new job completes at every running gateway.
func awaitJobsComplete(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for i := range c.Gateways {
		if c.Gateways[i].PID() == 0 {
			continue
		}
		c.Await("a new job completes", func() error {
			if r := c.Submit(i, harness.NewJob(8, taskTime)); !r.Complete() {
				return errors.New(r.String())
			}
			return nil
		})
	}
}
