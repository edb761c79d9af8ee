// Package soak runs the platform's programs as separate processes under random
// faults from outside and checks what callers and targets see.
//
//	go test ./integration/soak                               # the seeds of CI
//	go test ./integration/soak -args -first 100 -seeds 50    # 50 seeds from 100 on
//	go test ./integration/soak -args -fresh 5m               # new seeds for 5 minutes
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed of -seeds")
	seeds     = flag.Uint64("seeds", 0, "number of consecutive seeds to run instead of those of CI")
	fresh     = flag.Duration("fresh", 0, "time during which new seeds are run instead of those of CI")
	length    = flag.Duration("length", 12*time.Second, "time during which faults begin")
	sites     = flag.Int("sites", 2, "deployments at a time")
	size      = flag.Int("size", 1, "factor of the number of processes and callers")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(harness.Main(m, "platform-gateway", "platform-agent"))
}

// regressions are seeds that once failed, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// Guards against promises to callers and targets that hold under single faults
// and break when faults overlap.
func TestSoak(t *testing.T) {
	places := make(chan struct{}, *sites)
	run := func(seed uint64, why string) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			if why != "" {
				t.Logf("a regression case: %s", why)
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

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	s := startSite(t, *size, seed)
	j := newJudge(s)
	load := startCallers(s, j, seed)
	watch := startWatch(s, j)
	steps := drawSchedule(seed, *length, s)
	began := time.Now()
	s.play(steps, load)
	s.repair()
	j.recovered()
	load.stop()
	watch.stop()
	j.quiet()
	s.terminateAll(j)
	j.judge()
	if t.Failed() {
		for _, st := range steps {
			t.Logf("fault %v", st)
		}
		s.keepLogs(began)
	}
}
