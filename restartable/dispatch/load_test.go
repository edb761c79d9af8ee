package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Each test in this file covers one pattern of load or failures.

// A service has fast and slow targets. Guards against long tasks on idle slow
// targets, where they cannot end in time, instead of on half-full fast ones.
func TestLongTasksGoToFastTargets(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.addAgent(fmt.Sprintf("fast%d", i), 32_000)
		r.addAgent(fmt.Sprintf("slow%d", i), 32_000)
	}
	for i := range 4 {
		r.report(fmt.Sprintf("fast%d", i), func(l *Load) {
			l.Slowness, l.Committed, l.Backlog = 0.7, task.Resources{CPUMillis: 16_000}, 40*ms
		})
		slow := fmt.Sprintf("slow%d", i)
		r.core.AgentTarget(slow, TargetInfo{Target: slow, Service: "s", Kind: "b", Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
		r.report(slow, func(l *Load) { l.Slowness = 1.9 })
	}
	r.submit(newSubmission("long", 4, 900*ms))
	for link, n := range r.placedTasks() {
		if link[:4] != "fast" {
			t.Errorf("%d long tasks on %s", n, link)
		}
	}
}

// A burst of equal jobs exceeds the capacity. Guards against accepting more than
// the targets can complete in time, and against refusals that are not immediate.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		r.addAgent(fmt.Sprintf("t%d", i), 30_000)
	}
	for i := range 60 {
		r.submit(newSubmission(fmt.Sprintf("j%d", i), 2, 200*ms))
	}
	refused := 0
	for _, a := range r.answers {
		if a.State != NotRun || a.Cause != CauseOverload || a.RetryAfter <= 0 {
			t.Fatalf("answer %+v, want a refusal for overload with a retry time", a)
		}
		refused++
	}
	// 30 tasks run at a time; within the objective of 380 ms each target can
	// complete about one more round.
	taken := 60 - refused
	if taken < 15 || taken > 35 {
		t.Fatalf("%d of 60 jobs accepted, want 15 to 35", taken)
	}
}

// Guards against refusing a job, although a target is idle, because its estimate is
// far above those of the other jobs in its queue: most such estimates are wrong.
func TestImplausibleEstimateIsTried(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	rng := rand.New(rand.NewPCG(3, 4))
	e := r.core.estimator("q")
	for range 400 {
		run := 0.9 * math.Exp(0.3*rng.NormFloat64())
		estimate := run * math.Exp(0.4*rng.NormFloat64())
		e.observe(time.Duration(estimate*float64(time.Second)), time.Duration(run*float64(time.Second)), 1)
	}
	if got := e.predict(2500 * ms); got < 1000*ms || got > 1700*ms {
		t.Fatalf("the prediction for an estimate of 2.5 s is %v, want 1 s to 1.7 s", got)
	}
	r.submit(newSubmission("j", 2, 2500*ms))
	if len(r.orders) == 0 {
		t.Fatalf("answer %+v although a target is idle", r.answers["j"])
	}
}

// Guards against placing tasks on a target that has become slow while others are
// free: it gets single probes only.
func TestSlowTargetIsOnlyProbed(t *testing.T) {
	r := newRig(t)
	r.addAgent("ok", 32_000)
	r.addAgent("slow", 32_000)
	r.report("slow", func(l *Load) { l.Anomaly = 6 })
	for i := range 3 {
		r.submit(newSubmission(fmt.Sprintf("j%d", i), 2, 100*ms))
	}
	if got := r.placedTasks(); got["slow"] > 1 {
		t.Fatalf("placed %v, want at most one probe on the slow target", got)
	}
}

// A target that fails all its tasks ends them quickly and so looks idle. Guards
// against a target that attracts tasks for that reason: it gets single probes only.
func TestFailingTargetIsOnlyProbed(t *testing.T) {
	r := newRig(t)
	r.addAgent("ok", 32_000)
	r.addAgent("ok2", 32_000)
	r.addAgent("bad", 32_000)
	r.report("ok", func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 31_000}, 200*ms })
	r.report("bad", func(l *Load) { l.FailedShare = 0.8 })
	for i := range 6 {
		r.submit(newSubmission(fmt.Sprintf("j%d", i), 1, 100*ms))
	}
	if got := r.placedTasks(); got["bad"] > 1 {
		t.Fatalf("placed %v, want at most one probe on the failing target", got)
	}
	r.advance(2 * time.Second)
	for _, a := range []string{"ok", "ok2", "bad"} {
		r.report(a, func(l *Load) { l.FailedShare = 0.1 })
	}
	r.core.byLink["bad"].placed = map[task.ID]*taskRecord{}
	r.submit(newSubmission("probe", 1, 100*ms))
	if last := r.orders[len(r.orders)-1]; last.Link != "bad" {
		t.Fatalf("order %+v, want a probe of the avoided target", last)
	}
}

// Half of the agents disconnect. Guards against jobs on them that are not answered
// immediately, and against placing new jobs on them.
func TestJobsOnDisconnectedAgentsAreAnsweredAtOnce(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.addAgent(fmt.Sprintf("t%d", i), 4_000)
	}
	for i := range 4 {
		r.submit(newSubmission(fmt.Sprintf("j%d", i), 1, 100*ms))
	}
	r.core.AgentDown(r.now, "t0")
	r.core.AgentDown(r.now, "t1")
	r.collect()
	if len(r.answers) != 2 {
		t.Fatalf("%d answers for two jobs on disconnected agents", len(r.answers))
	}
	r.submit(newSubmission("new", 1, 100*ms))
	last := r.orders[len(r.orders)-1]
	if last.Step.Job != "new" || (last.Link != "t2" && last.Link != "t3") {
		t.Fatalf("order %+v, want the new job on a connected agent", last)
	}
}

// Under overload with a wrong prediction, one task of a job expires in its agent's
// queue while another one runs. Guards against aborting the job: its finished work
// would be lost, and its caller could not be told that nothing has run.
func TestStartedJobIsNotAbortedForAnExpiredTask(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 4_000)
	r.addAgent("b", 4_000)
	r.submit(newSubmission("j", 2, 100*ms))
	if got := r.placedTasks(); got["a"] != 1 || got["b"] != 1 {
		t.Fatalf("placed %v, want one task on each agent", got)
	}
	r.reportEvent("a", newEvent("j", r.orders[0].Tasks[0].Index, 1, task.Started, ""))
	r.advance(100 * ms)
	busy := func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 6_000}, 150*ms }
	r.report("a", busy)
	r.report("b", busy, newEvent("j", r.orders[1].Tasks[0].Index, 1, task.NotStarted, task.ReasonExpired))
	if len(r.answers) != 0 {
		t.Fatalf("answers %v, want none", r.answers)
	}
	if len(r.orders) != 3 || r.orders[2].StartWithin < 500*ms {
		t.Fatalf("orders %+v, want a third one that may wait at least 500 ms", r.orders)
	}
}

// All runs on one target hang, which shows first in its short tasks. Guards against
// long tasks that are not recalled from it at that point, against new tasks on it,
// and against trusting it again before a probe has succeeded.
func TestHangingTargetIsRecalledFromAndProbed(t *testing.T) {
	r := newRig(t)
	r.addAgent("bad", 32_000)
	r.submit(newSubmission("long", 2, 600*ms))
	if got := r.placedTasks(); got["bad"] != 2 {
		t.Fatalf("placed %v, want two tasks on the only target", got)
	}
	for _, a := range []string{"ok1", "ok2", "ok3"} {
		r.addAgent(a, 32_000)
	}
	r.advance(200 * ms)
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
		r.reportEvent("bad", newEvent("long", i, 1, task.Stopped, ""))
	}
	if got := r.placedTasks(); got["bad"] != 2 {
		t.Fatalf("placed %v after the recall, want no more tasks on the bad target", got)
	}
	r.report("bad", func(*Load) {})
	r.submit(newSubmission("long2", 4, 600*ms))
	if got := r.placedTasks(); got["bad"] != 2 {
		t.Fatalf("placed %v before a probe has succeeded, want no more tasks on the bad target", got)
	}
	a := r.core.byLink["bad"]
	a.doneSinceAvoided = 1
	r.report("bad", func(*Load) {})
	if a.avoided {
		t.Fatal("the target is still avoided after a probe has succeeded")
	}
}

// After a power loss, jobs reach a gateway before the first agents have dialled it.
// Guards against refusing jobs for which a target connects 100 ms later. If no
// agent connects, they must still be refused long before their deadline.
func TestJobsWaitForTheFirstAgentsAfterAStart(t *testing.T) {
	for _, attached := range []bool{true, false} {
		r := newRig(t)
		r.core.SetStartTime(r.now)
		r.submit(newSubmission("j", 2, 200*ms))
		if len(r.answers) != 0 {
			t.Fatalf("answers %v before agents could connect, want none", r.answers)
		}
		for range 10 {
			r.advance(10 * ms)
			r.core.Tick(r.now)
		}
		if attached {
			r.addAgent("a", 32_000)
		}
		for range 45 {
			r.advance(10 * ms)
			r.core.Tick(r.now)
		}
		r.collect()
		if attached && len(r.orders) != 1 {
			t.Errorf("orders %+v after an agent has connected, want 1", r.orders)
		}
		if !attached {
			r.wantAnswer("j", NotRun, CauseNoTarget)
		}
	}
}

// All targets look slow, for example because one kind of task has changed. Guards
// against avoiding all of them.
func TestAtMostHalfOfTheTargetsAreAvoided(t *testing.T) {
	r := newRig(t)
	for i := range 6 {
		r.addAgent(fmt.Sprintf("t%d", i), 32_000)
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
		t.Fatalf("%d of 6 targets are avoided, want 3", avoided)
	}
}

// Under overload with a wrong prediction, a task of a job expires in its agent's
// queue before any task has started. Guards against telling the caller that the job
// has not run before the agents have dropped the other tasks, or although one of
// them has started after all.
func TestUnstartedJobIsAnsweredAfterAgentsConfirmItsRevocation(t *testing.T) {
	for _, late := range []task.Outcome{task.NotStarted, task.Stopped} {
		r := newRig(t)
		r.addAgent("a", 4_000)
		r.addAgent("b", 4_000)
		r.submit(newSubmission("j", 2, 100*ms))
		r.advance(100 * ms)
		busy := func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 40_000}, 900*ms }
		r.report("a", busy)
		r.report("b", busy, newEvent("j", r.orders[1].Tasks[0].Index, 1, task.NotStarted, task.ReasonExpired))
		if len(r.answers) != 0 || len(r.stops) != 1 || r.stops[0].Link != "a" {
			t.Fatalf("answers %v, stops %v before the agents have confirmed; want no answer and one stop", r.answers, r.stops)
		}
		r.reportEvent("a", newEvent("j", r.orders[0].Tasks[0].Index, 1, late, task.ReasonRevoked))
		if late == task.NotStarted {
			r.wantAnswer("j", NotRun, CauseOverload)
		} else {
			r.wantAnswer("j", Unfinished, CauseOverload)
		}
	}
}

// After a power loss of all VMs, the first runs of a slow target end in a burst,
// before the statistics of its kind are computed anew. Guards against a target that
// then looks as if its tasks took no time: on bondline-th scale-2 such
// targets got dozens of tasks, which were recalled 50 ms later.
func TestFirstRunsOfASlowTargetDoNotMakeItLookFast(t *testing.T) {
	r := newRig(t)
	speeds := map[string]float64{"slow": 1.7, "fast-1": 0.7, "fast-2": 0.7}
	for name := range speeds {
		r.addAgent(name, 32_000)
		r.report(name, func(l *Load) { l.Slowness, l.Samples = speeds[name], 5 })
	}
	r.advance(statsInterval)
	slowness := func(name string) float64 { return r.core.slowness(r.now, r.core.byLink[name]) }
	slowness("slow")
	for samples := 6; samples <= 30; samples++ {
		r.advance(ms)
		r.report("slow", func(l *Load) { l.Slowness, l.Samples = speeds["slow"], samples })
		for name := range speeds {
			if got := slowness(name); got < 0.65 || got > 1.75 {
				t.Fatalf("with %d samples of the slow target, the slowness of %s is predicted as %.3f", samples, name, got)
			}
		}
	}
}

// Many gateways choose among equal targets. Guards against choosing a fuller target
// than necessary, whose free capacity other gateways may take first.
func TestEmptiestOfEqualTargetsIsChosen(t *testing.T) {
	r := newRig(t)
	for i, committed := range []int64{24_000, 6_000, 15_000} {
		name := fmt.Sprintf("t%d", i)
		r.addAgent(name, 32_000)
		r.report(name, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: committed}, 40*ms })
	}
	r.submit(newSubmission("j", 1, 100*ms))
	if got := r.placedTasks(); got["t1"] != 1 {
		t.Fatalf("placed %v, want the task on the emptiest target t1", got)
	}
}

// Other gateways have filled a target since its last load report. Guards against a
// task that then waits there instead of going to a free target, and against a task
// that is refused again and again: after two refusals it waits in a queue.
func TestTaskRefusedAsBusyGoesToAFreeTarget(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.addAgent(fmt.Sprintf("t%d", i), 32_000)
	}
	r.submit(newSubmission("j", 1, 100*ms))
	for n := 1; n <= 3; n++ {
		if len(r.orders) != n {
			t.Fatalf("%d orders, want %d", len(r.orders), n)
		}
		o := r.orders[n-1]
		if want := n <= 2; o.AtOnce != want {
			t.Fatalf("attempt %d: AtOnce is %v", n, o.AtOnce)
		}
		if n < 3 {
			r.advance(3 * ms)
			r.report(o.Link, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 32_000}, 100*ms },
				newEvent("j", 0, n, task.NotStarted, task.ReasonBusy))
		}
	}
	if r.orders[0].Link == r.orders[1].Link || r.orders[1].Link == r.orders[2].Link {
		t.Fatalf("the task was placed on a full target again: %v", r.placedTasks())
	}
}

// All targets are full. Guards against tasks that are refused by a target instead of
// waiting in its queue, although no other target could start them sooner.
func TestTasksAreQueuedWhenAllTargetsAreFull(t *testing.T) {
	r := newRig(t)
	for i := range 3 {
		name := fmt.Sprintf("t%d", i)
		r.addAgent(name, 32_000)
		r.report(name, func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 31_000}, 20*ms })
	}
	r.submit(newSubmission("j", 2, 100*ms))
	for _, o := range r.orders {
		if o.AtOnce {
			t.Fatalf("order %+v requires an immediate start although all targets are full", o)
		}
	}
	if len(r.orders) == 0 {
		t.Fatal("no tasks were placed")
	}
}
