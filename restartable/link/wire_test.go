package link

import (
	"math"
	"testing"
	"time"

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
