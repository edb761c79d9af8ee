package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const ms = time.Millisecond

// coreHarness calls a core directly, with a manual clock.
type coreHarness struct {
	t    *testing.T
	core *Core
	now  time.Duration
	// actions accumulates what the core requested.
	actions Actions
	// startedJobs holds the jobs of which a task was reported as started.
	startedJobs []string
}

var smallTarget = Target{ID: "t1", Incarnation: 1, Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: 10_000, MemoryMB: 1000}}

// newCoreHarness returns a core with an idle target and one gateway, g.
func newCoreHarness(t *testing.T) *coreHarness {
	r := &coreHarness{t: t, core: NewCore(DefaultCoreOptions()), now: 10 * time.Second}
	r.core.Heartbeat(r.now, smallTarget)
	r.applyRunning()
	r.core.RenewGatewayLease("g", r.now)
	r.collect()
	return r
}

func (r *coreHarness) collect() {
	a := r.core.Take()
	r.actions.Starts = append(r.actions.Starts, a.Starts...)
	r.actions.Stops = append(r.actions.Stops, a.Stops...)
	for _, rep := range a.Reports {
		if rep.Outcome == task.Started {
			r.startedJobs = append(r.startedJobs, rep.Task.Job)
			continue
		}
		r.actions.Reports = append(r.actions.Reports, rep)
	}
	r.actions.Crashes = append(r.actions.Crashes, a.Crashes...)
	r.actions.Disconnect = append(r.actions.Disconnect, a.Disconnect...)
}

// advance moves the clock.
func (r *coreHarness) advance(d time.Duration) { r.now += d }

// applyRunning applies a snapshot with the running attempts, taken now.
func (r *coreHarness) applyRunning(running ...Attempt) {
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Running: running})
	r.collect()
}

// applyEnd applies a snapshot with one ended run, taken now.
func (r *coreHarness) applyEnd(a Attempt, o task.Outcome) {
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Ended: []End{{a, o}}})
	r.collect()
}

func taskID(job string, index int) task.ID {
	return task.ID{StepID: task.StepID{Job: job}, Index: index}
}

func firstAttempt(job string, index int) Attempt { return Attempt{taskID(job, index), 1} }

func newStart(job string, index int, cpu int64) Start {
	return Start{
		Task: taskID(job, index), Attempt: 1, Needs: task.Resources{CPUMillis: cpu, MemoryMB: 10},
		Expected: 100 * ms, StartWithin: time.Second, DueWithin: 100 * ms,
	}
}

func (r *coreHarness) submit(starts ...Start) {
	r.core.Submit(r.now, "g", r.now, starts)
	r.collect()
}

func (r *coreHarness) answerStart(a Attempt, result StartResult) {
	r.advance(ms)
	r.core.StartAnswered(r.now, a, result)
	r.collect()
}

func (r *coreHarness) requestedJobs() []string {
	var out []string
	for _, s := range r.actions.Starts {
		out = append(out, s.Task.Job)
	}
	return out
}

func (r *coreHarness) reportOf(job string) Report {
	r.t.Helper()
	for _, rep := range r.actions.Reports {
		if rep.Task.Job == job {
			return rep
		}
	}
	r.t.Fatalf("no report on job %s in %+v", job, r.actions.Reports)
	return Report{}
}

func (r *coreHarness) wantStarted(jobs ...string) {
	r.t.Helper()
	if got := r.requestedJobs(); !slices.Equal(got, jobs) {
		r.t.Fatalf("started %v, want %v", got, jobs)
	}
}

func (r *coreHarness) wantReport(job string, o task.Outcome, reason task.Reason) {
	r.t.Helper()
	if rep := r.reportOf(job); rep.Outcome != o || rep.Reason != reason {
		r.t.Fatalf("job %s: %v (%s), want %v (%s)", job, rep.Outcome, rep.Reason, o, reason)
	}
}

// Guards against exceeding the target's capacity: every attempt that may be
// running counts until the target has listed its end.
func TestCapacityCountsUntilTheEndIsListed(t *testing.T) {
	cases := map[string]func(r *coreHarness){
		"start without an answer yet": func(*coreHarness) {},
		"running":                     func(r *coreHarness) { r.answerStart(firstAttempt("a", 0), StartAccepted) },
		"start that stays unanswered": func(r *coreHarness) { r.answerStart(firstAttempt("a", 0), StartUnanswered) },
		"being stopped": func(r *coreHarness) {
			r.answerStart(firstAttempt("a", 0), StartAccepted)
			r.core.StopJobs(r.now, "g", []string{"a"})
		},
		"stop acknowledged": func(r *coreHarness) {
			r.answerStart(firstAttempt("a", 0), StartAccepted)
			r.core.StopJobs(r.now, "g", []string{"a"})
			r.core.StopAnswered(r.now, firstAttempt("a", 0), true)
		},
	}
	for name, state := range cases {
		t.Run(name, func(t *testing.T) {
			r := newCoreHarness(t)
			r.submit(newStart("a", 0, 6000))
			state(r)
			r.submit(newStart("b", 0, 6000))
			r.wantStarted("a")
			r.applyEnd(firstAttempt("a", 0), task.Stopped)
			r.wantStarted("a", "b")
		})
	}
}

// Guards against a second run of a task whose start lost its answer and which is then
// given up: the attempt counts as ended only after the target has acknowledged a stop and
// a later snapshot does not list the run. It is not reported as not started, since the
// next process of the target may still carry the start out.
func TestUnansweredStartEndsOnlyAfterAStopAndALaterSnapshot(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartUnanswered)
	r.core.StopJobs(r.now, "g", []string{"a"})
	r.collect()
	if len(r.actions.Stops) != 1 {
		t.Fatalf("stops %v, want one", r.actions.Stops)
	}
	r.applyRunning()
	r.core.StopAnswered(r.now, firstAttempt("a", 0), false)
	r.collect()
	if len(r.actions.Reports) != 0 || len(r.actions.Stops) != 2 {
		t.Fatalf("reports %v, stops %v; want none and a repeated stop", r.actions.Reports, r.actions.Stops)
	}
	requestedAt := r.now
	r.advance(ms)
	r.core.StopAnswered(r.now, firstAttempt("a", 0), true)
	r.core.ApplySnapshot(r.now+ms, Snapshot{RequestedAt: requestedAt, Incarnation: smallTarget.Incarnation})
	r.collect()
	if len(r.actions.Reports) != 0 {
		t.Fatal("a snapshot requested before the stop ended the attempt")
	}
	r.advance(2 * ms)
	r.applyRunning()
	r.wantReport("a", task.Lost, task.ReasonUnanswered)
}

// Guards against losing a stop that is requested while the start is still
// unanswered.
func TestRevokeDuringStartStopsOnceStarted(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.core.StopJobs(r.now, "g", []string{"a"})
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	if !slices.Equal(r.actions.Stops, []Attempt{firstAttempt("a", 0)}) {
		t.Fatalf("stops %v", r.actions.Stops)
	}
}

// Guards against starting tasks next to runs that an earlier agent process left
// on the target: their resource usage is unknown.
func TestNothingStartsBesideRunsOfAPredecessor(t *testing.T) {
	r := &coreHarness{t: t, core: NewCore(DefaultCoreOptions()), now: time.Second}
	r.core.Heartbeat(r.now, smallTarget)
	r.core.RenewGatewayLease("g", r.now)
	r.submit(newStart("early", 0, 1000))
	r.wantReport("early", task.NotStarted, task.ReasonNoTarget)
	foreign := Attempt{taskID("old", 3), 2}
	r.applyRunning(foreign)
	r.submit(newStart("a", 0, 1000))
	r.wantStarted()
	if !slices.Equal(r.actions.Stops, []Attempt{foreign}) {
		t.Fatalf("stops %v, want the run of the earlier agent process", r.actions.Stops)
	}
	r.applyEnd(foreign, task.Stopped)
	r.wantStarted("a")
}

// Guards against carrying out requests that were delayed by a network partition
// or a suspended VM, and that their gateway has given up since.
func TestStaleOrderIsRefused(t *testing.T) {
	r := newCoreHarness(t)
	stamp := r.now
	r.advance(DefaultCoreOptions().MaxOrderAge + ms)
	r.core.Submit(r.now, "g", stamp, []Start{newStart("a", 0, 1000)})
	r.collect()
	r.wantReport("a", task.NotStarted, task.ReasonStale)
	r.wantStarted()
}

// Guards against runs that continue after contact with their gateway is lost: its
// callers submit their jobs to another gateway.
func TestExpiredGatewayLeaseStopsItsRuns(t *testing.T) {
	r := newCoreHarness(t)
	r.core.RenewGatewayLease("h", r.now)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.submit(newStart("queued", 0, 6000))
	r.core.Submit(r.now, "h", r.now, []Start{newStart("other", 0, 1000)})
	r.advance(DefaultCoreOptions().GatewayLease - 10*ms)
	r.core.RenewGatewayLease("h", r.now)
	r.advance(20 * ms)
	r.core.Tick(r.now)
	r.collect()
	if !slices.Equal(r.actions.Disconnect, []string{"g"}) || !slices.Equal(r.actions.Stops, []Attempt{firstAttempt("a", 0)}) {
		t.Fatalf("disconnected %v, stopped %v", r.actions.Disconnect, r.actions.Stops)
	}
	r.wantReport("queued", task.NotStarted, task.ReasonRevoked)
}

// Guards against starting a queued task after this VM was suspended, when its
// gateway gave it up long ago.
func TestQueuedTaskDoesNotStartAfterASuspension(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.submit(newStart("b", 0, 6000))
	r.advance(5 * time.Second)
	r.applyEnd(firstAttempt("a", 0), task.Lost)
	r.wantStarted("a")
	r.wantReport("b", task.NotStarted, task.ReasonGatewayLost)
}

// Guards against starting tasks on a draining target; existing runs continue.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.submit(newStart("queued", 0, 6000))
	draining := smallTarget
	draining.Draining = true
	r.core.Heartbeat(r.now, draining)
	r.collect()
	r.submit(newStart("late", 0, 1000))
	r.wantReport("queued", task.NotStarted, task.ReasonDraining)
	r.wantReport("late", task.NotStarted, task.ReasonDraining)
	r.applyEnd(firstAttempt("a", 0), task.Done)
	r.wantReport("a", task.Done, "")
}

// confirm makes t the target, by a heartbeat and a snapshot with the running attempts.
func (r *coreHarness) confirm(t Target, running ...Attempt) {
	r.t.Helper()
	r.core.Heartbeat(r.now, t)
	r.advance(ms)
	if !r.core.ConfirmCandidate(r.now, t, Snapshot{RequestedAt: r.now, Incarnation: t.Incarnation, Running: running}) {
		r.t.Fatalf("%+v was not confirmed", t)
	}
	r.collect()
}

// Guards against applying heartbeats of an earlier incarnation that arrive after
// the target has restarted, and against waiting for runs of that incarnation.
func TestRestartOfTheTargetLosesRunsAndLateMessagesAreIgnored(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	restarted := smallTarget
	restarted.Incarnation, restarted.Capacity.CPUMillis = 2, 4000
	r.confirm(restarted)
	r.wantReport("a", task.Lost, task.ReasonTargetRestarted)
	old := smallTarget
	old.Draining = true
	r.core.Heartbeat(r.now, old)
	if r.core.ConfirmCandidate(r.now, old, Snapshot{RequestedAt: r.now, Incarnation: 2}) {
		t.Fatal("an earlier incarnation was confirmed by a snapshot of the present one")
	}
	if got, _ := r.core.Target(); got.Incarnation != 2 || got.Draining {
		t.Fatalf("target %+v after a late heartbeat of an earlier incarnation", got)
	}
	if r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: 1}) {
		t.Fatal("a snapshot of an earlier incarnation was applied")
	}
	restarted.Seq, restarted.Draining = 5, true
	r.core.Heartbeat(r.now, restarted)
	reordered := restarted
	reordered.Seq, reordered.Draining = 4, false
	r.core.Heartbeat(r.now, reordered)
	if got, _ := r.core.Target(); !got.Draining {
		t.Fatal("a reordered heartbeat made a draining target ready")
	}
}

// Guards against reporting runs as lost while their lease may still be valid.
func TestUnreachableTargetKeepsItsRunsUntilTheLeaseExpires(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.core.Unreachable(r.now, false)
	r.collect()
	if len(r.actions.Reports) != 0 {
		t.Fatalf("reports %v before the lease expired", r.actions.Reports)
	}
	r.core.Unreachable(r.now, true)
	r.collect()
	r.wantReport("a", task.Lost, task.ReasonTargetSilent)
}

// Guards against starts beyond the capacity of a target that has shrunk while it runs,
// as its heartbeats say, and against runs that are ended for it.
func TestShrunkTargetStartsNothingThatDoesNotFit(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000), newStart("b", 0, 3000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.answerStart(firstAttempt("b", 0), StartAccepted)
	shrunk := smallTarget
	shrunk.Seq, shrunk.Capacity.CPUMillis = 1, 4000
	r.core.Heartbeat(r.now, shrunk)
	r.core.RenewGatewayLease("g", r.now)
	r.submit(newStart("c", 0, 1000))
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{
		RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Running: []Attempt{firstAttempt("b", 0)}, Ended: []End{{firstAttempt("a", 0), task.Done}},
	})
	r.collect()
	if n := len(r.actions.Starts); n != 3 || r.actions.Starts[2].Task.Job != "c" {
		t.Fatalf("starts %v, want c after the end of a", r.actions.Starts)
	}
	r.submit(newStart("d", 0, 1000))
	if n := len(r.actions.Starts); n != 3 {
		t.Fatalf("%d starts, want none beyond the shrunk capacity", n)
	}
	grown := smallTarget
	grown.Seq = 2
	r.core.Heartbeat(r.now, grown)
	r.collect()
	if n := len(r.actions.Starts); n != 4 {
		t.Fatalf("%d starts after the target has grown again, want 4", n)
	}
	for _, rep := range r.actions.Reports {
		if rep.Task.Job != "a" {
			t.Errorf("report %+v, want no run to end", rep)
		}
	}
}

// Guards against a second run of a task next to one that has not ended on this
// target.
func TestSecondOrderOfARunningTaskIsRefused(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 1000))
	again := newStart("a", 0, 1000)
	again.Attempt = 2
	r.submit(again)
	r.wantReport("a", task.NotStarted, task.ReasonDuplicate)
}

// Guards against long tasks that delay short ones with an earlier due time, and
// against a blocked head of the queue that delays tasks which still fit.
func TestQueueIsOrderedByDueTime(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("running", 0, 9000))
	relaxed, urgent, small := newStart("relaxed", 0, 9000), newStart("urgent", 0, 9000), newStart("small", 0, 1000)
	relaxed.DueWithin, urgent.DueWithin, small.DueWithin = 500*ms, 50*ms, 900*ms
	r.submit(relaxed, urgent, small)
	r.wantStarted("running", "small")
	r.answerStart(firstAttempt("running", 0), StartAccepted)
	r.applyEnd(firstAttempt("running", 0), task.Done)
	r.wantStarted("running", "small", "urgent")
}

// Guards against queued tasks that outlive their job.
func TestExpiredQueueEntryIsReported(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("running", 0, 9000))
	short := newStart("short", 0, 9000)
	short.StartWithin = 30 * ms
	r.submit(short)
	r.advance(31 * ms)
	r.core.Tick(r.now)
	r.collect()
	r.wantReport("short", task.NotStarted, task.ReasonExpired)
}

// Guards against running more tasks of a step on one target than the step allows.
func TestMaxPerTargetLimitsRunsOfAStep(t *testing.T) {
	r := newCoreHarness(t)
	one, two := newStart("a", 0, 1000), newStart("a", 1, 1000)
	one.MaxPerTarget, two.MaxPerTarget = 1, 1
	r.submit(one, two)
	r.wantStarted("a")
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.applyEnd(firstAttempt("a", 0), task.Done)
	r.wantStarted("a", "a")
}

// Guards against a graceful stop that interrupts runs or starts new ones.
func TestStopLetsRunsEnd(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 9000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.submit(newStart("queued", 0, 9000))
	r.core.Stop(r.now)
	r.collect()
	r.wantReport("queued", task.NotStarted, task.ReasonStopping)
	if r.core.Idle() || len(r.actions.Stops) != 0 {
		t.Fatal("the running task was not left to complete")
	}
	r.applyEnd(firstAttempt("a", 0), task.Done)
	if !r.core.Idle() {
		t.Fatal("not idle after the last run ended")
	}
}

// Guards against taking an ended run for a foreign one when a snapshot that was
// requested earlier arrives after the one that lists its end.
func TestReorderedSnapshotDoesNotReviveAnEndedRun(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 6000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	requestedAt := r.now + ms
	r.advance(2 * ms)
	r.applyEnd(firstAttempt("a", 0), task.Done)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: requestedAt, Incarnation: smallTarget.Incarnation, Running: []Attempt{firstAttempt("a", 0)}})
	r.collect()
	r.submit(newStart("b", 0, 6000))
	r.wantStarted("a", "b")
	if len(r.actions.Stops) != 0 {
		t.Fatalf("stops %v", r.actions.Stops)
	}
}

// Guards against starting tasks on a restored target that has been replaced since
// the record was saved.
func TestRestoredTargetOfAnEarlierIncarnationGetsNoWork(t *testing.T) {
	r := &coreHarness{t: t, core: NewCore(DefaultCoreOptions()), now: time.Second}
	r.core.Heartbeat(r.now, smallTarget)
	r.core.RenewGatewayLease("g", r.now)
	if r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation + 5}) {
		t.Fatal("a snapshot of another incarnation was applied")
	}
	r.submit(newStart("a", 0, 1000))
	r.wantStarted()
}

// Guards against answering that a job did not run although one of its tasks has
// begun: an accepted start is reported, an unanswered one is not.
func TestAcceptedStartIsReported(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 1000), newStart("b", 0, 1000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.answerStart(firstAttempt("b", 0), StartUnanswered)
	if !slices.Equal(r.startedJobs, []string{"a"}) {
		t.Fatalf("reported as started: %v", r.startedJobs)
	}
}

// Guards against queueing an at-once task although its gateway knows of free
// targets, and against refusing one that can start.
func TestAtOnceTaskStartsOrIsRefused(t *testing.T) {
	r := newCoreHarness(t)
	fits, tooLarge, alsoFits := newStart("j", 0, 6000), newStart("j", 1, 6000), newStart("j", 2, 4000)
	fits.AtOnce, tooLarge.AtOnce, alsoFits.AtOnce = true, true, true
	r.submit(fits, tooLarge, alsoFits)
	if len(r.actions.Starts) != 2 || r.actions.Starts[0].Task != fits.Task || r.actions.Starts[1].Task != alsoFits.Task {
		t.Fatalf("started %+v", r.actions.Starts)
	}
	if len(r.actions.Reports) != 1 {
		t.Fatalf("reported %+v", r.actions.Reports)
	}
	if rep := r.actions.Reports[0]; rep.Task != tooLarge.Task || rep.Outcome != task.NotStarted || rep.Reason != task.ReasonBusy {
		t.Fatalf("reported %+v", rep)
	}
}

// Guards against losing work when a link is retired: new starts of the gateway
// are refused, and its queued and running tasks continue.
func TestRetiredGatewayKeepsWhatItHas(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("j", 0, 6000), newStart("j", 1, 6000))
	r.core.Retire("g")
	r.submit(newStart("k", 0, 1000))
	if len(r.actions.Reports) != 1 || r.actions.Reports[0].Reason != task.ReasonUnlinked {
		t.Fatalf("reported %+v", r.actions.Reports)
	}
	if r.core.GatewayIdle("g") {
		t.Fatal("gateway idle with a run and a queued task")
	}
	r.core.StartAnswered(r.now, firstAttempt("j", 0), StartAccepted)
	r.applyEnd(firstAttempt("j", 0), task.Done)
	r.core.StartAnswered(r.now, firstAttempt("j", 1), StartAccepted)
	r.applyEnd(firstAttempt("j", 1), task.Done)
	if !r.core.GatewayIdle("g") {
		t.Fatal("gateway not idle after the end of all runs")
	}
}

// Guards against work that starts in a drained zone or waits there for a start that
// never comes, against runs that a drain interrupts, and against an older revision
// that a gateway cut off from the store sends.
func TestDrainedZoneReturnsQueuedTasksAndKeepsRuns(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("runs", 0, 10_000), newStart("waits", 0, 10_000))
	r.answerStart(firstAttempt("runs", 0), StartAccepted)
	drain := func(revision uint64, drained, changed bool) {
		t.Helper()
		if got := r.core.SetZoneDrain(r.now, revision, drained); got != changed {
			t.Fatalf("revision %d, drained %v: changed %v", revision, drained, got)
		}
		r.collect()
	}
	wantAccepting := func(want bool, reason task.Reason) {
		t.Helper()
		if ok, why := r.core.Accepting(r.now); ok != want || why != reason {
			t.Fatalf("accepting %v (%s), want %v (%s)", ok, why, want, reason)
		}
	}
	drain(7, true, true)
	r.wantReport("waits", task.NotStarted, task.ReasonZoneDrained)
	drain(6, false, false)
	drain(7, false, false)
	wantAccepting(false, task.ReasonZoneDrained)
	r.submit(newStart("late", 0, 1_000))
	r.wantReport("late", task.NotStarted, task.ReasonZoneDrained)
	if len(r.actions.Stops) != 0 {
		t.Fatalf("stops %v after a drain", r.actions.Stops)
	}
	r.applyEnd(firstAttempt("runs", 0), task.Done)
	r.wantReport("runs", task.Done, "")
	drain(8, true, false)
	drain(9, false, true)
	wantAccepting(true, "")
	r.submit(newStart("again", 0, 1_000))
	r.wantStarted("runs", "again")
}

// Guards against a run that outlives its gateway's lease without a trace in the logs.
func TestOverdueStopIsReportedOnce(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 1000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.core.RemoveGateway(r.now, "g")
	var reported []OverdueStop
	for range 20 {
		r.advance(stopOverdueAfter / 10)
		r.core.Tick(r.now)
		reported = append(reported, r.core.Take().OverdueStops...)
	}
	if len(reported) != 1 || reported[0].Attempt != firstAttempt("a", 0) || reported[0].RevokedFor <= stopOverdueAfter {
		t.Fatalf("reported %+v, want the run of job a once", reported)
	}
}

// Guards against runs that are reported as lost while they go on, since a heartbeat names
// another incarnation: it may be late or come from another writer.
func TestHeartbeatAloneEndsNoRuns(t *testing.T) {
	otherID, otherBorn, otherService := smallTarget, smallTarget, smallTarget
	otherID.ID, otherID.Incarnation = "other", 99
	otherBorn.Incarnation = 99
	otherService.Service, otherService.Seq = "unknown", 99
	for name, named := range map[string]Target{"other id": otherID, "other start time": otherBorn, "other service": otherService} {
		t.Run(name, func(t *testing.T) {
			r := newCoreHarness(t)
			r.submit(newStart("a", 0, 1000))
			r.answerStart(firstAttempt("a", 0), StartAccepted)
			r.core.Heartbeat(r.now, named)
			r.submit(newStart("b", 0, 1000))
			r.core.DropCandidate(r.now, named)
			r.applyRunning(firstAttempt("a", 0))
			if len(r.actions.Reports) > 0 {
				t.Fatalf("reports %+v", r.actions.Reports)
			}
			if got, _ := r.core.Target(); !got.Equal(smallTarget) {
				t.Fatalf("target %+v", got)
			}
			r.wantStarted("a", "b")
		})
	}
}

// Guards against a run that is reported as lost although a call to an earlier
// incarnation has started it on the present one, which has the same ID.
func TestRunsThatANewIncarnationListsAreKept(t *testing.T) {
	r := newCoreHarness(t)
	for _, job := range []string{"accepted", "unanswered", "outstanding", "gone", "late answer"} {
		r.submit(newStart(job, 0, 1000))
	}
	r.answerStart(firstAttempt("accepted", 0), StartAccepted)
	r.answerStart(firstAttempt("gone", 0), StartAccepted)
	r.answerStart(firstAttempt("unanswered", 0), StartUnanswered)
	restarted := smallTarget
	restarted.Incarnation++
	r.core.Heartbeat(r.now, restarted)
	requestedAt := r.now + ms
	r.advance(ms)
	r.answerStart(firstAttempt("late answer", 0), StartAccepted)
	r.core.ConfirmCandidate(r.now, restarted, Snapshot{
		RequestedAt: requestedAt, Incarnation: restarted.Incarnation, Running: []Attempt{firstAttempt("accepted", 0), firstAttempt("unanswered", 0)},
	})
	r.collect()
	r.wantReport("gone", task.Lost, task.ReasonTargetRestarted)
	if n := len(r.actions.Reports); n != 1 {
		t.Fatalf("%d reports, want the lost run only: %+v", n, r.actions.Reports)
	}
	r.answerStart(firstAttempt("outstanding", 0), StartUnanswered)
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: restarted.Incarnation})
	r.collect()
	for _, job := range []string{"accepted", "unanswered", "late answer"} {
		r.wantReport(job, task.Lost, task.ReasonNotListed)
	}
	// It may have run on the earlier incarnation.
	r.wantReport("outstanding", task.Lost, task.ReasonTargetRestarted)
}

// Guards against a run that is reported as lost while it goes on, since its row of the
// target's list could not be read.
func TestIncompleteSnapshotEndsNoRuns(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 1000))
	r.answerStart(firstAttempt("a", 0), StartAccepted)
	r.advance(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Incomplete: true})
	r.collect()
	if len(r.actions.Reports) > 0 {
		t.Fatalf("reports %+v", r.actions.Reports)
	}
	r.applyRunning()
	r.wantReport("a", task.Lost, task.ReasonNotListed)
}

// Guards against a task that is placed again although it is done: the first list of a new
// incarnation had its end, but the run was reported as lost before the list was read.
func TestEndsThatANewIncarnationListsCount(t *testing.T) {
	r := newCoreHarness(t)
	for _, job := range []string{"accepted", "unanswered"} {
		r.submit(newStart(job, 0, 1000))
	}
	r.answerStart(firstAttempt("accepted", 0), StartAccepted)
	r.answerStart(firstAttempt("unanswered", 0), StartUnanswered)
	restarted := smallTarget
	restarted.Incarnation++
	r.core.Heartbeat(r.now, restarted)
	r.advance(ms)
	r.core.ConfirmCandidate(r.now, restarted, Snapshot{
		RequestedAt: r.now, Incarnation: restarted.Incarnation,
		Ended: []End{{firstAttempt("accepted", 0), task.Done}, {firstAttempt("unanswered", 0), task.Failed}},
	})
	r.collect()
	r.wantReport("accepted", task.Done, "")
	r.wantReport("unanswered", task.Failed, "")
}

// Guards against an agent that takes no more work after one wrong heartbeat: it names the
// present incarnation with a sequence number far ahead, or another service, so that all
// later ones were ignored.
func TestOneWrongHeartbeatDoesNotEndTheAgentsWork(t *testing.T) {
	ahead, otherService := smallTarget, smallTarget
	ahead.Seq = 1 << 30
	otherService.Service = "unknown"
	for name, wrong := range map[string]Target{"sequence number": ahead, "service": otherService} {
		t.Run(name, func(t *testing.T) {
			r := &coreHarness{t: t, core: NewCore(DefaultCoreOptions()), now: 10 * time.Second}
			r.core.Heartbeat(r.now, wrong)
			r.applyRunning()
			for seq := int64(1); seq < 5; seq++ {
				r.advance(1500 * ms)
				heartbeat := smallTarget
				heartbeat.Seq = seq
				r.core.Heartbeat(r.now, heartbeat)
				r.applyRunning()
			}
			if got, _ := r.core.Target(); got.Service != smallTarget.Service {
				t.Errorf("service %q", got.Service)
			}
			if ok, reason := r.core.Accepting(r.now); !ok {
				t.Errorf("the agent takes no work: %s", reason)
			}
		})
	}
}
