package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
)

// configTimeout is the time within which guarantee G8 puts an accepted
// configuration into force at all gateways.
const configTimeout = 6 * time.Second

// versionPollInterval is the interval at which configuration versions are read.
const versionPollInterval = 20 * time.Millisecond

// watchVersions reads the configuration version of each gateway until stop is called
// and requires that it never decreases. The version of a restarted process counts
// only once it is ready: before that, it has no configuration in force.
func watchVersions(t *testing.T, c *harness.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, g := range c.Gateways {
		wg.Go(func() {
			knownPID := g.PID()
			for last := uint64(0); ctx.Err() == nil; time.Sleep(versionPollInterval) {
				pid := g.PID()
				st, err := c.Status(i)
				if err != nil || pid != knownPID && !st.Ready {
					continue
				}
				v, err := c.ConfigVersion(i)
				if err != nil || pid != g.PID() {
					continue
				}
				if v < last {
					t.Errorf("configuration version at gateway-%d decreased from %d to %d", i, last, v)
				}
				last, knownPID = v, pid
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// awaitVersion requires that all running gateways have at least the given version
// within configTimeout after its acceptance.
func awaitVersion(t *testing.T, c *harness.Cluster, version uint64, at time.Time) {
	t.Helper()
	for i, g := range c.Gateways {
		for g.PID() != 0 {
			v, err := c.ConfigVersion(i)
			if err == nil && v >= version {
				break
			}
			if time.Since(at) > configTimeout {
				t.Errorf("%v after its acceptance, configuration %d is not in force at %s: version %d, error %v", time.Since(at), version, g.Name, v, err)
				break
			}
			time.Sleep(versionPollInterval)
		}
	}
}

// changeConfig publishes a configuration at a gateway and waits until all gateways
// have it.
func changeConfig(t *testing.T, c *harness.Cluster, gateway int) uint64 {
	t.Helper()
	base, err := c.ConfigVersion(gateway)
	check(t, err)
	v, err := c.ChangeConfig(t.Context(), gateway, base, "ana")
	at := time.Now()
	check(t, err)
	awaitVersion(t, c, v, at)
	return v
}

// Guarantee G8: an accepted configuration is in force at all gateways within 6 s
// and is never reverted. Guards against violations when the log loses replies and
// requests, has outages and drops old records, two operators make conflicting
// changes, and a gateway restarts.
func TestAcceptedConfigurationStaysInForce(t *testing.T) {
	for _, row := range []struct {
		name string
		// retainCount is the number of records that the log keeps; 0 means no limit.
		retainCount int64
		run         func(t *testing.T, c *harness.Cluster)
	}{
		{"lost replies and requests", 0, func(t *testing.T, c *harness.Cluster) {
			for i := range 4 {
				c.SetLogFaults(logserver.FaultsBody{LoseReplies: 1 + i%2, LoseRequests: i / 2})
				changeConfig(t, c, i%3)
			}
		}},
		{"two operators", 0, func(t *testing.T, c *harness.Cluster) {
			for range 5 {
				changeConfigConcurrently(t, c)
			}
		}},
		{"log outage", 0, func(t *testing.T, c *harness.Cluster) {
			first := changeConfig(t, c, 0)
			c.SetLogFaults(logserver.FaultsBody{Outage: true})
			_, err := c.ChangeConfig(t.Context(), 1, first, "ben")
			var status *harness.StatusError
			if !errors.As(err, &status) || status.Code != http.StatusServiceUnavailable && status.Code != http.StatusGatewayTimeout {
				t.Errorf("configuration change during the log outage: %v", err)
			}
			time.Sleep(time.Second)
			c.SetLogFaults(logserver.FaultsBody{})
			c.Await("a change is accepted", func() error {
				base, err := c.ConfigVersion(2)
				if err != nil {
					return err
				}
				v, err := c.ChangeConfig(t.Context(), 2, base, "ana")
				at := time.Now()
				if err == nil {
					awaitVersion(t, c, v, at)
				}
				return err
			})
		}},
		{"retention passed", 20, func(t *testing.T, c *harness.Cluster) {
			c.Gateways[2].Pause()
			for range 25 {
				publishConfig(t, c)
			}
			c.Gateways[2].Resume()
			c.Gateways[1].Kill()
			check(t, c.Gateways[1].Start())
			check(t, c.AwaitReady())
			changeConfig(t, c, 0)
		}},
		{"gateway replaced during an outage", 0, func(t *testing.T, c *harness.Cluster) {
			v := changeConfig(t, c, 0)
			c.SetLogFaults(logserver.FaultsBody{Outage: true})
			c.Gateways[1].Kill()
			check(t, c.Gateways[1].Start())
			c.Await("the configuration from a peer", func() error {
				got, err := c.ConfigVersion(1)
				if err == nil && got < v {
					err = errors.Errorf("version %d", got)
				}
				return err
			})
			c.SetLogFaults(logserver.FaultsBody{})
			check(t, c.AwaitReady())
			changeConfig(t, c, 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := harness.Start(t, harness.Options{AdjustLog: func(s *settings.LogStandin) { s.RetainCount = row.retainCount }, AdjustAgent: longLease, AdjustGateway: func(s *settings.Gateway) {
				s.Probing.PingFailure = 10_000
			}})
			stopWatch := watchVersions(t, c)
			row.run(t, c)
			stopWatch()
			awaitJobsComplete(t, c)
			c.Judge()
		})
	}
}

// publishConfig publishes a configuration without waiting for the gateways, for use
// while one of them is paused.
func publishConfig(t *testing.T, c *harness.Cluster) {
	t.Helper()
	base, err := c.ConfigVersion(0)
	check(t, err)
	_, err = c.ChangeConfig(t.Context(), 0, base, "ana")
	check(t, err)
}

// changeConfigConcurrently lets two operators change the same version concurrently:
// one change must be accepted, and the other refused with the accepted version.
func changeConfigConcurrently(t *testing.T, c *harness.Cluster) {
	t.Helper()
	base, err := c.ConfigVersion(0)
	check(t, err)
	c.Await("the base version", func() error {
		if v, err := c.ConfigVersion(1); err != nil || v != base {
			return fmt.Errorf("version %d, %w", v, err)
		}
		return nil
	})
	type result struct {
		version uint64
		err     error
		at      time.Time
	}
	var results [2]result
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			v, err := c.ChangeConfig(context.Background(), i, base, []string{"ana", "ben"}[i])
			results[i] = result{v, err, time.Now()}
		})
	}
	wg.Wait()
	won, lost := results[0], results[1]
	if won.err != nil {
		won, lost = lost, won
	}
	var status *harness.StatusError
	if won.err != nil || !errors.As(lost.err, &status) || status.Code != http.StatusConflict || status.Body.Version != won.version {
		t.Errorf("want one accepted and one conflicting change, got %+v and %+v", results[0], results[1])
		return
	}
	awaitVersion(t, c, won.version, won.at)
}
