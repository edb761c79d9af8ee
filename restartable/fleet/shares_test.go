package fleet

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
)

// burstOptions returns the fleet of the first deployment of docs/hard-load.md: nine
// gateways and 55 targets under three queues, one of which has bursts.
func burstOptions(seed uint64, kind string) Options {
	return Options{
		Seed: seed, Gateways: 9, Targets: 55, MinLoadInterval: 50 * time.Millisecond, Load: 0.85, Duration: 16 * time.Second,
		Jobs: []JobKind{
			{"short", 8, 60 * time.Millisecond, 1500, 0.3, 0}, {"long", 4, 900 * time.Millisecond, 1500, 0.35, 0}, {"pair", 2, 200 * time.Millisecond, 1500, 0.35, 0},
		},
		Kinds: []TargetKind{{"fast", 0.7, 16_000}, {"fast", 0.7, 16_000}, {"slow", 1.7, 24_000}},
		Burst: Burst{Kind: kind, Factor: 2.5, From: 2 * time.Second, Length: 5 * time.Second, Every: 8 * time.Second},
	}
}

var equalShares = fairshare.Settings{Enabled: true, DefaultWeight: 1}

// servedInBursts returns the share of the jobs of a kind that are completed in time among
// those that arrive in bursts.
func servedInBursts(o Options, r Result, kind string) float64 {
	var jobs []*Job
	for _, j := range r.Jobs[kind] {
		if o.Burst.contains(j.Arrived) {
			jobs = append(jobs, j)
		}
	}
	return share(jobs, inTime)
}

// Guards against bursts of one queue that take the targets from the others, against a
// limit that leaves capacity unused, and against large jobs that are refused more often
// than small ones. Each steady queue has to be served three times in four in a burst.
func TestBurstIsPaidByItsQueue(t *testing.T) {
	const minSteadyShare, maxLoss, minLargestRatio = 0.75, 0.03, 0.5
	kinds := []string{"short", "long", "pair"}
	for _, bursting := range kinds[1:] {
		o := burstOptions(1, bursting)
		without := Run(o)
		o.FairShares = equalShares
		r := Run(o)
		t.Logf("bursts of %s jobs without fair shares: %v", bursting, without)
		t.Logf("bursts of %s jobs with fair shares: %v", bursting, r)
		for _, kind := range kinds {
			if got := servedInBursts(o, r, kind); kind != bursting && got < minSteadyShare {
				t.Errorf("bursts of %s jobs: %.3f of the %s jobs beside them are completed in time, want %.2f", bursting, got, kind, minSteadyShare)
			}
			if all, largest := share(r.Jobs[kind], inTime), share(largestTenth(r.Jobs[kind]), inTime); largest < minLargestRatio*all {
				t.Errorf("bursts of %s jobs: %.3f of the largest tenth of the %s jobs are completed in time, %.3f of all", bursting, largest, kind, all)
			}
		}
		if with, without := r.InTimeShare(), without.InTimeShare(); with < without-maxLoss {
			t.Errorf("bursts of %s jobs: %.3f of all jobs are completed in time, %.3f without fair shares", bursting, with, without)
		}
	}
}

// Guards against fair shares that refuse jobs although there is capacity, and against
// refusals while they are switched off.
func TestFairSharesRefuseNothingWithSpareCapacity(t *testing.T) {
	for name, o := range map[string]Options{"half of the load": longJobsFor(0.51, 2*time.Second), "too much load, switched off": longJobsFor(0.95, 2*time.Second)} {
		o.FairShares = fairshare.Settings{Enabled: o.Load < 0.9, DefaultWeight: 1, Weights: map[string]float64{"long": 9}}
		for kind, jobs := range Run(o).Jobs {
			if n := share(jobs, func(j *Job) bool { return j.Cause == dispatch.CauseShare }); n > 0 {
				t.Errorf("%s: %.3f of the %s jobs are refused because of shares", name, n, kind)
			}
		}
	}
}
