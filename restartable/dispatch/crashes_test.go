package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// longSubmission returns a job whose queue leaves the time for many attempts.
func longSubmission(id string, tasks int) Submission {
	s := newSubmission(id, tasks, 50*ms)
	s.Queue.Timeout, s.Wait = time.Minute, time.Minute
	return s
}

// placedOn returns the agent and the number of the last attempt of a task.
func (r *rig) placedOn(job string, index int) (string, int) {
	agent, attempt := "", 0
	for _, o := range r.orders {
		for _, t := range o.Tasks {
			if o.Step.Job == job && t.Index == index && t.Number > attempt {
				agent, attempt = o.Link, t.Number
			}
		}
	}
	return agent, attempt
}

// crash reports the crash of an agent's target under a task of a job, with the
// suspicion against the job.
func (r *rig) crash(job string, index int, suspicion float64, certain bool) {
	r.advance(ms)
	agent, attempt := r.placedOn(job, index)
	e := newEvent(job, index, attempt, task.Lost, task.ReasonTargetRestarted)
	r.core.TargetCrashed(r.now, agent, Crash{Incarnation: int64(r.now), Certain: certain, Runs: []LostRun{{Task: e.Task, Attempt: attempt, Queue: testQueue.Name, Accepted: true, Suspicion: suspicion}}})
	r.core.Report(r.now, agent, nil, []AttemptEvent{e})
	r.collect()
}

// tickFor ticks the core for a time, with reports of all agents.
func (r *rig) tickFor(d time.Duration, agents int) {
	for end := r.now + d; r.now < end; {
		r.advance(20 * ms)
		for i := range agents {
			r.report(agentName(i), func(*Load) {})
		}
		r.core.Tick(r.now)
		r.collect()
	}
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

// newCrashRig returns a rig with idle agents.
func newCrashRig(t *testing.T, agents int) *rig {
	r := newRig(t)
	for i := range agents {
		r.addAgent(agentName(i), 32_000)
	}
	return r
}

// Guards against a task that crashes one target after another (a poison pill): only
// failed attempts counted towards a limit, those lost with their target did not.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		suspicion float64
		certain   bool
		crashes   int
		state     State
	}{
		"suspect":                 {0.9, true, maxCrashes, Failed},
		"hardly suspect":          {0.1, true, maxInnocentCrashes, Unfinished},
		"targets only unanswered": {0.9, false, maxCrashes, Unfinished},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t, 6)
			r.submit(longSubmission("j", 1))
			for n := range k.crashes {
				if len(r.answers) != 0 {
					t.Fatalf("answers %v after %d crashes", r.answers, n)
				}
				r.crash("j", 0, k.suspicion, k.certain)
				r.tickFor(100*ms, 6)
			}
			r.wantAnswer("j", k.state, CauseCrashes)
			if _, attempt := r.placedOn("j", 0); attempt != k.crashes {
				t.Errorf("%d attempts, want %d", attempt, k.crashes)
			}
		})
	}
}

// Guards against a job that is answered as failed although its runs may not have begun
// before their targets crashed: in the soak (seeds 4 and 6) starts without an answer
// counted like runs.
func TestUnansweredStartsDoNotProveThatAJobCrashesItsTargets(t *testing.T) {
	r := newCrashRig(t, 4)
	r.submit(longSubmission("j", 1))
	for range maxCrashes {
		agent, attempt := r.placedOn("j", 0)
		e := newEvent("j", 0, attempt, task.Lost, task.ReasonTargetDown)
		r.core.TargetCrashed(r.now, agent, Crash{Incarnation: int64(r.now), Certain: true, Runs: []LostRun{{Task: e.Task, Attempt: attempt, Suspicion: 0.9}}})
		r.reportEvent(agent, e)
		r.tickFor(100*ms, 4)
	}
	r.wantAnswer("j", Unfinished, CauseCrashes)
}

// Guards against a job that crashes as many targets again when it comes to another
// gateway, and against crashes that count twice since an agent reports them on each
// new link.
func TestCrashesUnderEarlierSubmissionsCount(t *testing.T) {
	r := newCrashRig(t, 4)
	id := task.ID{StepID: task.StepID{Job: "j"}}
	crash := Crash{Incarnation: 1, Certain: true, Runs: []LostRun{{Task: id, Attempt: 1, Accepted: true, Suspicion: 0.8}}}
	for range 3 {
		r.core.TargetCrashed(r.now, agentName(0), crash)
	}
	r.submit(longSubmission("j", 1))
	if len(r.answers) != 0 {
		t.Fatalf("answers %v after one crash that was reported three times", r.answers)
	}
	r.crash("j", 0, 0.8, true)
	r.wantAnswer("j", Failed, CauseCrashes)
	orders := len(r.orders)
	r.answers = map[string]Answer{}
	r.submit(longSubmission("j", 1))
	r.wantAnswer("j", Failed, CauseCrashes)
	if len(r.orders) != orders {
		t.Error("a task was sent after two targets had crashed under it")
	}
}

// Guards against a refusal that says that a job has not run although targets are known to
// have gone down under it, at an earlier submission to any gateway.
func TestJobWithEarlierCrashesIsNotAnsweredAsNotRun(t *testing.T) {
	for name, crashes := range map[string]int{"given up": maxCrashes, "no target": 1} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t, maxCrashes)
			r.advance(time.Second)
			for i := range crashes {
				run := LostRun{Task: task.ID{StepID: task.StepID{Job: "j"}}, Attempt: i + 1, Accepted: true, Suspicion: 0.9}
				r.core.TargetCrashed(r.now, agentName(i), Crash{Incarnation: 1, Runs: []LostRun{run}})
			}
			for i := range maxCrashes {
				r.report(agentName(i), func(l *Load) { l.Accepting = false })
			}
			r.submit(longSubmission("j", 1))
			if a := r.answers["j"]; a.State != Unfinished {
				t.Errorf("answer %v (%s), want unfinished", a.State, a.Cause)
			}
		})
	}
}

// Guards against attempts without an end: a task whose runs are lost in other ways than
// with their target was tried until its deadline.
func TestAttemptsThatAreLostAreLimited(t *testing.T) {
	r := newCrashRig(t, 6)
	r.submit(longSubmission("j", 1))
	for range maxLosses {
		if len(r.answers) != 0 {
			t.Fatalf("answers %v, want none yet", r.answers)
		}
		agent, attempt := r.placedOn("j", 0)
		r.reportEvent(agent, newEvent("j", 0, attempt, task.Lost, task.ReasonLeaseLapsed))
		r.tickFor(100*ms, 6)
	}
	r.wantAnswer("j", Unfinished, CauseLost)
}

// Guards against crashes that are remembered for ever.
func TestCrashesAreForgotten(t *testing.T) {
	r := newCrashRig(t, 2)
	r.core.TargetCrashed(r.now, agentName(0), Crash{Incarnation: 1, Certain: true, Runs: []LostRun{{Task: task.ID{StepID: task.StepID{Job: "j"}}, Attempt: 1, Suspicion: 1}}})
	r.advance(2 * crashMemory)
	r.core.Tick(r.now)
	if n := len(r.core.crashes.jobs); n != 0 {
		t.Errorf("%d jobs remembered, want none", n)
	}
}

// Guards against a suspect job that takes down several targets at its next attempt, since
// its tasks are placed on all of them at once.
func TestTasksOfASuspectJobAreTriedOneAtATime(t *testing.T) {
	r := newCrashRig(t, 6)
	r.submit(longSubmission("j", 4))
	for i := range 4 {
		if i != 2 {
			agent, attempt := r.placedOn("j", i)
			r.reportEvent(agent, newEvent("j", i, attempt, task.NotStarted, task.ReasonNoTarget))
		}
		if i == 0 {
			// The crash is known before the other tasks are placed again.
			r.crash("j", 2, 0.6, true)
		}
	}
	inFlight := func() (n int) {
		for _, a := range r.core.agents {
			n += len(a.placed)
		}
		return n
	}
	r.tickFor(60*ms, 6)
	before := len(r.orders)
	if _, attempt := r.placedOn("j", 2); attempt != 2 {
		t.Fatalf("attempt %d of the task under which a target crashed, want it to be tried first", attempt)
	}
	r.tickFor(20*ms, 6)
	if len(r.orders) != before {
		t.Fatalf("%d more orders while the first task is on trial", len(r.orders)-before)
	}
	r.tickFor(4*trialTime, 6)
	if n := inFlight(); n != 4 {
		t.Fatalf("%d tasks placed after their trials, want all 4", n)
	}
	for _, o := range r.orders[before:] {
		if o.Suspicion == 0 || len(o.Tasks) != 1 {
			t.Errorf("order %+v, want one task with the suspicion against its job", o)
		}
	}
}
