package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

func firstTask(job string) task.ID { return task.ID{StepID: task.StepID{Job: job}} }

// doubtful returns a rig of two agents; a has told that a start of job j is in doubt.
func doubtful(t *testing.T) *rig {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.report("a", func(l *Load) { l.Accepting, l.DoubtsChanged, l.TasksInDoubt = false, true, []task.ID{firstTask("j")} })
	return r
}

func (r *rig) wantHeld(job string) {
	r.t.Helper()
	if i := slices.IndexFunc(r.orders, func(o Order) bool { return o.Step.Job == job }); i >= 0 {
		r.t.Fatalf("job %s is placed while in doubt: %+v", job, r.orders[i])
	}
}

func (r *rig) wantPlaced(job string) {
	r.t.Helper()
	if !slices.ContainsFunc(r.orders, func(o Order) bool { return o.Step.Job == job }) {
		r.t.Fatalf("job %s is not placed", job)
	}
}

func (r *rig) tick(d time.Duration) {
	r.advance(d)
	r.core.Tick(r.now)
	r.collect()
}

// Guards against two runs of a task at the same time (TWICE): a job that was submitted
// again at another gateway started while a silent target could still carry out a start of
// its first submission.
func TestResubmissionIsHeldWhileAStartIsInDoubt(t *testing.T) {
	r := doubtful(t)
	r.submit(newSubmission("j", 1, 100*ms))
	r.tick(200 * ms)
	r.wantHeld("j")
	r.submit(newSubmission("other", 1, 100*ms))
	r.wantPlaced("other")
	r.report("a", func(l *Load) { l.Fenced, l.DoubtsChanged = true, true })
	r.tick(20 * ms)
	r.wantPlaced("j")
}

// Guards against a held job whose caller waits although it cannot be completed in time any
// more, and against the answer that it has not run and never will.
func TestHeldJobIsGivenUpOnceItCannotEndInTime(t *testing.T) {
	r := doubtful(t)
	r.submit(newSubmission("j", 1, 900*ms))
	for range 50 {
		r.tick(20 * ms)
		r.report("a", func(l *Load) { l.Accepting, l.DoubtsChanged, l.TasksInDoubt = false, true, []task.ID{firstTask("j")} })
	}
	r.wantHeld("j")
	r.wantAnswer("j", Unfinished, CauseInDoubt)
	if waited := r.answers["j"].Elapsed; waited > time.Second {
		t.Errorf("the answer took %v of 1.5 s, although the job takes 0.9 s", waited)
	}
}

// Guards against a job whose task is on a silent target and whose caller is answered only
// at the deadline.
func TestJobWithAStartInDoubtIsGivenUpOnceItCannotEndInTime(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newSubmission("j", 1, 900*ms))
	for range 50 {
		r.tick(20 * ms)
		r.report("a", func(l *Load) { l.Accepting, l.DoubtsChanged, l.TasksInDoubt = false, true, []task.ID{firstTask("j")} })
	}
	r.wantAnswer("j", Unfinished, CauseInDoubt)
}

// Guards against a job that is given up since an earlier submission is in doubt, although
// its own tasks run.
func TestJobThatRunsIsNotGivenUpForAnEarlierSubmission(t *testing.T) {
	r := newRig(t)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 900*ms))
	r.reportEvent("b", newEvent("j", 0, 1, task.Started, ""))
	r.core.TasksRelayed(r.now, "b", []TaskInDoubt{{firstTask("j"), "a"}})
	r.tick(800 * ms)
	if len(r.answers) != 0 {
		t.Fatalf("answers %v, want none", r.answers)
	}
}

// Guards against two runs of a task at the same time (TWICE): an agent ended with a start
// that its target had not answered, and neither its successor nor another gateway knew of
// it.
func TestStartsOfALostAgentAreInDoubtUntilItsTargetIsFenced(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	r.submit(newSubmission("confirmed", 1, 100*ms))
	r.reportEvent("a", newEvent("confirmed", 0, 1, task.Started, ""))
	r.core.AgentDown(r.now, "a")
	r.addAgent("b", 32_000)
	if got := r.core.TasksInDoubt(r.now); !slices.Equal(got, []TaskInDoubt{{firstTask("j"), "a"}}) {
		t.Fatalf("tasks in doubt %v, want j", got)
	}
	r.core.AgentUp(r.now, AgentInfo{Link: "a2", Name: "a", Zone: "z1", Process: 2})
	r.report("a2", func(l *Load) { l.Accepting = false })
	placed := len(r.orders)
	r.submit(newSubmission("j", 1, 100*ms))
	r.tick(20 * ms)
	if len(r.orders) != placed {
		t.Fatal("the job is placed before the target is known to refuse earlier calls")
	}
	r.report("a2", func(l *Load) { l.FencingToken, l.Fenced = 1<<20, true })
	r.tick(20 * ms)
	if len(r.orders) == placed {
		t.Fatal("the job is not placed after the target refuses earlier calls")
	}
}

// Guards against jobs that are held for ever because an agent never comes back, and
// against a doubt that ends while targets may still carry out late calls.
func TestDoubtsOfALostAgentExpire(t *testing.T) {
	r := doubtful(t)
	r.core.AgentDown(r.now, "a")
	r.tick(12 * time.Second)
	if got := r.core.TasksInDoubt(r.now); len(got) != 1 {
		t.Fatalf("tasks in doubt %v after 12 s, want one", got)
	}
	r.tick(2 * time.Second)
	if got := r.core.TasksInDoubt(r.now); len(got) != 0 {
		t.Fatalf("tasks in doubt %v after 14 s, want none", got)
	}
}

// Guards against a job that starts at a gateway without a link to the agent in doubt, and
// against lists that gateways pass back and forth for ever.
func TestRelayedDoubtsHoldJobsAndAreNotPassedOn(t *testing.T) {
	r := newRig(t)
	r.addAgent("b", 32_000)
	r.core.TasksRelayed(r.now, "b", []TaskInDoubt{{firstTask("j"), "a"}})
	r.submit(newSubmission("j", 1, 100*ms))
	r.wantHeld("j")
	if got := r.core.TasksInDoubt(r.now); len(got) != 0 {
		t.Fatalf("the gateway passes on %v", got)
	}
	r.core.TasksRelayed(r.now, "b", nil)
	r.tick(20 * ms)
	r.wantPlaced("j")
}

// Guards against jobs that wait for lists that other gateways have sent before the doubt
// ended, although this gateway hears from the agent itself.
func TestRelayedDoubtsOfALinkedAgentAreIgnored(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.core.TasksRelayed(r.now, "b", []TaskInDoubt{{firstTask("j"), "a"}})
	r.submit(newSubmission("j", 1, 100*ms))
	r.wantHeld("j")
	r.report("a", func(l *Load) { l.Fenced, l.DoubtsChanged = true, true })
	r.tick(20 * ms)
	r.wantPlaced("j")
}

// Guards against jobs that are held because of an agent of an earlier release, which does
// not say when its target refuses earlier calls.
func TestAgentsOfEarlierReleasesLeaveNothingInDoubt(t *testing.T) {
	r := newRig(t)
	r.core.AgentUp(r.now, AgentInfo{Link: "old", Name: "old", Zone: "z1"})
	r.core.AgentTarget("old", TargetInfo{Target: "old", Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
	r.report("old", func(*Load) {})
	r.submit(newSubmission("j", 1, 100*ms))
	r.wantPlaced("j")
	r.core.AgentDown(r.now, "old")
	if got := r.core.TasksInDoubt(r.now); len(got) != 0 {
		t.Fatalf("tasks in doubt %v, want none", got)
	}
}

// Guards against two runs of a task at the same time (TWICE): a start got no answer, its job
// was given up and submitted again, and while it ran elsewhere the first target crashed and
// carried the start out.
func TestRunIsStoppedOnceAnEarlierStartComesIntoDoubtElsewhere(t *testing.T) {
	doubts := map[string]func(r *rig){
		"reported": func(r *rig) {
			r.report("a", func(l *Load) { l.DoubtsChanged, l.TasksInDoubt = true, []task.ID{firstTask("j")} })
		},
		"relayed": func(r *rig) {
			r.core.AgentDown(r.now, "a")
			r.core.TasksRelayed(r.now, "b", []TaskInDoubt{{firstTask("j"), "a"}})
			r.collect()
		},
	}
	for name, doubt := range doubts {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addAgent("b", 32_000)
			r.submit(newSubmission("j", 1, 100*ms))
			r.addAgent("a", 32_000)
			r.reportEvent("b", newEvent("j", 0, 1, task.Started, ""))
			doubt(r)
			want := Stop{Link: "b", Job: "j", Task: firstTask("j"), Attempt: 1}
			if !slices.Equal(r.stops, []Stop{want}) {
				t.Fatalf("stops %+v, want %+v", r.stops, want)
			}
			placed := len(r.orders)
			r.reportEvent("b", newEvent("j", 0, 1, task.Stopped, ""))
			if len(r.orders) != placed {
				t.Fatal("the task is placed again while in doubt")
			}
		})
	}
}

// Guards against a run that goes on although an earlier start of its task is in doubt
// elsewhere: the agent disregards a stop while the start has no answer.
func TestRunInDoubtElsewhereIsStoppedAgainOnceItHasStarted(t *testing.T) {
	r := newRig(t)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	r.addAgent("a", 32_000)
	r.report("a", func(l *Load) { l.DoubtsChanged, l.TasksInDoubt = true, []task.ID{firstTask("j")} })
	r.report("a", func(*Load) {})
	want := Stop{Link: "b", Job: "j", Task: firstTask("j"), Attempt: 1}
	if !slices.Equal(r.stops, []Stop{want}) {
		t.Fatalf("stops %+v, want %+v", r.stops, want)
	}
	r.reportEvent("b", newEvent("j", 0, 1, task.Started, task.ReasonRepeated))
	if !slices.Equal(r.stops, []Stop{want, want}) {
		t.Fatalf("stops %+v after the start, want two of %+v", r.stops, want)
	}
}

// Guards against a task that is in doubt elsewhere and runs on, since it had been recalled
// before and its agent disregarded that.
func TestRecalledRunIsStoppedOnceItIsInDoubtElsewhere(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.submit(newSubmission("j", 1, 100*ms))
	agent, _ := r.placedOn("j", 0)
	for range 30 {
		r.tick(20 * ms)
		for _, name := range []string{"a", "b"} {
			r.report(name, func(*Load) {})
		}
	}
	recall := Stop{Link: agent, Job: "j", Task: firstTask("j"), Attempt: 1}
	if !slices.Equal(r.stops, []Stop{recall}) {
		t.Fatalf("stops %+v of the overdue task, want %+v", r.stops, recall)
	}
	r.reportEvent(agent, newEvent("j", 0, 1, task.Started, task.ReasonRepeated))
	if len(r.stops) != 1 {
		t.Fatalf("stops %+v after the start, want the recall alone", r.stops)
	}
	other := map[string]string{"a": "b", "b": "a"}[agent]
	r.report(other, func(l *Load) { l.DoubtsChanged, l.TasksInDoubt = true, []task.ID{firstTask("j")} })
	if len(r.stops) != 2 {
		t.Fatalf("stops %+v once it is in doubt elsewhere, want a second one", r.stops)
	}
}
