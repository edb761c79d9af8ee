package runner

import (
	"maps"
	"slices"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a crash whose record does not show which run was started last, or
// counts the time until the loss is known as part of the runs.
func TestCrashListsTheLatestStartFirst(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("old", 0, 1000))
	oldStartedAt := r.now
	r.answerStart(firstAttempt("old", 0), StartAccepted)
	r.advance(300 * ms)
	r.core.RenewGatewayLease("g", r.now)
	r.submit(newStart("young", 0, 1000))
	youngStartedAt := r.now
	r.answerStart(firstAttempt("young", 0), StartAccepted)
	r.advance(10 * ms)
	r.core.CallFailed(r.now)
	signAt := r.now
	r.advance(500 * ms)
	r.core.CallFailed(r.now)
	r.core.Unreachable(r.now, true)
	r.collect()
	if len(r.actions.Crashes) != 1 {
		t.Fatalf("%d crashes, want 1", len(r.actions.Crashes))
	}
	c := r.actions.Crashes[0]
	if c.Target.ID != smallTarget.ID || c.Reason != task.ReasonTargetSilent || len(c.Runs) != 2 {
		t.Fatalf("crash %+v", c)
	}
	for i, want := range []LostRun{{Attempt: firstAttempt("young", 0), Age: signAt - youngStartedAt}, {Attempt: firstAttempt("old", 0), Age: signAt - oldStartedAt}} {
		if got := c.Runs[i]; got.Attempt != want.Attempt || got.Age != want.Age {
			t.Errorf("run %d: %+v, want %+v", i, got, want)
		}
	}
}

// Guards against innocent tasks that are given up because they ran beside one that
// crashes its targets, and against a run that cannot be the cause since it was started
// after the crash.
func TestLastStartBeforeACrashIsTheMostSuspect(t *testing.T) {
	runs := []LostRun{
		{Attempt: firstAttempt("after", 0), Age: -5 * ms},
		{Attempt: firstAttempt("culprit", 0), Age: 10 * ms},
		{Attempt: firstAttempt("culprit", 1), Age: 10 * ms},
		{Attempt: firstAttempt("old", 0), Age: 400 * ms},
	}
	assignSuspicion(runs)
	if runs[1].Suspicion < 0.9 || runs[2].Suspicion != runs[1].Suspicion {
		t.Errorf("the last start: %v and %v, want the same of at least 0.9", runs[1].Suspicion, runs[2].Suspicion)
	}
	for _, i := range []int{0, 3} {
		if s := runs[i].Suspicion; s <= 0 || s > 0.05 {
			t.Errorf("%s: %v, want above 0 and at most 0.05", runs[i].Attempt.Task.Job, s)
		}
	}
	if sum := runs[0].Suspicion + runs[1].Suspicion + runs[3].Suspicion; sum < 0.999 || sum > 1.001 {
		t.Errorf("the suspicions of the jobs add up to %v, want 1", sum)
	}
}

// Guards against tasks that are held for a second after their target's process has
// ended, and against a start whose outcome is unknown that counts as ended while it
// can still take effect.
func TestRefusedConnectionEndsTheRunsOfTheTarget(t *testing.T) {
	r := newCoreHarness(t)
	for _, job := range []string{"running", "unanswered", "undelivered"} {
		r.submit(newStart(job, 0, 1000))
	}
	r.answerStart(firstAttempt("running", 0), StartAccepted)
	r.answerStart(firstAttempt("unanswered", 0), StartUnanswered)
	r.answerStart(firstAttempt("undelivered", 0), StartUndelivered)
	r.core.TargetDown(r.now, r.now)
	r.collect()
	r.wantReport("running", task.Lost, task.ReasonTargetDown)
	r.wantReport("undelivered", task.NotStarted, task.ReasonNoTarget)
	if n := len(r.actions.Reports); n != 2 {
		t.Fatalf("%d reports, want none on the unanswered start: %v", n, r.actions.Reports)
	}
	r.submit(newStart("next", 0, 1000))
	r.wantReport("next", task.NotStarted, task.ReasonNoTarget)
	r.advance(DefaultCoreOptions().UnansweredTimeout + ms)
	r.core.Tick(r.now)
	r.collect()
	if n := len(r.actions.Reports); n != 3 {
		t.Fatalf("%d reports, want none on the unanswered start before the target is back: %v", n, r.actions.Reports)
	}
	r.restart(Snapshot{})
	r.wantReport("unanswered", task.Lost, task.ReasonTargetRestarted)
}

// Guards against a target that stays unused although it answers again.
func TestTargetIsUsedAgainAfterItAnswers(t *testing.T) {
	r := newCoreHarness(t)
	r.core.TargetDown(r.now, r.now)
	r.applyRunning()
	r.core.RenewGatewayLease("g", r.now)
	r.submit(newStart("a", 0, 1000))
	if n := len(r.actions.Starts); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
}

// Guards against a crash that is counted under a task that was ordered after it and had
// not begun (soak, seeds 4 and 6): it starts once the target is back.
func TestTaskOrderedAfterACrashIsNotPartOfIt(t *testing.T) {
	r := newCoreHarness(t)
	for _, job := range []string{"running", "unanswered"} {
		r.submit(newStart(job, 0, 1000))
	}
	r.answerStart(firstAttempt("running", 0), StartAccepted)
	r.answerStart(firstAttempt("unanswered", 0), StartUnanswered)
	r.core.CallFailed(r.now)
	r.advance(ms)
	r.submit(newStart("later", 0, 1000))
	r.wantStarted("running", "unanswered")
	restarted := smallTarget
	restarted.Incarnation++
	r.confirm(restarted)
	if len(r.actions.Crashes) != 1 {
		t.Fatalf("%d crashes, want 1", len(r.actions.Crashes))
	}
	accepted := map[string]bool{}
	for _, run := range r.actions.Crashes[0].Runs {
		accepted[run.Attempt.Task.Job] = run.Accepted
	}
	if want := map[string]bool{"running": true, "unanswered": false}; !maps.Equal(accepted, want) {
		t.Fatalf("runs %v, want %v", accepted, want)
	}
	r.wantStarted("running", "unanswered", "later")
}

// newSuspectStart returns a start of a job that is suspected of crashing its targets.
func newSuspectStart(job string, index int) Start {
	s := newStart(job, index, 1000)
	s.Suspicion = 0.3
	return s
}

// Guards against suspect jobs that are tried side by side, so that an innocent one is
// blamed for the crash that the other causes.
func TestSuspectJobsAreTriedOneAtATime(t *testing.T) {
	r := newCoreHarness(t)
	started := func() (jobs []string) {
		for _, s := range r.actions.Starts {
			jobs = append(jobs, s.Task.Job)
		}
		return jobs
	}
	r.submit(newSuspectStart("first", 0))
	r.submit(newSuspectStart("first", 1), newSuspectStart("second", 0), newStart("unsuspected", 0, 1000))
	if got, want := started(), []string{"first", "first", "unsuspected"}; !slices.Equal(got, want) {
		t.Fatalf("started %v, want %v", got, want)
	}
	atOnce := newSuspectStart("third", 0)
	atOnce.AtOnce = true
	r.submit(atOnce)
	r.wantReport("third", task.NotStarted, task.ReasonBusy)
	r.advance(trialTime)
	r.core.Tick(r.now)
	r.collect()
	if got := started(); !slices.Contains(got, "second") {
		t.Fatalf("started %v, want the second suspect job after %v", got, trialTime)
	}
}

// Guards against a job that had been suspected before and is blamed no more than one
// beside it for which nothing speaks.
func TestEarlierSuspicionCounts(t *testing.T) {
	runs := []LostRun{
		{Attempt: firstAttempt("new", 0), Age: 10 * ms},
		{Attempt: firstAttempt("suspect", 0), Age: 10 * ms, Prior: 0.3},
	}
	assignSuspicion(runs)
	if got := runs[1].Suspicion; got < 0.8 {
		t.Errorf("suspicion %v, want at least 0.8", got)
	}
}

// lostRun returns the lost run of a job in the only crash so far.
func (r *coreHarness) lostRun(job string) LostRun {
	r.t.Helper()
	if len(r.actions.Crashes) != 1 {
		r.t.Fatalf("%d crashes, want 1", len(r.actions.Crashes))
	}
	runs := r.actions.Crashes[0].Runs
	i := slices.IndexFunc(runs, func(l LostRun) bool { return l.Attempt.Task.Job == job })
	if i < 0 {
		r.t.Fatalf("no run of job %s in the crash: %+v", job, runs)
	}
	return runs[i]
}

// Guards against a job that is answered as failed although its target had ended the run
// before it crashed (soak, seeds 233 and 739): the target had carried out the stop of the
// run, or its lease had expired, and the agent had not learned of it.
func TestRunThatMayHaveEndedBeforeACrashProvesNothing(t *testing.T) {
	a := firstAttempt("a", 0)
	cases := map[string]struct {
		before   func(r *coreHarness)
		accepted bool
	}{
		"running":    {func(*coreHarness) {}, true},
		"listed":     {func(r *coreHarness) { r.applyRunning(a) }, true},
		"given up":   {func(r *coreHarness) { r.core.StopJobs(r.now, "g", []string{"a"}) }, false},
		"recalled":   {func(r *coreHarness) { r.core.StopAttempt(r.now, "g", a) }, false},
		"unlinked":   {func(r *coreHarness) { r.core.RemoveGateway(r.now, "g") }, false},
		"lease ends": {func(r *coreHarness) { r.advance(DefaultCoreOptions().RunLimit - 10*ms) }, false},
		"stop acknowledged": {func(r *coreHarness) {
			r.core.StopJobs(r.now, "g", []string{"a"})
			r.core.StopAnswered(r.now, a, true)
		}, false},
		"list that lacks ends": {func(r *coreHarness) {
			r.advance(ms)
			r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Incomplete: true})
		}, false},
		"lease not renewed beside a run of a predecessor": {func(r *coreHarness) { r.applyRunning(a, firstAttempt("old", 0)) }, false},
	}
	crashes := map[string]func(r *coreHarness){
		"refused":   func(r *coreHarness) { r.core.TargetDown(r.now, r.now) },
		"restarted": func(r *coreHarness) { r.restart(Snapshot{}) },
	}
	for name, k := range cases {
		for crash, goDown := range crashes {
			t.Run(name+", "+crash, func(t *testing.T) {
				r := newCoreHarness(t)
				r.submit(newStart("a", 0, 1000))
				r.answerStart(a, StartAccepted)
				k.before(r)
				r.advance(ms)
				r.core.CallFailed(r.now)
				r.advance(ms)
				goDown(r)
				r.collect()
				r.wantReport("a", task.Lost, r.actions.Crashes[0].Reason)
				if got := r.lostRun("a").Accepted; got != k.accepted {
					t.Errorf("the run was certainly on the target: %v, want %v", got, k.accepted)
				}
			})
		}
	}
}

// Guards against a crash that is not counted since the caller leaves, or its gateway gives
// the run up, when the target has already crashed.
func TestStopThatComesAfterTheCrashLeavesTheRunInIt(t *testing.T) {
	a := firstAttempt("a", 0)
	cases := map[string]struct {
		stop     func(r *coreHarness)
		accepted bool
	}{
		"after the first sign": {func(r *coreHarness) {
			r.core.CallFailed(r.now)
			r.advance(ms)
			r.core.StopJobs(r.now, "g", []string{"a"})
		}, true},
		"refused": {func(r *coreHarness) {
			r.core.StopJobs(r.now, "g", []string{"a"})
			r.core.StopFailed(a, true)
		}, true},
		"no answer, then refused": {func(r *coreHarness) {
			r.core.StopJobs(r.now, "g", []string{"a"})
			r.core.StopFailed(a, false)
			r.core.StopFailed(a, true)
		}, false},
		"no answer after the first sign": {func(r *coreHarness) {
			r.core.CallFailed(r.now)
			r.core.StopJobs(r.now, "g", []string{"a"})
			r.core.StopFailed(a, false)
		}, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			r := newCoreHarness(t)
			r.submit(newStart("a", 0, 1000))
			r.answerStart(a, StartAccepted)
			r.advance(ms)
			k.stop(r)
			r.advance(ms)
			r.core.TargetDown(r.now, r.now)
			r.collect()
			if got := r.lostRun("a").Accepted; got != k.accepted {
				t.Errorf("the run was certainly on the target: %v, want %v", got, k.accepted)
			}
		})
	}
}
