package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
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

// Runs show only the product of a job's length and a target's slowness. Guards
// against expected run times that drift away from those on a typical target: the
// objectives of all jobs were then too tight by a fifth.
func TestExpectedTimesAreThoseOfATypicalTarget(t *testing.T) {
	const (
		jobs   = 3000
		weight = 0.02
		work   = 100 * time.Millisecond
	)
	speeds := []float64{0.7, 0.7, 1.7}
	// The agents have learned them from run times that were expected too short.
	learned := []float64{0.85, 0.85, 2.06}
	r := newRig(t)
	load := func(i int) {
		r.report(fmt.Sprintf("t%d", i), func(l *Load) { l.Slowness, l.Samples = learned[i], 100 })
	}
	for i := range speeds {
		name := fmt.Sprintf("t%d", i)
		r.agent(name, 32_000)
		r.core.AgentTarget(name, TargetInfo{Target: name, Service: "s", Kind: name, Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
		load(i)
	}
	// The targets of another service have no part in it.
	r.agent("other", 32_000)
	r.core.AgentTarget("other", TargetInfo{Target: "other", Service: "o", Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
	r.report("other", func(l *Load) { l.Slowness = 5 })
	for n := range jobs {
		i := n % len(speeds)
		r.after(10 * ms)
		expected := r.core.estimator("q").predict(work)
		run := time.Duration(float64(work) * speeds[i])
		r.core.learn("q", work, run, r.core.byLink[fmt.Sprintf("t%d", i)], r.now, 1)
		learned[i] *= math.Exp(weight * (math.Log(float64(run)/float64(expected)) - math.Log(learned[i])))
		load(i)
	}
	typical := math.Pow(0.7*0.7*1.7, 1.0/3)
	got := r.core.estimator("q").predict(work).Seconds() / work.Seconds()
	if math.Abs(got/typical-1) > 0.05 {
		t.Errorf("a run that takes %.2f times the estimate on a typical target is expected to take %.2f times", typical, got)
	}
}
