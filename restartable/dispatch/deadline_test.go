package dispatch

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// newLongSubmission returns a job whose caller waits far longer than the queue's timeout.
func newLongSubmission(id string, tasks int, estimate time.Duration) Submission {
	s := newSubmission(id, tasks, estimate)
	s.Wait = 20 * time.Second
	return s
}

// tickSilently ticks the core for d while no load and no run changes.
func (r *rig) tickSilently(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.advance(20 * ms)
		for _, a := range r.core.agents {
			a.reportedAt = r.now
		}
		r.core.Tick(r.now)
		r.collect()
	}
}

// startAll reports the start of all tasks that were ordered.
func (r *rig) startAll() {
	for _, o := range r.orders {
		for _, attempt := range o.Tasks {
			r.reportEvent(o.Link, newEvent(o.Step.Job, attempt.Index, attempt.Number, task.Started, ""))
		}
	}
}

// Callers of long jobs wait for longer than the queue's timeout. Guards against jobs that
// are answered as unfinished while their tasks run and their callers still wait.
func TestLongJobRunsUntilItsCallerStopsWaiting(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newLongSubmission("j", 1, 3*time.Second))
	r.startAll()
	r.tickSilently(4 * time.Second)
	if len(r.answers) != 0 || len(r.stops) != 0 {
		t.Fatalf("answers %v, stops %v while the caller waits, want none", r.answers, r.stops)
	}
	r.reportEvent("a", newEvent("j", 0, 1, task.Done, ""))
	r.wantAnswer("j", Completed, CauseNone)
	r.submit(newLongSubmission("late", 1, 3*time.Second))
	r.startAll()
	r.tickSilently(20 * time.Second)
	r.wantAnswer("late", Unfinished, CauseDeadline)
}

// Guards against a caller that states no wait and is never answered, or without regard to
// the queue's timeout.
func TestJobOfACallerWithoutAWaitEndsByTheQueuesTimeout(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	s := newSubmission("j", 1, 300*ms)
	s.Wait = 0
	r.submit(s)
	r.startAll()
	r.tickSilently(1400 * ms)
	if len(r.answers) != 0 {
		t.Fatalf("answers %v before the timeout of the queue, want none", r.answers)
	}
	r.tickSilently(100 * ms)
	r.wantAnswer("j", Unfinished, CauseDeadline)
}

// All targets are full, and no task of a job whose caller waits for long has started.
// Guards against a job that holds its place until the caller leaves, and is then answered
// without a time to retry.
func TestJobThatDoesNotStartWithinTheTimeoutIsRefused(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newLongSubmission("j", 1, 4*time.Second))
	r.tickSilently(1500 * ms)
	if len(r.stops) == 0 {
		t.Fatal("no stop for a job that has not started within the queue's timeout")
	}
	r.reportEvent("a", newEvent("j", 0, 1, task.NotStarted, task.ReasonRevoked))
	r.wantAnswer("j", NotRun, CauseOverload)
	if r.answers["j"].RetryAfter <= 0 {
		t.Error("the refusal has no time to retry")
	}
}

// A gateway is stopped while long jobs run. Guards against callers whose connection ends
// without an answer at the end of the grace period, against new jobs that would meet the
// same, and against refusing those that can be done before.
func TestJobsAreAnsweredBeforeTheirGatewayEnds(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newLongSubmission("long", 1, 8*time.Second))
	r.startAll()
	r.core.StopAt(r.now + 5*time.Second)
	r.submit(newLongSubmission("new", 1, 15*time.Second))
	r.wantAnswer("new", NotRun, CauseOverload)
	r.submit(newLongSubmission("short", 1, 100*ms))
	r.reportEvent("a", newEvent("short", 0, 1, task.Done, ""))
	r.wantAnswer("short", Completed, CauseNone)
	r.tickSilently(4900 * ms)
	if _, answered := r.answers["long"]; answered {
		t.Fatal("a job is given up before its gateway ends")
	}
	r.tickSilently(100 * ms)
	r.wantAnswer("long", Unfinished, CauseDeadline)
}
