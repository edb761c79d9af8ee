package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
)

// crashingOptions returns a fleet of eleven targets under three kinds of jobs, of which
// a share of the short ones crash the targets that start them.
func crashingOptions(seed uint64, crashShare float64) Options {
	return Options{
		Seed: seed, Gateways: 4, Targets: 11, MinLoadInterval: 50 * time.Millisecond, Load: 0.65, Duration: 10 * time.Second,
		Jobs: []JobKind{
			{Name: "short", Tasks: 8, RunTime: 60 * time.Millisecond, CPU: 3100, LoadShare: 0.2, CrashShare: crashShare},
			{Name: "long", Tasks: 4, RunTime: 900 * time.Millisecond, CPU: 3100, LoadShare: 0.3},
			{Name: "pair", Tasks: 2, RunTime: 200 * time.Millisecond, CPU: 3100, LoadShare: 0.5},
		},
		Kinds: []TargetKind{{"even", 1, 32_000}},
	}
}

// Guards against jobs of one kind that take down target after target until no other kind
// is served: a tenth of the short jobs crash the targets that start them, three times a
// second on eleven targets that are down for three seconds each time.
func TestOtherKindsAreServedWhileOneCrashesItsTargets(t *testing.T) {
	const minShare = 0.75
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := Run(crashingOptions(seed, 0.1))
			t.Logf("%d crashes, %v", r.Crashes, r)
			for _, kind := range []string{"long", "pair"} {
				if got := possibleShare(r, kind); got < minShare {
					t.Errorf("%.3f of the %s jobs that can be completed in time are, want %.2f", got, kind, minShare)
				}
				for _, j := range r.Jobs[kind] {
					if j.State == dispatch.Failed {
						t.Errorf("a %s job was answered as failed, since it ran beside others that crashed its targets", kind)
					}
				}
			}
		})
	}
}

// Guards against jobs that run beside a single crashing one and are given up with it.
func TestOneCrashingJobTakesDownFewTargetsAndNoOtherJob(t *testing.T) {
	const maxCrashes = 3
	o := crashingOptions(1, 0)
	o.Duration, o.OneCrashingJobAfter = 3*time.Second, time.Second
	r := Run(o)
	t.Logf("%d crashes, %v", r.Crashes, r)
	if r.Crashes > maxCrashes {
		t.Errorf("%d targets crashed under one job, want at most %d", r.Crashes, maxCrashes)
	}
	for kind, jobs := range r.Jobs {
		for _, j := range jobs {
			if j.State == dispatch.Failed && !j.Crashing {
				t.Errorf("a %s job that crashes nothing was answered as failed", kind)
			}
		}
	}
}
