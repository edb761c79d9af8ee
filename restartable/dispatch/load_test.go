package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// The tests of this file answer patterns of load, each named in its comment.

// A fast and a slow kind of targets: the tasks of long jobs, which only a fast
// target can end in time, go to fast ones, also when these are half full.
func TestLongTasksGoToFastTargets(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.agent(fmt.Sprintf("fast%d", i), 32_000)
		r.agent(fmt.Sprintf("slow%d", i), 32_000)
	}
	for i := range 4 {
		r.report(fmt.Sprintf("fast%d", i), func(l *Load) {
			l.Slowness, l.Committed, l.Backlog = 0.7, task.Resources{CPUMillis: 16_000}, 40*ms
		})
		slow := fmt.Sprintf("slow%d", i)
		r.core.AgentTarget(slow, TargetInfo{Target: slow, Service: "s", Kind: "b", Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
		r.report(slow, func(l *Load) { l.Slowness = 1.9 })
	}
	r.submit(jobOf("long", 4, 900*ms))
	for link, n := range r.placed() {
		if link[:4] != "fast" {
			t.Errorf("%d long tasks on %s", n, link)
		}
	}
}

// Burst of one kind of job: what could only end late is refused at once, and
// what was taken is not more than the targets can do in time.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.agent(fmt.Sprintf("t%d", i), 30_000)
	}
	for i := range 60 {
		r.submit(jobOf(fmt.Sprintf("j%d", i), 2, 200*ms))
	}
	refused := 0
	for _, a := range r.answers {
		if a.State != NotRun || a.Cause != CauseOverload || a.RetryAfter <= 0 {
			t.Fatalf("answer %+v", a)
		}
		refused++
	}
	// 30 tasks fit at a time; within the objective of 380 ms each target can
	// take about one more round.
	taken := 60 - refused
	if taken < 15 || taken > 35 {
		t.Fatalf("%d of 60 jobs taken", taken)
	}
}

// Rough estimates: a job whose estimate is far above the others of its queue is
// tried on a free target, since most such estimates are wrong.
func TestImplausibleEstimateIsTried(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	rng := rand.New(rand.NewPCG(3, 4))
	e := r.core.estimator("q")
	for range 400 {
		run := 0.9 * math.Exp(0.3*rng.NormFloat64())
		estimate := run * math.Exp(0.4*rng.NormFloat64())
		e.observe(time.Duration(estimate*float64(time.Second)), time.Duration(run*float64(time.Second)), 1)
	}
	if got := e.predict(2500 * ms); got < 1000*ms || got > 1700*ms {
		t.Fatalf("an estimate of 2.5 s is predicted as %v", got)
	}
	r.submit(jobOf("j", 2, 2500*ms))
	if len(r.orders) == 0 {
		t.Fatalf("answer %+v with a free target", r.answers["j"])
	}
}

// A target that turns slow gets no work but single probes while others are free.
func TestTargetThatTurnsSlowIsPassedOver(t *testing.T) {
	r := newRig(t)
	r.agent("ok", 32_000)
	r.agent("slow", 32_000)
	r.report("slow", func(l *Load) { l.Anomaly = 6 })
	for i := range 3 {
		r.submit(jobOf(fmt.Sprintf("j%d", i), 2, 100*ms))
	}
	if got := r.placed(); got["slow"] > 1 {
		t.Fatalf("placed %v", got)
	}
}

// A target that fails all it starts ends runs fastest and looks free; it gets
// single probes only.
func TestFailingTargetIsOnlyProbed(t *testing.T) {
	r := newRig(t)
	r.agent("ok", 32_000)
	r.agent("ok2", 32_000)
	r.agent("bad", 32_000)
	r.report("ok", func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 31_000}, 200*ms })
	r.report("bad", func(l *Load) { l.FailedShare = 0.8 })
	for i := range 6 {
		r.submit(jobOf(fmt.Sprintf("j%d", i), 1, 100*ms))
	}
	if got := r.placed(); got["bad"] > 1 {
		t.Fatalf("placed %v", got)
	}
	r.after(2 * time.Second)
	for _, a := range []string{"ok", "ok2", "bad"} {
		r.report(a, func(l *Load) { l.FailedShare = 0.1 })
	}
	r.core.byLink["bad"].placed = map[task.ID]*taskRecord{}
	r.submit(jobOf("probe", 1, 100*ms))
	if last := r.orders[len(r.orders)-1]; last.Link != "bad" {
		t.Fatalf("order %+v, want a probe of the target that is avoided", last)
	}
}

// Half of the agents vanish: the jobs that they had are answered at once, and
// new ones go to the rest.
func TestLossOfHalfTheAgents(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.agent(fmt.Sprintf("t%d", i), 4_000)
	}
	for i := range 4 {
		r.submit(jobOf(fmt.Sprintf("j%d", i), 1, 100*ms))
	}
	r.core.AgentDown(r.now, "t0")
	r.core.AgentDown(r.now, "t1")
	r.collect()
	if len(r.answers) != 2 {
		t.Fatalf("%d answers for two jobs on lost agents", len(r.answers))
	}
	r.submit(jobOf("new", 1, 100*ms))
	last := r.orders[len(r.orders)-1]
	if last.Step.Job != "new" || (last.Link != "t2" && last.Link != "t3") {
		t.Fatalf("order %+v", last)
	}
}

// Overload with a wrong prediction: one task of a job waited too long at its
// agent while another is at work. The job goes on; giving it up would throw
// away what has been done, and its caller could not be told that nothing ran.
func TestJobAtWorkIsNotGivenUpForOneLateTask(t *testing.T) {
	r := newRig(t)
	r.agent("a", 4_000)
	r.agent("b", 4_000)
	r.submit(jobOf("j", 2, 100*ms))
	if got := r.placed(); got["a"] != 1 || got["b"] != 1 {
		t.Fatalf("placed %v", got)
	}
	r.end("a", eventOf("j", r.orders[0].Tasks[0].Index, 1, task.Started, ""))
	r.after(100 * ms)
	busy := func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 6_000}, 150*ms }
	r.report("a", busy)
	r.report("b", busy, eventOf("j", r.orders[1].Tasks[0].Index, 1, task.NotStarted, task.ReasonExpired))
	if len(r.answers) != 0 {
		t.Fatalf("answers %v", r.answers)
	}
	if len(r.orders) != 3 || r.orders[2].StartWithin < 500*ms {
		t.Fatalf("orders %+v", r.orders)
	}
}

// Everything on one target stands still: its long tasks are recalled as soon as
// the short ones have shown it, it gets no more of them, and it is trusted again
// only after a probe was done.
func TestStandingTargetIsEmptiedAndProbed(t *testing.T) {
	r := newRig(t)
	r.agent("bad", 32_000)
	r.submit(jobOf("long", 2, 600*ms))
	if got := r.placed(); got["bad"] != 2 {
		t.Fatalf("placed %v", got)
	}
	for _, a := range []string{"ok1", "ok2", "ok3"} {
		r.agent(a, 32_000)
	}
	r.after(200 * ms)
	for _, a := range []string{"ok1", "ok2", "ok3"} {
		r.report(a, func(*Load) {})
	}
	r.report("bad", func(l *Load) { l.Anomaly = 4 })
	r.core.Tick(r.now)
	r.collect()
	if len(r.stops) != 2 {
		t.Fatalf("stops %v, want both long tasks recalled", r.stops)
	}
	for i := range 2 {
		r.end("bad", eventOf("long", i, 1, task.Stopped, ""))
	}
	if got := r.placed(); got["bad"] != 2 {
		t.Fatalf("placed %v after the recall", got)
	}
	r.report("bad", func(*Load) {})
	r.submit(jobOf("long2", 4, 600*ms))
	if got := r.placed(); got["bad"] != 2 {
		t.Fatalf("placed %v before a probe was done", got)
	}
	a := r.core.byLink["bad"]
	a.probesDone = 1
	r.report("bad", func(*Load) {})
	if a.avoided {
		t.Fatal("still avoided after a probe was done")
	}
}

// Return after a loss of power: jobs reach a gateway before the first agents have
// dialled it. Guards against a refusal of jobs that have a target 100 ms later;
// without any agent they are refused all the same, long before their deadline.
func TestJobsWaitForTheFirstAgentsAfterAStart(t *testing.T) {
	for _, attached := range []bool{true, false} {
		r := newRig(t)
		r.core.Start(r.now)
		r.submit(jobOf("j", 2, 200*ms))
		if len(r.answers) != 0 {
			t.Fatalf("answers %v before agents can have dialled", r.answers)
		}
		for range 10 {
			r.after(10 * ms)
			r.core.Tick(r.now)
		}
		if attached {
			r.agent("a", 32_000)
		}
		for range 45 {
			r.after(10 * ms)
			r.core.Tick(r.now)
		}
		r.collect()
		if attached && len(r.orders) != 1 {
			t.Errorf("orders %+v after an agent has attached", r.orders)
		}
		if !attached {
			r.wantAnswer("j", NotRun, CauseNoTarget)
		}
	}
}

// All targets look slow, as when a kind of task has changed: they are not all
// avoided.
func TestAvoidsAtMostHalf(t *testing.T) {
	r := newRig(t)
	for i := range 6 {
		r.agent(fmt.Sprintf("t%d", i), 32_000)
	}
	for i := range 6 {
		r.report(fmt.Sprintf("t%d", i), func(l *Load) { l.Anomaly = 5 })
	}
	avoided := 0
	for _, a := range r.core.agents {
		if a.avoided {
			avoided++
		}
	}
	if avoided != 3 {
		t.Fatalf("%d of 6 targets avoided", avoided)
	}
}

// Overload with a wrong prediction: nothing of a job has begun when its first
// task has waited too long. The agents drop the rest before the caller is told
// that the job has not run; if something has begun after all, the caller is not
// told so.
func TestJobThatHasNotBegunIsWithdrawn(t *testing.T) {
	for _, late := range []task.Outcome{task.NotStarted, task.Stopped} {
		r := newRig(t)
		r.agent("a", 4_000)
		r.agent("b", 4_000)
		r.submit(jobOf("j", 2, 100*ms))
		r.after(100 * ms)
		busy := func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 40_000}, 900*ms }
		r.report("a", busy)
		r.report("b", busy, eventOf("j", r.orders[1].Tasks[0].Index, 1, task.NotStarted, task.ReasonExpired))
		if len(r.answers) != 0 || len(r.stops) != 1 || r.stops[0].Link != "a" {
			t.Fatalf("answers %v, stops %v before the withdrawal is confirmed", r.answers, r.stops)
		}
		r.end("a", eventOf("j", r.orders[0].Tasks[0].Index, 1, late, task.ReasonRevoked))
		if late == task.NotStarted {
			r.wantAnswer("j", NotRun, CauseOverload)
		} else {
			r.wantAnswer("j", Unfinished, CauseOverload)
		}
	}
}

// After all VMs have lost power, the first runs of a slow target end in a burst
// within the time for which the speeds of kinds are kept. Guards against a
// target that then looks as if it needed no time: on bondline-th scale-2 such
// targets got dozens of tasks, which were recalled 50 ms later.
func TestFirstRunsOfASlowTargetDoNotMakeItLookFast(t *testing.T) {
	r := newRig(t)
	speeds := map[string]float64{"slow": 1.7, "fast-1": 0.7, "fast-2": 0.7}
	for name := range speeds {
		r.agent(name, 32_000)
		r.report(name, func(l *Load) { l.Slowness, l.Samples = speeds[name], 5 })
	}
	r.after(kindsEvery)
	slowness := func(name string) float64 { return r.core.slowness(r.now, r.core.byLink[name]) }
	slowness("slow")
	for samples := 6; samples <= 30; samples++ {
		r.after(ms)
		r.report("slow", func(l *Load) { l.Slowness, l.Samples = speeds["slow"], samples })
		for name := range speeds {
			if got := slowness(name); got < 0.65 || got > 1.75 {
				t.Fatalf("with %d samples of the slow target, %s is expected to be %.3f times as slow as usual", samples, name, got)
			}
		}
	}
}

// Many gateways choose among equal targets: the emptiest one, since others see
// the same places and may take the last one of a fuller target first.
func TestEmptiestOfEqualTargetsIsChosen(t *testing.T) {
	r := newRig(t)
	for i, committed := range []int64{24_000, 6_000, 15_000} {
		name := fmt.Sprintf("t%d", i)
		r.agent(name, 32_000)
		r.report(name, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: committed}, 40*ms })
	}
	r.submit(jobOf("j", 1, 100*ms))
	if got := r.placed(); got["t1"] != 1 {
		t.Fatalf("placed %v", got)
	}
}

// Other gateways have filled a target since its last load: a task that cannot
// begin there goes to a free target at once, and after two such targets waits for
// its turn.
func TestTaskOfAFilledTargetGoesToAFreeOne(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.agent(fmt.Sprintf("t%d", i), 32_000)
	}
	r.submit(jobOf("j", 1, 100*ms))
	for n := 1; n <= 3; n++ {
		if len(r.orders) != n {
			t.Fatalf("%d orders after %d attempts", len(r.orders), n)
		}
		o := r.orders[n-1]
		if want := n <= 2; o.AtOnce != want {
			t.Fatalf("attempt %d: at once %v", n, o.AtOnce)
		}
		if n < 3 {
			r.after(3 * ms)
			r.report(o.Link, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 32_000}, 100*ms },
				eventOf("j", 0, n, task.NotStarted, task.ReasonBusy))
		}
	}
	if r.orders[0].Link == r.orders[1].Link || r.orders[1].Link == r.orders[2].Link {
		t.Fatalf("the task went back to a full target: %v", r.placed())
	}
}

// No target has a free place: tasks wait at the best one and do not come back.
func TestTasksWaitWhereAllTargetsAreFull(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		name := fmt.Sprintf("t%d", i)
		r.agent(name, 32_000)
		r.report(name, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 31_000}, 20*ms })
	}
	r.submit(jobOf("j", 2, 100*ms))
	for _, o := range r.orders {
		if o.AtOnce {
			t.Fatalf("%+v comes back although all targets are full", o)
		}
	}
	if len(r.orders) == 0 {
		t.Fatal("no order")
	}
}
