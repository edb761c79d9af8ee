package dispatch

import (
	"fmt"
	"math"
	"testing"
)

// Return after a loss of power: targets of two speeds come back under labels that
// say nothing of their speed. Guards against a slow target that looks fast for as
// long as most of its kind are: on hmpteb-engrave such targets got three times
// their usual tasks for ten seconds.
func TestLabelThatSaysNothingOfSpeedIsNotBelieved(t *testing.T) {
	const own = 8
	r := newRig(t)
	for i := range 6 {
		speed := 0.7
		if i%3 == 2 {
			speed = 1.9
		}
		name := fmt.Sprintf("t%d", i)
		r.agent(name, 32_000)
		r.report(name, func(l *Load) { l.Slowness, l.Samples = speed, own })
	}
	r.after(kindsEvery)
	for i := range 6 {
		a := r.core.byLink[fmt.Sprintf("t%d", i)]
		got, want := r.core.slowness(r.now, a), a.load.Slowness
		if math.Abs(math.Log(got/want)) > math.Log(1.3) {
			t.Errorf("%s: expected to be %.2f times as slow as usual, %.2f by its own %d runs", a.Name, got, want, own)
		}
	}
}

// Guards against a new target that is taken for a usual one although all targets
// of its kind are slow.
func TestNewTargetIsExpectedToBeLikeItsKind(t *testing.T) {
	r := newRig(t)
	for i, samples := range []int{100, 100, 100, 0} {
		name := fmt.Sprintf("t%d", i)
		r.agent(name, 32_000)
		r.report(name, func(l *Load) { l.Slowness, l.Samples = 1.9+0.05*float64(i), samples })
	}
	r.after(kindsEvery)
	if got := r.core.slowness(r.now, r.core.byLink["t3"]); got < 1.8 || got > 2.1 {
		t.Errorf("a new target is expected to be %.2f times as slow as usual, those of its kind are 1.95 times", got)
	}
}
