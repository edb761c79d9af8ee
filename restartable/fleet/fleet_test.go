package fleet

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/subset"
)

// mixed is Mixed with jobs for a time.
func mixed(gateways, targets int, length time.Duration) Options {
	o := MixedOptions(gateways, targets)
	o.Duration = length
	return o
}

// Guards against many gateways that send their tasks to the same targets, since
// each sees loads that are some milliseconds old: together they come near one
// gateway that decides everything.
func TestManyGatewaysComeNearOne(t *testing.T) {
	const shareLeast, stretchMost = 0.95, 1.15
	many, one := Run(mixed(55, 240, 2*time.Second)), Run(mixed(1, 240, 2*time.Second))
	t.Logf("55 gateways: %v", many)
	t.Logf("one gateway: %v", one)
	if many.Share() < shareLeast*one.Share() {
		t.Errorf("%.3f of the jobs end in time, %.3f with one gateway", many.Share(), one.Share())
	}
	if many.Stretch(0.5) > stretchMost*one.Stretch(0.5) {
		t.Errorf("the median stretch is %.2f, %.2f with one gateway", many.Stretch(0.5), one.Stretch(0.5))
	}
}

// Guards against messages and links of a process that grow with the fleet.
func TestCostOfAProcessDoesNotGrowWithTheFleet(t *testing.T) {
	const growthMost = 1.3
	small, large := Run(mixed(12, 69, time.Second)), Run(mixed(55, 240, time.Second))
	framesOf := func(r Result, targets int) float64 { return float64(r.Frames) / float64(targets) }
	if s, l := framesOf(small, 69), framesOf(large, 240); l > growthMost*s {
		t.Errorf("%.0f frames a target in a large fleet, %.0f in a small one", l, s)
	}
	if mean := 240 * subset.DefaultOptions().Links / 55; large.LinksMax > 2*mean {
		t.Errorf("a gateway has %d links, the mean is %d", large.LinksMax, mean)
	}
}
