package link

import (
	"math"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against amounts beyond the fields of a frame that arrive as small ones, so
// that a target is given more than it has room for.
func TestAmountsBeyondAFrameArriveAsItsLargest(t *testing.T) {
	for _, k := range []struct{ sent, want int64 }{
		{0, 0}, {4000, 4000}, {math.MaxUint32, math.MaxUint32}, {math.MaxUint32 + 2, math.MaxUint32}, {math.MaxInt64, math.MaxUint32}, {-1, 0}, {math.MinInt64, 0},
	} {
		sent, want := task.Resources{CPUMillis: k.sent, MemoryMB: k.sent, Accelerators: k.sent}, task.Resources{CPUMillis: k.want, MemoryMB: k.want, Accelerators: k.want}
		if got := resourcesFromProto(resourcesToProto(sent)); got != want {
			t.Errorf("%+v arrives as %+v, want %+v", sent, got, want)
		}
	}
	if got := fromMillis(toMillis(math.MaxInt64)); got < 40*24*time.Hour {
		t.Errorf("the longest duration arrives as %v", got)
	}
	for ratio, want := range map[float64]uint32{1.7: 1700, 1e300: math.MaxUint32, -1: 0, math.Inf(1): math.MaxUint32} {
		if got := toPermille(ratio); got != want {
			t.Errorf("%g arrives as %d thousandths, want %d", ratio, got, want)
		}
	}
}

// Guards against an order that does not name what the target must have: its agent could
// not refuse tasks that a target of another kind must not run.
func TestOrderNamesTheServiceAndTheRequiredLabel(t *testing.T) {
	l := newGatewayLink()
	l.Order(dispatch.Order{Tasks: []dispatch.Attempt{{Index: 1, Number: 2}}, Service: "s", RequiredLabel: "a"})
	starts := startsFromProto(l.nextFrame().Starts[0])
	if len(starts) != 1 || starts[0].Service != "s" || starts[0].RequiredLabel != "a" {
		t.Errorf("the order arrives as %+v, want one start of service s that requires label a", starts)
	}
}
