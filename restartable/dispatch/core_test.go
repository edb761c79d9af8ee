package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const ms = time.Millisecond

// rig calls a Core on a manual clock and collects its orders, stops and answers.
type rig struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	orders  []Order
	stops   []Stop
	answers map[string]Answer
}

func newRig(t *testing.T) *rig {
	return &rig{t: t, core: NewCore(DefaultOptions("z1")), now: time.Minute, answers: map[string]Answer{}}
}

func (r *rig) collect() {
	a := r.core.Take()
	checkOrders(r.t, a)
	r.orders = append(r.orders, a.Orders...)
	r.stops = append(r.stops, a.Stops...)
}

func (r *rig) advance(d time.Duration) { r.now += d }

// addAgent adds an agent with an idle target.
func (r *rig) addAgent(name string, cpu int64) {
	r.core.AgentUp(r.now, AgentInfo{Link: name, Name: name, Zone: "z1", Process: 1})
	r.core.AgentTarget(name, TargetInfo{Target: name, Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: cpu, MemoryMB: 60_000}})
	r.report(name, func(*Load) {})
}

// report reports a load of an agent. It includes all orders.
func (r *rig) report(name string, change func(l *Load), ends ...AttemptEvent) {
	l := Load{Accepting: true, Slowness: 1, Anomaly: 1, Samples: 500, OrdersSeen: 1 << 30}
	change(&l)
	r.core.Report(r.now, name, &l, ends)
	r.collect()
}

// reportEvent reports an event of an agent without a load.
func (r *rig) reportEvent(agent string, e AttemptEvent) {
	r.advance(ms)
	r.core.Report(r.now, agent, nil, []AttemptEvent{e})
	r.collect()
}

var testQueue = queues.Queue{
	Name: "q", Service: "s", MaxAttempts: 2, Timeout: 1500 * ms, StretchFactor: 1.6, TargetLatency: 60 * ms,
}

func newSubmission(id string, tasks int, estimate time.Duration) Submission {
	return Submission{
		ID: id, Queue: testQueue, Spec: "x", Wait: testQueue.Timeout,
		Steps: []Step{{Tasks: tasks, Needs: task.Resources{CPUMillis: 3000, MemoryMB: 10}, Estimate: estimate}},
	}
}

func (r *rig) submit(s Submission) {
	r.core.Submit(r.now, s, &Caller{Answer: func(a Answer) { r.answers[s.ID] = a }})
	r.collect()
}

// placedTasks returns the number of tasks that each agent was sent.
func (r *rig) placedTasks() map[string]int {
	out := map[string]int{}
	for _, o := range r.orders {
		out[o.Link] += len(o.Tasks)
	}
	return out
}

// newEvent returns an event of an attempt of a task.
func newEvent(job string, index, attempt int, o task.Outcome, reason task.Reason) AttemptEvent {
	return AttemptEvent{Task: task.ID{StepID: task.StepID{Job: job}, Index: index}, Attempt: attempt, Outcome: o, Reason: reason, RunTime: 100 * ms}
}

func (r *rig) wantAnswer(id string, state State, cause Cause) {
	r.t.Helper()
	a, ok := r.answers[id]
	if !ok {
		r.t.Fatalf("job %s has no answer", id)
	}
	if a.State != state || a.Cause != cause {
		r.t.Fatalf("job %s: %v (%s), want %v (%s)", id, a.State, a.Cause, state, cause)
	}
}

// Guards against a job that is answered before all its tasks are done, or never.
func TestJobIsCompletedByItsLastTask(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newSubmission("j", 2, 100*ms))
	r.reportEvent("a", newEvent("j", 0, 1, task.Done, ""))
	if len(r.answers) != 0 {
		t.Fatalf("answers %v after one of two tasks was done, want none", r.answers)
	}
	r.reportEvent("a", newEvent("j", 1, 1, task.Done, ""))
	r.wantAnswer("j", Completed, CauseNone)
}

// Guards against a job that fails before one of its tasks has failed MaxAttempts
// times, and against other outcomes of attempts that are counted as failures.
func TestJobFailsOnlyAfterMaxAttemptsFailures(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	from := r.orders[0].Link
	r.reportEvent(from, newEvent("j", 0, 1, task.Lost, ""))
	second := r.orders[1].Link
	r.reportEvent(second, newEvent("j", 0, 2, task.Failed, ""))
	if len(r.answers) != 0 {
		t.Fatalf("answers %v after one lost and one failed attempt, want none", r.answers)
	}
	third := r.orders[2].Link
	if third == second {
		t.Fatalf("a failed task was placed on the same target %s again", third)
	}
	r.reportEvent(third, newEvent("j", 0, 3, task.Failed, ""))
	r.wantAnswer("j", Failed, CauseAttempts)
}

// Guards against an answer that says that a job has not run although one of its
// tasks may have started, and against an unfinished answer although no task has.
func TestAnswerIsNotRunOnlyIfNoTaskMayHaveStarted(t *testing.T) {
	cases := map[string]struct {
		run   func(r *rig)
		state State
		cause Cause
	}{
		"no agent": {func(r *rig) { r.submit(newSubmission("j", 1, 100*ms)) }, NotRun, CauseNoTarget},
		"task larger than any target": {func(r *rig) {
			r.addAgent("a", 2_000)
			r.submit(newSubmission("j", 1, 100*ms))
		}, NotRun, CauseTooLarge},
		"estimate beyond the deadline": {func(r *rig) {
			r.addAgent("a", 32_000)
			r.submit(newSubmission("j", 1, 9*time.Second))
		}, NotRun, CauseOverload},
		"durable job": {func(r *rig) {
			r.addAgent("a", 32_000)
			s := newSubmission("j", 1, 100*ms)
			s.Durable = true
			r.submit(s)
		}, NotRun, CauseUnsupported},
		"gang": {func(r *rig) {
			r.addAgent("a", 32_000)
			s := newSubmission("j", 1, 100*ms)
			s.Steps[0].Gang = true
			r.submit(s)
		}, NotRun, CauseUnsupported},
		"agent lost with the task": {func(r *rig) {
			r.addAgent("a", 32_000)
			r.submit(newSubmission("j", 1, 100*ms))
			r.core.AgentDown(r.now, "a")
		}, Unfinished, CauseAgentLost},
		"refused by the only agent, which then drains": {func(r *rig) {
			r.addAgent("a", 32_000)
			r.submit(newSubmission("j", 1, 100*ms))
			r.report("a", func(l *Load) { l.Accepting = false }, newEvent("j", 0, 1, task.NotStarted, task.ReasonDraining))
		}, NotRun, CauseNoTarget},
		"deadline while a task runs": {func(r *rig) {
			r.addAgent("a", 32_000)
			r.submit(newSubmission("j", 1, 100*ms))
			r.advance(1500 * ms)
			r.core.Tick(r.now)
		}, Unfinished, CauseDeadline},
		"run of an earlier submission has not ended": {func(r *rig) {
			r.addAgent("a", 32_000)
			r.submit(newSubmission("j", 1, 100*ms))
			r.reportEvent("a", newEvent("j", 0, 1, task.NotStarted, task.ReasonDuplicate))
		}, Unfinished, CauseEarlierRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			c.run(r)
			r.wantAnswer("j", c.state, c.cause)
		})
	}
}

// Guards against tasks that keep running after their job was aborted, although the
// caller may have submitted it to another gateway.
func TestAbortedJobIsStoppedOnAllAgents(t *testing.T) {
	causes := map[string]func(r *rig){
		"caller left": func(r *rig) { r.core.RemoveCaller(r.now, "j", r.core.jobs["j"].callers[0]) },
		"cancelled":   func(r *rig) { r.core.Cancel(r.now, "j") },
		"deadline": func(r *rig) {
			r.advance(1500 * ms)
			r.core.Tick(r.now)
		},
		"lost agent": func(r *rig) { r.core.AgentDown(r.now, "c") },
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, a := range []string{"a", "b", "c"} {
				r.addAgent(a, 4_000)
			}
			r.submit(newSubmission("j", 3, 100*ms))
			if len(r.placedTasks()) != 3 {
				t.Fatalf("placed %v, want one task on each agent", r.placedTasks())
			}
			cause(r)
			r.collect()
			stopped := map[string]bool{}
			for _, s := range r.stops {
				stopped[s.Link] = s.Job == "j" && s.Attempt == 0
			}
			if !stopped["a"] || !stopped["b"] || (name != "lost agent" && !stopped["c"]) {
				t.Fatalf("stops %v, want one for each connected agent", r.stops)
			}
			before := len(r.orders)
			r.reportEvent("a", newEvent("j", 0, 1, task.Stopped, ""))
			if len(r.orders) != before {
				t.Fatal("a task of an aborted job was placed again")
			}
		})
	}
}

// Guards against a second run of a job that is submitted again while it is in
// progress.
func TestResubmissionJoinsTheJobInProgress(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	joined := false
	r.core.Submit(r.now, newSubmission("j", 1, 100*ms), &Caller{Answer: func(Answer) { joined = true }})
	r.collect()
	if len(r.orders) != 1 {
		t.Fatalf("%d orders for one job, want 1", len(r.orders))
	}
	r.reportEvent("a", newEvent("j", 0, 1, task.Done, ""))
	if !joined || len(r.answers) != 1 {
		t.Fatal("one of the two callers got no answer")
	}
}

// Guards against a job that is aborted when one of its callers leaves although
// another one still waits for the answer.
func TestRemainingCallerIsAnswered(t *testing.T) {
	for _, leaves := range []int{0, 1} {
		r := newRig(t)
		r.addAgent("a", 32_000)
		var answered [2]int
		callers := [2]*Caller{}
		for i := range callers {
			callers[i] = &Caller{Answer: func(Answer) { answered[i]++ }}
			r.core.Submit(r.now, newSubmission("j", 1, 100*ms), callers[i])
		}
		r.core.RemoveCaller(r.now, "j", callers[leaves])
		r.collect()
		r.reportEvent("a", newEvent("j", 0, 1, task.Done, ""))
		if answered[leaves] != 0 || answered[1-leaves] != 1 {
			t.Errorf("caller %d left; answers per caller %v, want one for the other caller only", leaves, answered)
		}
	}
}

// Guards against attempts that a target refuses forever because an earlier
// submission of the job has already used their numbers there.
func TestSupersededAttemptGetsAHigherNumber(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	r.reportEvent("a", newEvent("j", 0, 1, task.NotStarted, task.ReasonSuperseded))
	if got := r.orders[1].Tasks[0].Number; got <= 2 {
		t.Fatalf("attempt number %d after attempt 1 was superseded, want more than 2", got)
	}
}

// Guards against steps that start before the steps that they depend on are done.
func TestStepsWaitForTheirDependencies(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	s := newSubmission("j", 2, 100*ms)
	s.Steps = append(s.Steps, Step{Tasks: 1, Needs: s.Steps[0].Needs, Estimate: 100 * ms, DependsOn: []int{0}})
	r.submit(s)
	r.reportEvent("a", newEvent("j", 0, 1, task.Done, ""))
	if len(r.orders) != 1 {
		t.Fatalf("orders %+v before the first step was done, want 1", r.orders)
	}
	r.reportEvent("a", newEvent("j", 1, 1, task.Done, ""))
	if len(r.orders) != 2 || r.orders[1].Step.Step != 1 {
		t.Fatalf("orders %+v after the first step was done, want one more for the second step", r.orders)
	}
}

// Guards against a run that hangs until its job's deadline although another target
// could still complete the task.
func TestHangingRunIsRecalledAndPlacedElsewhere(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	from := r.orders[0].Link
	for range 30 {
		r.advance(20 * ms)
		r.report("a", func(*Load) {})
		r.report("b", func(*Load) {})
		r.core.Tick(r.now)
		r.collect()
	}
	if len(r.stops) != 1 || r.stops[0].Attempt != 1 || len(r.orders) != 1 {
		t.Fatalf("stops %v, orders %v; want one stop and no second order while the run has not ended", r.stops, r.orders)
	}
	r.reportEvent(from, newEvent("j", 0, 1, task.Stopped, ""))
	if len(r.orders) != 2 || r.orders[1].Link == from {
		t.Fatalf("orders %v after the run was stopped, want a second one to the other agent", r.orders)
	}
}

// Guards against a run that is recalled although it takes no longer than others: its
// task waited longer in the agent's queue than predicted, as at a busy hour.
func TestWaitBeforeTheStartDoesNotMakeARunOverdue(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	tickFor := func(d time.Duration) {
		for end := r.now + d; r.now < end; {
			r.advance(20 * ms)
			r.report("a", func(*Load) {})
			r.report("b", func(*Load) {})
			r.core.Tick(r.now)
			r.collect()
		}
	}
	tickFor(240 * ms)
	r.reportEvent(r.orders[0].Link, newEvent("j", 0, 1, task.Started, ""))
	tickFor(240 * ms)
	if len(r.stops) != 0 {
		t.Fatalf("stops %v after a run of 240 ms that was predicted to take 100 ms", r.stops)
	}
	tickFor(120 * ms)
	if len(r.stops) != 1 {
		t.Fatalf("stops %v after a run of 360 ms, want one", r.stops)
	}
}

// Guards against tasks that are placed on an agent that sends no reports although
// its link is up.
func TestSilentAgentGetsNoWork(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.advance(DefaultOptions("").SuspectAfter + ms)
	r.report("b", func(*Load) {})
	for i := range 4 {
		r.submit(newSubmission(fmt.Sprintf("j%d", i), 1, 100*ms))
	}
	if got := r.placedTasks(); got["a"] != 0 || got["b"] != 4 {
		t.Fatalf("placed %v, want all 4 tasks on the agent that reports", got)
	}
}

// Guards against a task that takes far longer than estimated and is recalled and
// restarted again and again until its deadline.
func TestLongTaskIsRecalledOnlyOnce(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 20*ms))
	for range 60 {
		r.advance(20 * ms)
		r.report("a", func(*Load) {})
		r.report("b", func(*Load) {})
		r.core.Tick(r.now)
		r.collect()
		if n := len(r.stops); n > 0 && n == len(r.orders) {
			last := r.orders[n-1]
			r.reportEvent(last.Link, newEvent("j", 0, last.Tasks[0].Number, task.Stopped, ""))
		}
	}
	if len(r.orders) != 2 || len(r.answers) != 0 {
		t.Fatalf("%d orders within 1.2 s, want 2; answers %v, want none", len(r.orders), r.answers)
	}
}

// Guards against jobs that run twice after a gateway was suspended: their requests
// waited in its connections while their callers resubmitted them to another gateway.
func TestJobsAreRefusedForTheResumeDelayAfterASuspension(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.core.Tick(r.now)
	r.advance(3 * time.Second)
	r.report("a", func(*Load) {})
	r.submit(newSubmission("old", 1, 100*ms))
	r.wantAnswer("old", NotRun, CauseSuspended)
	for range 20 {
		r.advance(20 * ms)
		r.report("a", func(*Load) {})
		r.core.Tick(r.now)
	}
	r.submit(newSubmission("new", 1, 100*ms))
	if len(r.orders) != 1 {
		t.Fatalf("orders %v, answers %v after the refusals that follow a suspension, want one order", r.orders, r.answers)
	}
}

// Guards against a task that runs twice at the same time (TWICE): after a suspension the
// requests that had waited in a gateway's connections took longer to read than the
// gateway refused jobs, and the last of them were run although their callers had
// submitted the jobs to other gateways.
func TestJobsAreRefusedUntilTheBacklogOfASuspensionIsRead(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.core.Tick(r.now)
	r.advance(3 * time.Second)
	lagging := func(tick time.Duration) {
		r.advance(tick)
		r.report("a", func(*Load) {})
		r.core.Tick(r.now)
	}
	for range 6 {
		lagging(100 * ms)
	}
	r.submit(newSubmission("waited", 1, 100*ms))
	r.wantAnswer("waited", NotRun, CauseSuspended)
	for range 20 {
		lagging(20 * ms)
	}
	r.submit(newSubmission("new", 1, 100*ms))
	if len(r.orders) != 1 {
		t.Fatalf("orders %v, answers %v after the backlog was read, want one order", r.orders, r.answers)
	}
}

// Guards against a gateway on a slow VM that refuses all jobs for ever after a
// suspension, since its ticks are always late.
func TestSlowGatewayTakesJobsAgainAfterASuspension(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.core.Tick(r.now)
	r.advance(3 * time.Second)
	for range 30 {
		r.advance(100 * ms)
		r.report("a", func(*Load) {})
		r.core.Tick(r.now)
	}
	r.submit(newSubmission("new", 1, 100*ms))
	if len(r.orders) != 1 {
		t.Fatalf("orders %v, answers %v, want one order", r.orders, r.answers)
	}
}

// Guards against a task that runs twice at the same time (TWICE): a resumed gateway first
// read reports that had waited in its links, and placed further tasks of jobs whose
// callers had submitted them to other gateways meanwhile.
func TestJobsInProgressAreNotPlacedRightAfterASuspension(t *testing.T) {
	for name, outcome := range map[string]task.Outcome{"next step": task.Done, "another attempt": task.Failed} {
		r := newRig(t)
		r.addAgent("a", 32_000)
		r.addAgent("b", 32_000)
		r.core.Tick(r.now)
		s := newSubmission("j", 1, 100*ms)
		s.Queue.Timeout, s.Wait = 20*time.Second, 20*time.Second
		s.Steps = append(s.Steps, Step{Tasks: 1, Needs: s.Steps[0].Needs, Estimate: 100 * ms, DependsOn: []int{0}})
		r.submit(s)
		first := r.orders[0]
		r.advance(3 * time.Second)
		r.addAgent("c", 32_000)
		r.reportEvent(first.Link, AttemptEvent{Task: task.ID{StepID: first.Step, Index: 0}, Attempt: 1, Outcome: outcome, RunTime: 100 * ms})
		r.core.Tick(r.now)
		r.collect()
		if len(r.orders) != 1 {
			t.Errorf("%s: an order right after the suspension", name)
		}
		for range 20 {
			r.advance(20 * ms)
			r.report("c", func(*Load) {})
			r.core.Tick(r.now)
			r.collect()
		}
		if len(r.orders) != 2 {
			t.Errorf("%s: %d orders after the delay, want 2", name, len(r.orders))
		}
	}
}

// Guards against an untrue "not run": a start without an answer that was found not to
// have begun can be executed seconds later, by the next incarnation of its target.
func TestJobWithAnUnansweredStartIsNotAnsweredAsNotRun(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	o := r.orders[0]
	r.report("a", func(l *Load) { l.Accepting = false })
	r.reportEvent(o.Link, AttemptEvent{Task: task.ID{StepID: o.Step, Index: 0}, Attempt: 1, Outcome: task.NotStarted, Reason: task.ReasonUnanswered})
	r.wantAnswer("j", Unfinished, CauseNoTarget)
}
