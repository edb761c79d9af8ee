package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const ms = time.Millisecond

// rig drives a core by hand.
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
	r.orders = append(r.orders, a.Orders...)
	r.stops = append(r.stops, a.Stops...)
}

func (r *rig) after(d time.Duration) { r.now += d }

// agent adds an agent with a free target.
func (r *rig) agent(name string, cpu int64) {
	r.core.AgentUp(r.now, AgentInfo{Link: name, Name: name, Zone: "z1"})
	r.core.AgentTarget(name, TargetInfo{Target: name, Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: cpu, MemoryMB: 60_000}})
	r.report(name, func(*Load) {})
}

// report sends a load that includes all orders.
func (r *rig) report(name string, change func(l *Load), ends ...AttemptEvent) {
	l := Load{Accepting: true, Slowness: 1, Anomaly: 1, Samples: 500, OrdersSeen: 1 << 30}
	change(&l)
	r.core.Report(r.now, name, &l, ends)
	r.collect()
}

// end reports the end of an attempt without a load.
func (r *rig) end(agent string, e AttemptEvent) {
	r.after(ms)
	r.core.Report(r.now, agent, nil, []AttemptEvent{e})
	r.collect()
}

var queue = queues.Queue{
	Name: "q", Service: "s", MaxAttempts: 2, Timeout: 1500 * ms, StretchFactor: 1.6, TargetLatency: 60 * ms,
}

func jobOf(id string, tasks int, estimate time.Duration) Submission {
	return Submission{
		ID: id, Queue: queue, Spec: "x", Wait: time.Minute,
		Steps: []Step{{Tasks: tasks, Needs: task.Resources{CPUMillis: 3000, MemoryMB: 10}, Estimate: estimate}},
	}
}

func (r *rig) submit(s Submission) {
	r.core.Submit(r.now, s, &Caller{Answer: func(a Answer) { r.answers[s.ID] = a }})
	r.collect()
}

// placed returns how many tasks each agent was sent.
func (r *rig) placed() map[string]int {
	out := map[string]int{}
	for _, o := range r.orders {
		out[o.Link] += len(o.Tasks)
	}
	return out
}

// eventOf returns an event for the n-th attempt of a task.
func eventOf(job string, index, attempt int, o task.Outcome, reason task.Reason) AttemptEvent {
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

// Guards against an answer before every task has ended, and against none.
func TestJobIsCompletedByItsLastTask(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.submit(jobOf("j", 2, 100*ms))
	r.end("a", eventOf("j", 0, 1, task.Done, ""))
	if len(r.answers) != 0 {
		t.Fatalf("answered %v after one of two tasks", r.answers)
	}
	r.end("a", eventOf("j", 1, 1, task.Done, ""))
	r.wantAnswer("j", Completed, CauseNone)
}

// Guards against a job that counts as failed although a task has not failed as
// often as the queue allows, or for any other end than a failure.
func TestFailedOnlyAfterTheAllowedFailures(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.agent("b", 32_000)
	r.submit(jobOf("j", 1, 100*ms))
	from := r.orders[0].Link
	r.end(from, eventOf("j", 0, 1, task.Lost, ""))
	second := r.orders[1].Link
	r.end(second, eventOf("j", 0, 2, task.Failed, ""))
	if len(r.answers) != 0 {
		t.Fatalf("answered %v after one failure and one loss", r.answers)
	}
	third := r.orders[2].Link
	if third == second {
		t.Fatalf("the retry of a failed task went to the same target %s", third)
	}
	r.end(third, eventOf("j", 0, 3, task.Failed, ""))
	r.wantAnswer("j", Failed, CauseAttempts)
}

// Guards against a refusal that says that a job has not run while a task of it
// may have started, and against a caller that is sent into a retry although
// nothing has.
func TestRefusalSaysOnlyWhatIsKnown(t *testing.T) {
	cases := map[string]struct {
		run   func(r *rig)
		state State
		cause Cause
	}{
		"no agent": {func(r *rig) { r.submit(jobOf("j", 1, 100*ms)) }, NotRun, CauseNoTarget},
		"task larger than every target": {func(r *rig) {
			r.agent("a", 2_000)
			r.submit(jobOf("j", 1, 100*ms))
		}, NotRun, CauseTooLarge},
		"never in time": {func(r *rig) {
			r.agent("a", 32_000)
			r.submit(jobOf("j", 1, 9*time.Second))
		}, NotRun, CauseOverload},
		"stored job": {func(r *rig) {
			r.agent("a", 32_000)
			s := jobOf("j", 1, 100*ms)
			s.Durable = true
			r.submit(s)
		}, NotRun, CauseUnsupported},
		"gang": {func(r *rig) {
			r.agent("a", 32_000)
			s := jobOf("j", 1, 100*ms)
			s.Steps[0].Gang = true
			r.submit(s)
		}, NotRun, CauseUnsupported},
		"agent lost with the task": {func(r *rig) {
			r.agent("a", 32_000)
			r.submit(jobOf("j", 1, 100*ms))
			r.core.AgentDown(r.now, "a")
		}, Unfinished, CauseAgentLost},
		"bounced, then no agent": {func(r *rig) {
			r.agent("a", 32_000)
			r.submit(jobOf("j", 1, 100*ms))
			r.report("a", func(l *Load) { l.Accepting = false }, eventOf("j", 0, 1, task.NotStarted, task.ReasonDraining))
		}, NotRun, CauseNoTarget},
		"deadline with a task at work": {func(r *rig) {
			r.agent("a", 32_000)
			r.submit(jobOf("j", 1, 100*ms))
			r.after(1500 * ms)
			r.core.Tick(r.now)
		}, Unfinished, CauseDeadline},
		"a run of an earlier submission has not ended": {func(r *rig) {
			r.agent("a", 32_000)
			r.submit(jobOf("j", 1, 100*ms))
			r.end("a", eventOf("j", 0, 1, task.NotStarted, task.ReasonDuplicate))
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

// Guards against work that goes on for a job that has been given up: the caller
// may submit it again to another gateway.
func TestGivenUpJobIsStoppedEverywhere(t *testing.T) {
	causes := map[string]func(r *rig){
		"caller left": func(r *rig) { r.core.Leave(r.now, "j", r.core.jobs["j"].callers[0]) },
		"cancelled":   func(r *rig) { r.core.Cancel(r.now, "j") },
		"deadline": func(r *rig) {
			r.after(1500 * ms)
			r.core.Tick(r.now)
		},
		"lost agent": func(r *rig) { r.core.AgentDown(r.now, "c") },
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, a := range []string{"a", "b", "c"} {
				r.agent(a, 4_000)
			}
			r.submit(jobOf("j", 3, 100*ms))
			if len(r.placed()) != 3 {
				t.Fatalf("placed %v, want one task on each", r.placed())
			}
			cause(r)
			r.collect()
			stopped := map[string]bool{}
			for _, s := range r.stops {
				stopped[s.Link] = s.Job == "j" && s.Attempt == 0
			}
			if !stopped["a"] || !stopped["b"] || (name != "lost agent" && !stopped["c"]) {
				t.Fatalf("stops %v", r.stops)
			}
			before := len(r.orders)
			r.end("a", eventOf("j", 0, 1, task.Stopped, ""))
			if len(r.orders) != before {
				t.Fatal("a task of a job that was given up was placed again")
			}
		})
	}
}

// Guards against a caller's second submission that runs beside its first one.
func TestSubmissionInProgressIsJoined(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.submit(jobOf("j", 1, 100*ms))
	joined := false
	r.core.Submit(r.now, jobOf("j", 1, 100*ms), &Caller{Answer: func(Answer) { joined = true }})
	r.collect()
	if len(r.orders) != 1 {
		t.Fatalf("%d orders for one job", len(r.orders))
	}
	r.end("a", eventOf("j", 0, 1, task.Done, ""))
	if !joined || len(r.answers) != 1 {
		t.Fatal("a caller got no answer")
	}
}

// Guards against an answer that is withheld from a caller who waits, since
// another caller of the same job has left.
func TestCallerWhoStaysIsAnswered(t *testing.T) {
	for _, leaves := range []int{0, 1} {
		r := newRig(t)
		r.agent("a", 32_000)
		var answered [2]int
		callers := [2]*Caller{}
		for i := range callers {
			callers[i] = &Caller{Answer: func(Answer) { answered[i]++ }}
			r.core.Submit(r.now, jobOf("j", 1, 100*ms), callers[i])
		}
		r.core.Leave(r.now, "j", callers[leaves])
		r.collect()
		r.end("a", eventOf("j", 0, 1, task.Done, ""))
		if answered[leaves] != 0 || answered[1-leaves] != 1 {
			t.Errorf("caller %d left; answers %v", leaves, answered)
		}
	}
}

// Guards against attempts that a target refuses for ever since an earlier
// submission of the job has used their numbers there.
func TestSupersededAttemptGetsAHigherNumber(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.submit(jobOf("j", 1, 100*ms))
	r.end("a", eventOf("j", 0, 1, task.NotStarted, task.ReasonSuperseded))
	if got := r.orders[1].Tasks[0].Number; got <= 2 {
		t.Fatalf("attempt %d after attempt 1 was superseded", got)
	}
}

// Guards against steps that start before those they build on.
func TestStepsWaitForEarlierOnes(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	s := jobOf("j", 2, 100*ms)
	s.Steps = append(s.Steps, Step{Tasks: 1, Needs: s.Steps[0].Needs, Estimate: 100 * ms, DependsOn: []int{0}})
	r.submit(s)
	r.end("a", eventOf("j", 0, 1, task.Done, ""))
	if len(r.orders) != 1 {
		t.Fatalf("orders %+v before the first step was done", r.orders)
	}
	r.end("a", eventOf("j", 1, 1, task.Done, ""))
	if len(r.orders) != 2 || r.orders[1].Step.Step != 1 {
		t.Fatalf("orders %+v after the first step", r.orders)
	}
}

// Guards against runs that hang until their job's deadline although another
// target could still do them.
func TestHangingRunIsRecalledAndPlacedElsewhere(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.agent("b", 32_000)
	r.submit(jobOf("j", 1, 100*ms))
	from := r.orders[0].Link
	for range 30 {
		r.after(20 * ms)
		r.report("a", func(*Load) {})
		r.report("b", func(*Load) {})
		r.core.Tick(r.now)
		r.collect()
	}
	if len(r.stops) != 1 || r.stops[0].Attempt != 1 || len(r.orders) != 1 {
		t.Fatalf("stops %v, orders %v; want one stop and nothing beside the run", r.stops, r.orders)
	}
	r.end(from, eventOf("j", 0, 1, task.Stopped, ""))
	if len(r.orders) != 2 || r.orders[1].Link == from {
		t.Fatalf("orders %v after the run was stopped", r.orders)
	}
}

// Guards against work for an agent that has gone silent while its link is up.
func TestSilentAgentGetsNoWork(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.agent("b", 32_000)
	r.after(DefaultOptions("").SuspectAfter + ms)
	r.report("b", func(*Load) {})
	for i := range 4 {
		r.submit(jobOf(fmt.Sprintf("j%d", i), 1, 100*ms))
	}
	if got := r.placed(); got["a"] != 0 || got["b"] != 4 {
		t.Fatalf("placed %v", got)
	}
}

// Guards against a task that is far longer than its estimate and is stopped and
// started again until its deadline.
func TestLongTaskIsRecalledOnlyOnce(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.agent("b", 32_000)
	r.submit(jobOf("j", 1, 20*ms))
	for range 60 {
		r.after(20 * ms)
		r.report("a", func(*Load) {})
		r.report("b", func(*Load) {})
		r.core.Tick(r.now)
		r.collect()
		if n := len(r.stops); n > 0 && n == len(r.orders) {
			last := r.orders[n-1]
			r.end(last.Link, eventOf("j", 0, last.Tasks[0].Number, task.Stopped, ""))
		}
	}
	if len(r.orders) != 2 || len(r.answers) != 0 {
		t.Fatalf("%d orders within 1.2 s, answers %v", len(r.orders), r.answers)
	}
}

// Guards against requests that waited in the connections of a suspended gateway
// and run there although their callers have sent them to another one.
func TestNoJobIsTakenRightAfterASuspension(t *testing.T) {
	r := newRig(t)
	r.agent("a", 32_000)
	r.core.Tick(r.now)
	r.after(3 * time.Second)
	r.report("a", func(*Load) {})
	r.submit(jobOf("old", 1, 100*ms))
	r.wantAnswer("old", NotRun, CauseSuspended)
	for range 20 {
		r.after(20 * ms)
		r.report("a", func(*Load) {})
		r.core.Tick(r.now)
	}
	r.submit(jobOf("new", 1, 100*ms))
	if len(r.orders) != 1 {
		t.Fatalf("orders %v, answers %v after the gateway had settled", r.orders, r.answers)
	}
}
