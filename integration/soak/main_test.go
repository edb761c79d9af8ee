// Package soak is a randomized fault-injection test. It runs the platform's
// gateways and agents as separate processes, injects faults into processes,
// connections, store and targets, and checks what callers and targets observe.
//
//	go test ./integration/soak                               # the seeds that CI runs
//	go test ./integration/soak -args -first 100 -seeds 50    # seeds 100 to 149
//	go test ./integration/soak -args -fresh 5m               # random seeds for 5 minutes
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed of the range that -seeds runs")
	seeds     = flag.Uint64("seeds", 0, "number of consecutive seeds to run instead of those that CI runs")
	fresh     = flag.Duration("fresh", 0, "how long to run random seeds instead of those that CI runs")
	length    = flag.Duration("length", 12*time.Second, "time span in which the faults of a seed start")
	sites     = flag.Int("sites", 2, "maximum number of deployments that run concurrently")
	size      = flag.Int("size", 1, "multiplier for the number of processes and callers")
	without   = flag.String("without", unhandledFaults, "regular expression of the names of faults that are not injected")
)

// unhandledFaults matches the faults under which guarantees can break, so that they are
// left out unless -without is given; "^$" matches none. A target that refuses connections
// counts as ended, see docs/decisions/0003-platform.md. A call to an earlier incarnation
// of a target can be executed by the next one until its agent has polled it.
const unhandledFaults = "refuses and runs on|late in a new incarnation|arrive late"

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(harness.Main(m, "platform-gateway", "platform-agent"))
}

// regressions lists seeds that failed in the past, each with the cause of the
// failure.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{4, "starts without an answer, sent after a crash, counted as crashes under their task"},
	{6, "as seed 4"},
	{3, "connections to the store that went silent were noticed one after the other"},
	{319, "a signal ended an agent that had just started and could not handle one yet"},
	{324, "as seed 319, at a gateway and an agent"},
	{335, "as seed 319"},
	{233, "a run that a silent target had ended counted as crashed with the target's process"},
	{739, "as seed 233"},
}

// Guards against guarantees to callers and targets that hold under each single
// fault but break when faults overlap.
func TestSoak(t *testing.T) {
	semaphore := make(chan struct{}, *sites)
	run := func(seed uint64, why string) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if why != "" {
				t.Logf("regression seed, cause of the earlier failure: %s", why)
			}
			soak(t, seed)
		})
	}
	switch {
	case *fresh > 0:
		for end := time.Now().Add(*fresh); time.Now().Before(end); {
			seed := rand.Uint64N(1 << 32)
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, seed) })
		}
	case *seeds > 0:
		for s := *firstSeed; s < *firstSeed+*seeds; s++ {
			run(s, "")
		}
	default:
		run(1, "")
		for _, r := range regressions {
			run(r.seed, r.cause)
		}
	}
}

// soak runs a deployment under the faults of one seed, and checks it during the
// faults, after recovery and after its shutdown.
func soak(t *testing.T, seed uint64) {
	s := startSystem(t, *size, seed)
	check := newChecker(s)
	load := startCallers(s, check, seed)
	mon := startMonitor(s, check)
	omitted := regexp.MustCompile(*without)
	steps := slices.DeleteFunc(drawSchedule(seed, *length, s), func(st step) bool { return omitted.MatchString(st.Fault.name) })
	began := time.Now()
	s.runSchedule(steps, load)
	s.repair()
	check.checkRecovery()
	load.stop()
	mon.stop()
	check.checkIdle()
	s.terminateAll(check)
	check.checkJobs()
	if t.Failed() {
		for _, st := range steps {
			t.Logf("injected fault: %v", st)
		}
		s.writeLogs(began)
	}
}
