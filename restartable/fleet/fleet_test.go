package fleet

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/subset"
)

// mixedFor returns MixedOptions with jobs arriving for a duration.
func mixedFor(gateways, targets int, length time.Duration) Options {
	o := MixedOptions(gateways, targets)
	o.Duration = length
	return o
}

// Guards against many gateways that place their tasks on the same targets because
// each sees loads that are some milliseconds old: together they must perform
// nearly as well as a single gateway that makes all decisions.
func TestManyGatewaysPerformLikeOne(t *testing.T) {
	const minShareRatio, maxStretchRatio = 0.95, 1.15
	many, one := Run(mixedFor(55, 240, 2*time.Second)), Run(mixedFor(1, 240, 2*time.Second))
	t.Logf("55 gateways: %v", many)
	t.Logf("one gateway: %v", one)
	if many.InTimeShare() < minShareRatio*one.InTimeShare() {
		t.Errorf("%.3f of the jobs complete in time, %.3f with one gateway", many.InTimeShare(), one.InTimeShare())
	}
	if many.StretchQuantile(0.5) > maxStretchRatio*one.StretchQuantile(0.5) {
		t.Errorf("the median stretch is %.2f, %.2f with one gateway", many.StretchQuantile(0.5), one.StretchQuantile(0.5))
	}
}

// longJobsFor returns LongJobsOptions at a load, with jobs arriving for a duration.
func longJobsFor(load float64, length time.Duration) Options {
	o := LongJobsOptions(14, 76)
	o.Load, o.Duration = load, length
	return o
}

// possibleShare returns the share of the jobs of a kind that were completed in time,
// among those that any dispatcher could complete in time.
func possibleShare(r Result, kind string) float64 {
	return share(r.Jobs[kind], inTime) / share(r.Jobs[kind], func(j *Job) bool { return j.Possible })
}

// Guards against short tasks that fill the fast targets at a busy hour, on which alone
// long jobs end by their deadline, while slow targets have room: 85% of the targets'
// processors are needed, two fifths of them by long jobs.
func TestLongJobsFindFastTargetsAtABusyHour(t *testing.T) {
	const minShare = 0.95
	r := Run(longJobsFor(0.85, 6*time.Second))
	t.Logf("%v", r)
	for kind := range r.Jobs {
		if got := possibleShare(r, kind); got < minShare {
			t.Errorf("%.3f of the %s jobs that can be completed in time are, want %.2f", got, kind, minShare)
		}
	}
}

// Guards against an hour with too much work in which most jobs are accepted, wait for
// full targets and are late: 95% of the targets' processors are needed, more than the
// targets give that are fast enough for long jobs. Each kind of jobs has to be served
// three times in four.
func TestEachKindOfJobsIsServedWhenTargetsAreFull(t *testing.T) {
	const minShare = 0.75
	r := Run(longJobsFor(0.95, 10*time.Second))
	t.Logf("%v", r)
	for kind, jobs := range r.Jobs {
		if got := share(jobs, inTime); got < minShare {
			t.Errorf("%.3f of the %s jobs are completed in time, want %.2f", got, kind, minShare)
		}
	}
}

// Guards against numbers of messages and links per process that grow with the
// fleet.
func TestFramesAndLinksPerProcessDoNotGrowWithTheFleet(t *testing.T) {
	const maxGrowth = 1.3
	small, large := Run(mixedFor(12, 69, time.Second)), Run(mixedFor(55, 240, time.Second))
	framesPerTarget := func(r Result, targets int) float64 { return float64(r.Frames) / float64(targets) }
	if s, l := framesPerTarget(small, 69), framesPerTarget(large, 240); l > maxGrowth*s {
		t.Errorf("%.0f frames per target in a large fleet, %.0f in a small one", l, s)
	}
	if mean := 240 * subset.DefaultOptions().Links / 55; large.MaxLinks > 2*mean {
		t.Errorf("a gateway has %d links, the mean is %d", large.MaxLinks, mean)
	}
}
