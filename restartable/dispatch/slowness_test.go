package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// After a power loss, fast and slow targets come back that report the same kind.
// Guards against a slow target that looks fast because most of its kind are: on
// hmpteb-engrave such targets got three times their usual tasks for ten seconds.
func TestKindWithMixedSpeedsIsNotTrusted(t *testing.T) {
	const own = 8
	r := newRig(t)
	for i := range 6 {
		speed := 0.7
		if i%3 == 2 {
			speed = 1.9
		}
		name := fmt.Sprintf("t%d", i)
		r.addAgent(name, 32_000)
		r.report(name, func(l *Load) { l.Slowness, l.Samples = speed, own })
	}
	r.advance(statsInterval)
	for i := range 6 {
		a := r.core.byLink[fmt.Sprintf("t%d", i)]
		got, want := r.core.slowness(r.now, a), a.load.Slowness
		if math.Abs(math.Log(got/want)) > math.Log(1.3) {
			t.Errorf("%s: predicted slowness %.2f, but %.2f by its own %d runs", a.Name, got, want, own)
		}
	}
}

// Guards against a new target that is expected to be of usual speed although all
// targets of its kind are slow.
func TestNewTargetIsExpectedToBeLikeItsKind(t *testing.T) {
	r := newRig(t)
	for i, samples := range []int{100, 100, 100, 0} {
		name := fmt.Sprintf("t%d", i)
		r.addAgent(name, 32_000)
		r.report(name, func(l *Load) { l.Slowness, l.Samples = 1.9+0.05*float64(i), samples })
	}
	r.advance(statsInterval)
	if got := r.core.slowness(r.now, r.core.byLink["t3"]); got < 1.8 || got > 2.1 {
		t.Errorf("the predicted slowness of a new target is %.2f, that of its kind is 1.95", got)
	}
}

// A run shows only the product of a task's run time at slowness 1 and the target's
// slowness. Guards against predicted run times that drift away from those on a
// typical target: they made the objectives of all jobs too short by a fifth.
func TestPredictionsAreThoseOfATypicalTarget(t *testing.T) {
	const (
		jobs   = 3000
		weight = 0.02
		work   = 100 * time.Millisecond
	)
	speeds := []float64{0.7, 0.7, 1.7}
	// What the agents have learned while the predicted run times were too short.
	learned := []float64{0.85, 0.85, 2.06}
	r := newRig(t)
	load := func(i int) {
		r.report(fmt.Sprintf("t%d", i), func(l *Load) { l.Slowness, l.Samples = learned[i], 100 })
	}
	for i := range speeds {
		name := fmt.Sprintf("t%d", i)
		r.addAgent(name, 32_000)
		r.core.AgentTarget(name, TargetInfo{Target: name, Service: "s", Kind: name, Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
		load(i)
	}
	// Targets of another service must not affect the result.
	r.addAgent("other", 32_000)
	r.core.AgentTarget("other", TargetInfo{Target: "other", Service: "o", Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
	r.report("other", func(l *Load) { l.Slowness = 5 })
	for n := range jobs {
		i := n % len(speeds)
		r.advance(10 * ms)
		expected := r.core.estimator("q").predict(work)
		run := time.Duration(float64(work) * speeds[i])
		r.core.observeRun("q", work, run, r.core.byLink[fmt.Sprintf("t%d", i)], r.now, 1)
		learned[i] *= math.Exp(weight * (math.Log(float64(run)/float64(expected)) - math.Log(learned[i])))
		load(i)
	}
	typical := math.Pow(0.7*0.7*1.7, 1.0/3)
	got := r.core.estimator("q").predict(work).Seconds() / work.Seconds()
	if math.Abs(got/typical-1) > 0.05 {
		t.Errorf("a run takes %.2f times its estimate on a typical target, the prediction is %.2f times", typical, got)
	}
}
