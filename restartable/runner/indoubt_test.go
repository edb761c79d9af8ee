package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// silence makes the target go silent with one start that it has not answered.
func (r *coreHarness) silence() {
	r.submit(newStart("j", 0, 1000))
	r.answerStart(firstAttempt("j", 0), StartUnanswered)
	r.core.CallFailed(r.now)
	r.advance(3 * time.Second)
	r.core.RenewGatewayLease("g", r.now)
	r.core.Unreachable(r.now, true)
	r.core.Tick(r.now)
	r.collect()
}

func (r *coreHarness) wantInDoubt(jobs ...string) {
	r.t.Helper()
	var got []string
	for _, id := range r.core.Load(r.now).TasksInDoubt {
		got = append(got, id.Job)
	}
	if !slices.Equal(got, jobs) {
		r.t.Fatalf("jobs with a task in doubt: %v, want %v", got, jobs)
	}
}

// restart lets a new incarnation of the target answer a poll, with the given lists.
func (r *coreHarness) restart(s Snapshot) {
	r.advance(ms)
	next := smallTarget
	next.Incarnation++
	r.core.Heartbeat(r.now, next)
	s.RequestedAt, s.Incarnation = r.now, next.Incarnation
	if !r.core.ConfirmCandidate(r.now, next, s) {
		r.t.Fatal("the new incarnation is not confirmed")
	}
	r.collect()
}

// Guards against two runs of a task at the same time (TWICE): a start that a silent target
// had left unanswered was reported as lost, its task was started elsewhere, and the next
// process of the target carried the start out.
func TestStartWithoutAnswerStaysInDoubtUntilTheTargetIsBack(t *testing.T) {
	r := newCoreHarness(t)
	r.silence()
	if n := len(r.actions.Reports); n != 0 {
		t.Fatalf("reports %v while the target is silent, want none", r.actions.Reports)
	}
	r.wantInDoubt("j")
	r.restart(Snapshot{})
	r.wantReport("j", task.Lost, task.ReasonTargetRestarted)
	r.wantInDoubt()
}

// Guards against a start in doubt that counts as ended while the next process of the
// target runs it, although its gateway has given it up.
func TestStartCarriedOutByTheNextProcessIsStoppedBeforeItIsReported(t *testing.T) {
	r := newCoreHarness(t)
	r.silence()
	r.core.StopJobs(r.now, "g", []string{"j"})
	r.collect()
	stops := len(r.actions.Stops)
	r.restart(Snapshot{Running: []Attempt{firstAttempt("j", 0)}})
	if n := len(r.actions.Reports); n != 0 {
		t.Fatalf("reports %v while the task runs, want none", r.actions.Reports)
	}
	if n := len(r.actions.Stops) - stops; n != 1 {
		t.Fatalf("%d stops of the run, want 1", n)
	}
	r.wantInDoubt("j")
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation + 1, Ended: []End{{firstAttempt("j", 0), task.Stopped}}})
	r.collect()
	r.wantReport("j", task.Stopped, "")
	r.wantInDoubt()
}

// Guards against a run of the next process that is stopped although its job still wants it.
func TestStartCarriedOutByTheNextProcessIsKept(t *testing.T) {
	r := newCoreHarness(t)
	r.silence()
	r.restart(Snapshot{Running: []Attempt{firstAttempt("j", 0)}})
	if len(r.actions.Stops) != 0 || !slices.Equal(r.startedJobs, []string{"j"}) {
		t.Fatalf("stops %v, reported as started %v; want the run to go on", r.actions.Stops, r.startedJobs)
	}
}

// Guards against two runs of a task at the same time (TWICE): the start got no answer, the
// task was placed elsewhere after a stop, and the next process of the target, which knows
// of no stop, carried the start out.
func TestStartWithoutAnswerIsRepeatedAtItsTarget(t *testing.T) {
	a := firstAttempt("j", 0)
	cases := map[string]struct {
		list    Snapshot
		starts  int
		started bool
	}{
		"the target does not have it": {starts: 2},
		"the target runs it":          {list: Snapshot{Running: []Attempt{a}}, starts: 1, started: true},
		"the target has run it":       {list: Snapshot{Ended: []End{{a, task.Done}}}, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newCoreHarness(t)
			r.submit(newStart("j", 0, 1000))
			r.answerStart(a, StartUnanswered)
			r.advance(ms)
			c.list.RequestedAt, c.list.Incarnation = r.now, smallTarget.Incarnation
			r.core.ApplySnapshot(r.now, c.list)
			r.collect()
			if n := len(r.actions.Starts); n != c.starts || len(r.actions.Stops) != 0 {
				t.Errorf("starts %v, stops %v; want %d starts and no stop", r.actions.Starts, r.actions.Stops, c.starts)
			}
			if started := len(r.startedJobs) > 0; started != c.started {
				t.Errorf("reported as started: %v, want %v", started, c.started)
			}
			if c.list.Ended != nil {
				r.wantReport("j", task.Done, "")
			}
		})
	}
}

// Guards against a repeated start whose refusal is taken for that of the first one.
func TestRefusedRepetitionTellsNothingOfTheFirstStart(t *testing.T) {
	a := firstAttempt("j", 0)
	repeated := func(t *testing.T, result StartResult) *coreHarness {
		r := newCoreHarness(t)
		r.submit(newStart("j", 0, 1000))
		r.answerStart(a, StartUnanswered)
		r.applyRunning()
		r.answerStart(a, result)
		if n := len(r.actions.Reports); n != 0 {
			t.Fatalf("reports %v, want none", r.actions.Reports)
		}
		return r
	}
	t.Run("refused", func(t *testing.T) {
		r := repeated(t, StartRefused)
		if !slices.Equal(r.actions.Stops, []Attempt{a}) {
			t.Fatalf("stops %v, want one of the first start", r.actions.Stops)
		}
		r.core.StopAnswered(r.now, a, true)
		r.applyRunning()
		r.wantReport("j", task.Lost, task.ReasonUnanswered)
	})
	t.Run("seen, and done", func(t *testing.T) {
		r := repeated(t, StartSuperseded)
		r.applyEnd(a, task.Done)
		r.wantReport("j", task.Done, "")
	})
	t.Run("seen, of an earlier submission", func(t *testing.T) {
		r := repeated(t, StartSuperseded)
		r.applyRunning()
		r.wantReport("j", task.Lost, task.ReasonSuperseded)
	})
}

// Guards against two runs of a task at the same time (TWICE): a start without an answer
// was stopped, its job was submitted again, and the target crashed and carried it out.
func TestStartsWithoutAnswerComeIntoDoubtAgainWithACrash(t *testing.T) {
	r := newCoreHarness(t)
	a := firstAttempt("j", 0)
	r.submit(newStart("j", 0, 1000))
	r.answerStart(a, StartUnanswered)
	r.core.StopJobs(r.now, "g", []string{"j"})
	r.core.StopAnswered(r.now, a, true)
	r.applyRunning()
	r.wantReport("j", task.Lost, task.ReasonUnanswered)
	r.wantInDoubt()
	r.advance(12 * time.Second)
	r.core.TargetDown(r.now, r.now)
	r.wantInDoubt("j")
	r.restart(Snapshot{})
	r.wantInDoubt()
	r.core.TargetDown(r.now, r.now)
	r.advance(2 * time.Second)
	r.wantInDoubt()
}

// Guards against long lists of tasks in doubt, which fill the links: a task that is done
// starts nowhere else.
func TestStartsOfTasksThatAreDoneAreNotInDoubt(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("j", 0, 1000))
	r.answerStart(firstAttempt("j", 0), StartUnanswered)
	r.applyEnd(firstAttempt("j", 0), task.Done)
	r.core.TargetDown(r.now, r.now)
	r.wantInDoubt()
}

// Guards against a target that is flooded with stops while it does not answer.
func TestStopsOfStartsInDoubtWaitForTheTarget(t *testing.T) {
	r := newCoreHarness(t)
	r.silence()
	before := len(r.actions.Stops)
	r.core.StopJobs(r.now, "g", []string{"j"})
	for range 5 {
		r.core.StopAnswered(r.now, firstAttempt("j", 0), false)
		r.collect()
	}
	if n := len(r.actions.Stops) - before; n != 0 {
		t.Fatalf("%d stops sent to a silent target, want none", n)
	}
	r.applyRunning(firstAttempt("j", 0))
	if n := len(r.actions.Stops) - before; n != 1 {
		t.Fatalf("%d stops once it answers, want 1", n)
	}
}

// Guards against tasks that are sent to a target that may have crashed: each of them is
// in doubt until the target is back, while another target could run it.
func TestNothingStartsWhileACallHasNoAnswer(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 1000))
	r.answerStart(firstAttempt("a", 0), StartUnanswered)
	r.core.CallFailed(r.now)
	atOnce := newStart("at once", 0, 1000)
	atOnce.AtOnce = true
	r.submit(newStart("b", 0, 1000), atOnce)
	r.wantStarted("a")
	r.wantReport("at once", task.NotStarted, task.ReasonBusy)
	r.applyRunning(firstAttempt("a", 0))
	r.wantStarted("a", "b")
}

// Guards against a planned stop of an agent that waits for a target that has gone.
func TestStartsInDoubtDoNotDelayAPlannedStop(t *testing.T) {
	r := newCoreHarness(t)
	r.silence()
	if !r.core.Idle() {
		t.Fatal("the core is not idle")
	}
}

// Guards against a crash whose cause is sought only among the runs that the target had
// confirmed, and against one start in doubt that counts for two crashes.
func TestCrashNamesAStartInDoubtOnce(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("running", 0, 1000), newStart("in doubt", 0, 1000))
	r.answerStart(firstAttempt("running", 0), StartAccepted)
	r.answerStart(firstAttempt("in doubt", 0), StartUnanswered)
	r.core.TargetDown(r.now, r.now)
	r.core.TargetDown(r.now, r.now)
	r.collect()
	r.restart(Snapshot{})
	if n := len(r.actions.Crashes); n != 1 || len(r.actions.Crashes[0].Runs) != 2 {
		t.Fatalf("crashes %+v, want one with both runs", r.actions.Crashes)
	}
}

// Guards against a restarted agent that is taken to know what its predecessor has started.
func TestAgentIsFencedOnceItsTargetRunsNothingOfItsPredecessor(t *testing.T) {
	r := &coreHarness{t: t, core: NewCore(DefaultCoreOptions()), now: 10 * time.Second}
	r.core.RestoreTarget(smallTarget)
	if r.core.Load(r.now).Fenced {
		t.Fatal("fenced before the target has answered")
	}
	r.applyRunning(firstAttempt("of the predecessor", 0))
	if r.core.Load(r.now).Fenced {
		t.Fatal("fenced while a run of the predecessor goes on")
	}
	r.applyRunning()
	if !r.core.Load(r.now).Fenced {
		t.Fatal("not fenced although the target runs nothing of the predecessor")
	}
}

// Guards against two runs of a task at the same time: a start got no answer, its attempt
// ended, the agent restarted and its target crashed, and nobody remembered the start. Guards
// against long lists too, which fill the links: most starts without an answer are of runs
// that their gateway still has.
func TestLateTasksAreThoseThatTheirGatewayHasGivenUpOrMayRunElsewhere(t *testing.T) {
	r := newCoreHarness(t)
	want := func(when string, jobs ...string) {
		t.Helper()
		var got []string
		for _, id := range r.core.Load(r.now).LateTasks {
			got = append(got, id.Job)
		}
		if !slices.Equal(got, jobs) {
			t.Errorf("jobs with a late task %s: %v, want %v", when, got, jobs)
		}
	}
	start := func(jobs ...string) {
		var running []Attempt
		for _, job := range jobs {
			r.submit(newStart(job, 0, 1000))
			r.answerStart(firstAttempt(job, 0), StartUnanswered)
			running = append(running, firstAttempt(job, 0))
		}
		r.applyRunning(running...)
	}
	start("done", "failed")
	want("while both run")
	r.applyEnd(firstAttempt("done", 0), task.Done)
	r.applyEnd(firstAttempt("failed", 0), task.Failed)
	want("after a success and a failure", "failed")
	r.advance(3 * time.Second)
	r.core.RenewGatewayLease("g", r.now)
	start("given up")
	r.core.StopJobs(r.now, "g", []string{"given up"})
	want("after another was given up", "failed", "given up")
	r.advance(11 * time.Second)
	want("after 14 and 11 s", "given up")
}

// Guards against an agent that is taken to know all starts of its predecessor's, although
// the next process of its target may carry some out.
func TestAgentIsNotFencedWhileItsTargetIsOutOfContact(t *testing.T) {
	r := newCoreHarness(t)
	r.core.Unreachable(r.now, false)
	if r.core.Load(r.now).Fenced {
		t.Error("fenced while the target does not answer")
	}
	r.applyRunning()
	if !r.core.Load(r.now).Fenced {
		t.Error("not fenced once the target answers again")
	}
}

// Guards against two runs of a task at the same time: a start without an answer was recalled
// and its task started again, on this or another target, and the next process of the target
// carried the first start out. The next attempt here might get no answer either.
func TestRecallOfAStartWithoutAnswerIsDisregarded(t *testing.T) {
	a := firstAttempt("j", 0)
	cases := map[string]struct {
		before, after []StartResult
		stops         int
		started       bool
	}{
		"before the target has answered": {after: []StartResult{StartUnanswered, StartAccepted}, started: true},
		"without an answer":              {before: []StartResult{StartUnanswered}, after: []StartResult{StartAccepted}, started: true},
		"the target accepts the first":   {after: []StartResult{StartAccepted}, started: true, stops: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newCoreHarness(t)
			answer := func(results []StartResult) {
				for _, result := range results {
					r.answerStart(a, result)
					if result == StartUnanswered {
						r.applyRunning()
					}
				}
			}
			r.submit(newStart("j", 0, 1000))
			answer(c.before)
			r.core.StopAttempt(r.now, "g", a)
			r.collect()
			answer(c.after)
			if n := len(r.actions.Stops); n != c.stops || len(r.actions.Reports) != 0 {
				t.Errorf("%d stops, reports %v; want %d stops and no report", n, r.actions.Reports, c.stops)
			}
			if started := len(r.startedJobs) > 0; started != c.started {
				t.Errorf("reported as started: %v, want %v", started, c.started)
			}
		})
	}
}

// Guards against a run of a job that is given up which goes on, since the attempt had been
// recalled before.
func TestJobThatIsGivenUpAfterARecallIsStopped(t *testing.T) {
	a := firstAttempt("j", 0)
	r := newCoreHarness(t)
	r.submit(newStart("j", 0, 1000))
	r.core.StopAttempt(r.now, "g", a)
	r.core.StopJobs(r.now, "g", []string{"j"})
	r.answerStart(a, StartUnanswered)
	if !slices.Equal(r.actions.Stops, []Attempt{a}) {
		t.Errorf("stops %v, want one", r.actions.Stops)
	}
}
