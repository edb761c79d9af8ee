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
