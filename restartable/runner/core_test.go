package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const ms = time.Millisecond

// rig drives a core by hand.
type rig struct {
	t    *testing.T
	core *Core
	now  time.Duration
	// actions holds what the core asked for since the last call of reset.
	actions Actions
	// begun holds the jobs of which a task was reported as started.
	begun []string
}

var smallTarget = Target{ID: "t1", Incarnation: 1, Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: 10_000, MemoryMB: 1000}}

// newRig returns a core with a target that runs nothing, and a gateway g.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, core: NewCore(DefaultCoreOptions()), now: 10 * time.Second}
	r.core.Heartbeat(r.now, smallTarget)
	r.look()
	r.core.RenewGatewayLease("g", r.now)
	r.collect()
	return r
}

func (r *rig) collect() {
	a := r.core.Take()
	r.actions.Starts = append(r.actions.Starts, a.Starts...)
	r.actions.Stops = append(r.actions.Stops, a.Stops...)
	for _, rep := range a.Reports {
		if rep.Outcome == task.Started {
			r.begun = append(r.begun, rep.Task.Job)
			continue
		}
		r.actions.Reports = append(r.actions.Reports, rep)
	}
	r.actions.Disconnect = append(r.actions.Disconnect, a.Disconnect...)
}

// after moves the clock.
func (r *rig) after(d time.Duration) { r.now += d }

// look gives the core a list that the target made just now.
func (r *rig) look(running ...Attempt) {
	r.after(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Running: running})
	r.collect()
}

// ended gives the core a list with one end.
func (r *rig) ended(a Attempt, o task.Outcome) {
	r.after(ms)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation, Ended: []End{{a, o}}})
	r.collect()
}

func taskOf(job string, index int) task.ID {
	return task.ID{StepID: task.StepID{Job: job}, Index: index}
}

func first(job string, index int) Attempt { return Attempt{taskOf(job, index), 1} }

func start(job string, index int, cpu int64) Start {
	return Start{
		Task: taskOf(job, index), Attempt: 1, Needs: task.Resources{CPUMillis: cpu, MemoryMB: 10},
		Expected: 100 * ms, StartWithin: time.Second, DueWithin: 100 * ms,
	}
}

func (r *rig) order(starts ...Start) {
	r.core.Submit(r.now, "g", r.now, starts)
	r.collect()
}

func (r *rig) answer(a Attempt, result StartResult) {
	r.after(ms)
	r.core.StartAnswered(r.now, a, result)
	r.collect()
}

func (r *rig) started() []string {
	var out []string
	for _, s := range r.actions.Starts {
		out = append(out, s.Task.Job)
	}
	return out
}

func (r *rig) report(job string) Report {
	r.t.Helper()
	for _, rep := range r.actions.Reports {
		if rep.Task.Job == job {
			return rep
		}
	}
	r.t.Fatalf("no report on job %s in %+v", job, r.actions.Reports)
	return Report{}
}

func (r *rig) wantStarted(jobs ...string) {
	r.t.Helper()
	if got := r.started(); !slices.Equal(got, jobs) {
		r.t.Fatalf("started %v, want %v", got, jobs)
	}
}

func (r *rig) wantReport(job string, o task.Outcome, reason task.Reason) {
	r.t.Helper()
	if rep := r.report(job); rep.Outcome != o || rep.Reason != reason {
		r.t.Fatalf("job %s: %v (%s), want %v (%s)", job, rep.Outcome, rep.Reason, o, reason)
	}
}

// Guards against a target that is brought over its capacity: everything that
// may be at work counts until the target has listed its end.
func TestCapacityCountsUntilTheEndIsListed(t *testing.T) {
	cases := map[string]func(r *rig){
		"start without an answer yet": func(*rig) {},
		"running":                     func(r *rig) { r.answer(first("a", 0), StartAccepted) },
		"start that stays unanswered": func(r *rig) { r.answer(first("a", 0), StartUnanswered) },
		"being stopped": func(r *rig) {
			r.answer(first("a", 0), StartAccepted)
			r.core.StopJobs(r.now, "g", []string{"a"})
		},
		"stop acknowledged": func(r *rig) {
			r.answer(first("a", 0), StartAccepted)
			r.core.StopJobs(r.now, "g", []string{"a"})
			r.core.StopAnswered(r.now, first("a", 0), true)
		},
	}
	for name, state := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.order(start("a", 0, 6000))
			state(r)
			r.order(start("b", 0, 6000))
			r.wantStarted("a")
			r.ended(first("a", 0), task.Stopped)
			r.wantStarted("a", "b")
		})
	}
}

// Guards against a second run beside one that an answer was lost for: the
// attempt counts as not started only after the target has acknowledged a stop
// and a later list does not have it.
func TestUnansweredStartIsResolvedByStopAndLook(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartUnanswered)
	if len(r.actions.Stops) != 1 {
		t.Fatalf("stops %v, want one", r.actions.Stops)
	}
	r.look()
	r.core.StopAnswered(r.now, first("a", 0), false)
	r.collect()
	if len(r.actions.Reports) != 0 || len(r.actions.Stops) != 2 {
		t.Fatalf("reports %v, stops %v; want none and a repeated stop", r.actions.Reports, r.actions.Stops)
	}
	began := r.now
	r.after(ms)
	r.core.StopAnswered(r.now, first("a", 0), true)
	r.core.ApplySnapshot(r.now+ms, Snapshot{RequestedAt: began, Incarnation: smallTarget.Incarnation})
	r.collect()
	if len(r.actions.Reports) != 0 {
		t.Fatal("a list from before the stop resolved the attempt")
	}
	r.after(2 * ms)
	r.look()
	r.wantReport("a", task.NotStarted, task.ReasonUnanswered)
}

// Guards against a stop that is lost because the start that it follows had not
// been answered.
func TestRevokeDuringStartStopsOnceStarted(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.core.StopJobs(r.now, "g", []string{"a"})
	r.answer(first("a", 0), StartAccepted)
	if !slices.Equal(r.actions.Stops, []Attempt{first("a", 0)}) {
		t.Fatalf("stops %v", r.actions.Stops)
	}
}

// Guards against work beside what a predecessor of this agent left on the
// target: its size is not known.
func TestNothingStartsBesideRunsOfAPredecessor(t *testing.T) {
	r := &rig{t: t, core: NewCore(DefaultCoreOptions()), now: time.Second}
	r.core.Heartbeat(r.now, smallTarget)
	r.core.RenewGatewayLease("g", r.now)
	r.order(start("early", 0, 1000))
	r.wantReport("early", task.NotStarted, task.ReasonNoTarget)
	old := Attempt{taskOf("old", 3), 2}
	r.look(old)
	r.order(start("a", 0, 1000))
	r.wantStarted()
	if !slices.Equal(r.actions.Stops, []Attempt{old}) {
		t.Fatalf("stops %v, want the predecessor's run", r.actions.Stops)
	}
	r.ended(old, task.Stopped)
	r.wantStarted("a")
}

// Guards against orders that were held up on their way, by a cut or by a
// suspension of either side, and that their gateway has given up since.
func TestStaleOrderIsRefused(t *testing.T) {
	r := newRig(t)
	stamp := r.now
	r.after(DefaultCoreOptions().OrderLifetime + ms)
	r.core.Submit(r.now, "g", stamp, []Start{start("a", 0, 1000)})
	r.collect()
	r.wantReport("a", task.NotStarted, task.ReasonStale)
	r.wantStarted()
}

// Guards against runs that go on after their gateway can no longer be heard:
// its callers submit their jobs elsewhere.
func TestLapsedGatewayLeaseStopsItsRuns(t *testing.T) {
	r := newRig(t)
	r.core.RenewGatewayLease("h", r.now)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartAccepted)
	r.order(start("queued", 0, 6000))
	r.core.Submit(r.now, "h", r.now, []Start{start("other", 0, 1000)})
	r.after(DefaultCoreOptions().GatewayLease - 10*ms)
	r.core.RenewGatewayLease("h", r.now)
	r.after(20 * ms)
	r.core.Tick(r.now)
	r.collect()
	if !slices.Equal(r.actions.Disconnect, []string{"g"}) || !slices.Equal(r.actions.Stops, []Attempt{first("a", 0)}) {
		t.Fatalf("disconnected %v, stopped %v", r.actions.Disconnect, r.actions.Stops)
	}
	r.wantReport("queued", task.NotStarted, task.ReasonRevoked)
}

// Guards against a queued task that starts after a suspension of this VM, when
// its gateway has long given it up.
func TestQueuedTaskDoesNotStartAfterASuspension(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartAccepted)
	r.order(start("b", 0, 6000))
	r.after(5 * time.Second)
	r.ended(first("a", 0), task.Lost)
	r.wantStarted("a")
	r.wantReport("b", task.NotStarted, task.ReasonGatewayLost)
}

// Guards against work for a target that is leaving; what runs goes on.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartAccepted)
	r.order(start("queued", 0, 6000))
	leaving := smallTarget
	leaving.Draining = true
	r.core.Heartbeat(r.now, leaving)
	r.collect()
	r.order(start("late", 0, 1000))
	r.wantReport("queued", task.NotStarted, task.ReasonDraining)
	r.wantReport("late", task.NotStarted, task.ReasonDraining)
	r.ended(first("a", 0), task.Done)
	r.wantReport("a", task.Done, "")
}

// Guards against heartbeats of an earlier life that arrive after the target has
// come back, and against runs of an earlier life that are waited for.
func TestLivesOfATarget(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartAccepted)
	reborn := smallTarget
	reborn.Incarnation, reborn.Capacity.CPUMillis = 2, 4000
	r.core.Heartbeat(r.now, reborn)
	r.collect()
	r.wantReport("a", task.Lost, "")
	old := smallTarget
	old.Draining = true
	r.core.Heartbeat(r.now, old)
	if got, _ := r.core.Target(); got.Incarnation != 2 || got.Draining {
		t.Fatalf("target %+v after a late heartbeat of an earlier life", got)
	}
	if r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: 1}) {
		t.Fatal("a list of an earlier life was taken")
	}
	reborn.Seq, reborn.Draining = 5, true
	r.core.Heartbeat(r.now, reborn)
	overtaken := reborn
	overtaken.Seq, overtaken.Draining = 4, false
	r.core.Heartbeat(r.now, overtaken)
	if got, _ := r.core.Target(); !got.Draining {
		t.Fatal("an overtaken heartbeat made a leaving target ready")
	}
}

// Guards against runs that are reported as lost while their lease may hold.
func TestUnreachableTargetKeepsItsRunsUntilTheLeaseLapses(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartAccepted)
	r.core.Unreachable(r.now, false)
	r.collect()
	if len(r.actions.Reports) != 0 {
		t.Fatalf("reports %v before the lapse", r.actions.Reports)
	}
	r.core.Unreachable(r.now, true)
	r.collect()
	r.wantReport("a", task.Lost, "")
}

// Guards against a second run of a task beside one that has not ended here.
func TestSecondOrderOfARunningTaskIsRefused(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 1000))
	again := start("a", 0, 1000)
	again.Attempt = 2
	r.order(again)
	r.wantReport("a", task.NotStarted, task.ReasonDuplicate)
}

// Guards against long tasks that hold up short ones which are due earlier, and
// against a full queue that delays what still fits.
func TestQueueGoesByDueTime(t *testing.T) {
	r := newRig(t)
	r.order(start("running", 0, 9000))
	relaxed, urgent, small := start("relaxed", 0, 9000), start("urgent", 0, 9000), start("small", 0, 1000)
	relaxed.DueWithin, urgent.DueWithin, small.DueWithin = 500*ms, 50*ms, 900*ms
	r.order(relaxed, urgent, small)
	r.wantStarted("running", "small")
	r.answer(first("running", 0), StartAccepted)
	r.ended(first("running", 0), task.Done)
	r.wantStarted("running", "small", "urgent")
}

// Guards against tasks that wait in the queue although their job has been given
// up by then.
func TestExpiredQueueEntryIsReported(t *testing.T) {
	r := newRig(t)
	r.order(start("running", 0, 9000))
	short := start("short", 0, 9000)
	short.StartWithin = 30 * ms
	r.order(short)
	r.after(31 * ms)
	r.core.Tick(r.now)
	r.collect()
	r.wantReport("short", task.NotStarted, task.ReasonExpired)
}

// Guards against more tasks of a step on one target than it allows.
func TestMaxPerTarget(t *testing.T) {
	r := newRig(t)
	one, two := start("a", 0, 1000), start("a", 1, 1000)
	one.MaxPerTarget, two.MaxPerTarget = 1, 1
	r.order(one, two)
	r.wantStarted("a")
	r.answer(first("a", 0), StartAccepted)
	r.ended(first("a", 0), task.Done)
	r.wantStarted("a", "a")
}

// Guards against a planned stop that cuts what runs, and one that begins work.
func TestStopLetsRunsEnd(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 9000))
	r.answer(first("a", 0), StartAccepted)
	r.order(start("queued", 0, 9000))
	r.core.Stop(r.now)
	r.collect()
	r.wantReport("queued", task.NotStarted, task.ReasonStopping)
	if r.core.Idle() || len(r.actions.Stops) != 0 {
		t.Fatal("the running task was not left to end")
	}
	r.ended(first("a", 0), task.Done)
	if !r.core.Idle() {
		t.Fatal("not idle after the last run ended")
	}
}

// Guards against a run that is taken for a predecessor's since a list that was
// asked for earlier arrives after the one with its end.
func TestOlderListArrivesLate(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 6000))
	r.answer(first("a", 0), StartAccepted)
	began := r.now + ms
	r.after(2 * ms)
	r.ended(first("a", 0), task.Done)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: began, Incarnation: smallTarget.Incarnation, Running: []Attempt{first("a", 0)}})
	r.collect()
	r.order(start("b", 0, 6000))
	r.wantStarted("a", "b")
	if len(r.actions.Stops) != 0 {
		t.Fatalf("stops %v", r.actions.Stops)
	}
}

// Guards against work for a target that an earlier process of the agent knew
// and that has been replaced since.
func TestRecalledTargetOfAnEarlierLifeGetsNoWork(t *testing.T) {
	r := &rig{t: t, core: NewCore(DefaultCoreOptions()), now: time.Second}
	r.core.Heartbeat(r.now, smallTarget)
	r.core.RenewGatewayLease("g", r.now)
	if r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: r.now, Incarnation: smallTarget.Incarnation + 5}) {
		t.Fatal("a list of another life was taken")
	}
	r.order(start("a", 0, 1000))
	r.wantStarted()
}

// Guards against a job that is refused as not run although a task of it has
// begun, or while that is not known.
func TestAcceptedStartIsReported(t *testing.T) {
	r := newRig(t)
	r.order(start("a", 0, 1000), start("b", 0, 1000))
	r.answer(first("a", 0), StartAccepted)
	r.answer(first("b", 0), StartUnanswered)
	if !slices.Equal(r.begun, []string{"a"}) {
		t.Fatalf("reported as started: %v", r.begun)
	}
}

// Guards against a task that waits behind others while its gateway knows free
// targets, and against one that is refused although it can begin.
func TestAtOnceTaskBeginsOrIsRefused(t *testing.T) {
	r := newRig(t)
	fits, tooMuch, alsoFits := start("j", 0, 6000), start("j", 1, 6000), start("j", 2, 4000)
	fits.AtOnce, tooMuch.AtOnce, alsoFits.AtOnce = true, true, true
	r.order(fits, tooMuch, alsoFits)
	if len(r.actions.Starts) != 2 || r.actions.Starts[0].Task != fits.Task || r.actions.Starts[1].Task != alsoFits.Task {
		t.Fatalf("started %+v", r.actions.Starts)
	}
	if len(r.actions.Reports) != 1 {
		t.Fatalf("reported %+v", r.actions.Reports)
	}
	if rep := r.actions.Reports[0]; rep.Task != tooMuch.Task || rep.Outcome != task.NotStarted || rep.Reason != task.ReasonBusy {
		t.Fatalf("reported %+v", rep)
	}
}

// Guards against a link that ends with work on it: what a retired gateway orders
// is refused, and what it has queued or at work goes on.
func TestRetiredGatewayKeepsWhatItHas(t *testing.T) {
	r := newRig(t)
	r.order(start("j", 0, 6000), start("j", 1, 6000))
	r.core.Retire("g")
	r.order(start("k", 0, 1000))
	if len(r.actions.Reports) != 1 || r.actions.Reports[0].Reason != task.ReasonUnlinked {
		t.Fatalf("reported %+v", r.actions.Reports)
	}
	if r.core.GatewayIdle("g") {
		t.Fatal("unused with a run and a queued task")
	}
	r.core.StartAnswered(r.now, first("j", 0), StartAccepted)
	r.ended(first("j", 0), task.Done)
	r.core.StartAnswered(r.now, first("j", 1), StartAccepted)
	r.ended(first("j", 1), task.Done)
	if !r.core.GatewayIdle("g") {
		t.Fatal("not unused after the end of all runs")
	}
}
