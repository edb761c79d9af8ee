package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// recallUnanswered submits a job of one task to two agents and reports that its start got no
// answer until it was stopped. It returns the agent of the start.
func (r *rig) recallUnanswered(s Submission) string {
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	r.submit(s)
	agent, attempt := r.placedOn(s.ID, 0)
	r.reportEvent(agent, newEvent(s.ID, 0, attempt, task.Lost, task.ReasonUnanswered))
	return agent
}

// Guards against two runs of a task at the same time: it was recalled before its target had
// answered the start and was started elsewhere, and the next process of the target carried
// the first start out.
func TestRecalledTaskWhoseStartGotNoAnswerStaysAtItsTarget(t *testing.T) {
	r := newRig(t)
	first := r.recallUnanswered(longSubmission("j", 1))
	if agent, attempt := r.placedOn("j", 0); agent != first || attempt != 2 {
		t.Fatalf("attempt %d is placed on %s, want attempt 2 on %s", attempt, agent, first)
	}
	r.reportEvent(first, newEvent("j", 0, 2, task.Failed, ""))
	if agent, attempt := r.placedOn("j", 0); agent != first || attempt != 3 {
		t.Fatalf("attempt %d is placed on %s, want attempt 3 on %s", attempt, agent, first)
	}
}

// Guards against a task that never leaves a target, although no late call of it can be on
// its way any more.
func TestTaskMayLeaveItsTargetOnceNoLateCallIsLeft(t *testing.T) {
	r := newRig(t)
	first := r.recallUnanswered(longSubmission("j", 1))
	r.advance(14 * time.Second)
	for _, agent := range []string{"a", "b"} {
		r.report(agent, func(l *Load) { l.Accepting = agent != first })
	}
	r.reportEvent(first, newEvent("j", 0, 2, task.NotStarted, task.ReasonNoTarget))
	if agent, _ := r.placedOn("j", 0); agent == first {
		t.Fatalf("the task is placed on %s, which takes no tasks, after 14 s", agent)
	}
}

// Guards against a job that waits up to its deadline for a target that takes no tasks, and
// against one that is given up while there is time.
func TestJobBoundToATargetThatTakesNoTasksIsGivenUpOnceItCannotEndInTime(t *testing.T) {
	r := newRig(t)
	first := r.recallUnanswered(newSubmission("j", 1, 900*ms))
	r.report(first, func(l *Load) { l.Accepting = false })
	r.reportEvent(first, newEvent("j", 0, 2, task.NotStarted, task.ReasonNoTarget))
	for range 50 {
		r.report(first, func(l *Load) { l.Accepting = false })
		if r.tick(20 * ms); len(r.answers) > 0 {
			break
		}
	}
	r.wantAnswer("j", Unfinished, CauseInDoubt)
	if waited := r.answers["j"].Elapsed; waited < 200*ms || waited > time.Second {
		t.Errorf("the answer took %v of 1.5 s, although the job takes 0.9 s", waited)
	}
}

func (r *rig) wantInDoubt(when string, want ...TaskInDoubt) {
	r.t.Helper()
	if got := r.core.TasksInDoubt(r.now); !slices.Equal(got, want) {
		r.t.Fatalf("tasks in doubt %s: %v, want %v", when, got, want)
	}
}

// Guards against two runs of a task at the same time: an agent restarted after one of its
// starts had got no answer, and neither it nor a gateway remembered the start when the
// target crashed.
func TestLateTasksOfAnAgentOutlastItsProcess(t *testing.T) {
	r := newRig(t)
	late := TaskInDoubt{firstTask("j"), "a"}
	r.addAgent("a", 32_000)
	r.addAgent("b", 32_000)
	report := func(link string, token int64, fenced bool) {
		r.report(link, func(l *Load) { l.Accepting, l.FencingToken, l.Fenced = false, token, fenced })
	}
	report("a", 1<<20, true)
	r.core.TasksRelayed(r.now, "a", []TaskInDoubt{late})
	r.submit(newSubmission("j", 1, 100*ms))
	r.wantPlaced("j")
	r.reportEvent("b", newEvent("j", 0, 1, task.Started, ""))
	r.wantInDoubt("while the target answers")
	r.core.AgentDown(r.now, "a")
	r.collect()
	if want := (Stop{Link: "b", Job: "j", Task: late.Task, Attempt: 1}); !slices.Equal(r.stops, []Stop{want}) {
		t.Fatalf("stops %+v, want %+v", r.stops, want)
	}
	r.wantInDoubt("once the agent is lost", late)
	r.core.AgentUp(r.now, AgentInfo{Link: "a2", Name: "a", Zone: "z1", Process: 2})
	report("a2", 1<<21, true)
	r.wantInDoubt("once the next process has fenced the calls of the first")
	report("a2", 1<<21, false)
	r.wantInDoubt("once the target is out of contact with the next process", late)
	r.tick(14 * time.Second)
	report("a2", 1<<21, false)
	r.wantInDoubt("after 14 s")
}

// Guards against a late task that a gateway forgets although its agent, which sends its list
// only when it changes, still has it.
func TestLateTaskIsKeptWhileItsAgentListsIt(t *testing.T) {
	r := newRig(t)
	late := TaskInDoubt{firstTask("j"), "a"}
	r.addAgent("a", 32_000)
	r.core.TasksRelayed(r.now, "a", []TaskInDoubt{late})
	for range 20 {
		r.tick(time.Second)
		r.report("a", func(l *Load) { l.Fenced = true })
	}
	r.core.AgentDown(r.now, "a")
	r.wantInDoubt("once the agent is lost", late)
}

// Guards against two runs of a task at the same time: a job was given up before its agent
// had told whether a start was answered, and then the agent ended.
func TestStartsOfAJobThatIsGivenUpAreInDoubtOnceTheirAgentIsLost(t *testing.T) {
	cases := map[string]struct {
		told    []AttemptEvent
		inDoubt bool
	}{
		"nothing was told":   {inDoubt: true},
		"it had not started": {told: []AttemptEvent{newEvent("j", 0, 1, task.NotStarted, task.ReasonRevoked)}},
		"it had started once": {told: []AttemptEvent{
			newEvent("j", 0, 1, task.Started, ""), newEvent("j", 0, 1, task.Stopped, ""),
		}},
		"its start was repeated":  {inDoubt: true, told: []AttemptEvent{newEvent("j", 0, 1, task.Started, task.ReasonRepeated)}},
		"its start had no answer": {inDoubt: true, told: []AttemptEvent{newEvent("j", 0, 1, task.Lost, task.ReasonUnanswered)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addAgent("a", 32_000)
			caller := &Caller{Answer: func(Answer) {}}
			r.core.Submit(r.now, newSubmission("j", 1, 100*ms), caller)
			r.collect()
			r.core.RemoveCaller(r.now, "j", caller)
			for _, e := range c.told {
				r.reportEvent("a", e)
			}
			r.core.AgentDown(r.now, "a")
			if got := len(r.core.TasksInDoubt(r.now)) > 0; got != c.inDoubt {
				t.Errorf("in doubt: %v, want %v", got, c.inDoubt)
			}
		})
	}
}

// Guards against a late start that is forgotten with an earlier attempt on the same agent,
// and against a resubmission that is answered as not run meanwhile: an earlier submission may
// still run.
func TestLateStartOutlastsTheReportOfAnEarlierAttempt(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	for range 2 {
		caller := &Caller{Answer: func(Answer) {}}
		r.core.Submit(r.now, newSubmission("j", 1, 100*ms), caller)
		r.collect()
		r.core.RemoveCaller(r.now, "j", caller)
		r.collect()
	}
	r.reportEvent("a", newEvent("j", 0, 1, task.NotStarted, task.ReasonRevoked))
	r.core.AgentDown(r.now, "a")
	r.collect()
	r.wantInDoubt("once the agent is lost", TaskInDoubt{firstTask("j"), "a"})
	r.submit(newSubmission("j", 1, 100*ms))
	for range 100 {
		r.tick(20 * ms)
	}
	r.wantAnswer("j", Unfinished, CauseInDoubt)
}

// Guards against two runs of a task at the same time: a task whose start had been repeated
// was done, and ran again for the resubmission of its job, when the target crashed and its
// next process carried out the first start.
func TestRepeatedStartsOfAnUnfinishedJobAreRemembered(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	s := newSubmission("j", 1, 100*ms)
	s.Steps = append(s.Steps, s.Steps[0])
	s.Steps[1].DependsOn = []int{0}
	caller := &Caller{Answer: func(Answer) {}}
	r.core.Submit(r.now, s, caller)
	r.collect()
	r.reportEvent("a", newEvent("j", 0, 1, task.Started, task.ReasonRepeated))
	r.reportEvent("a", newEvent("j", 0, 1, task.Done, ""))
	second := newEvent("j", 0, 1, task.Started, "")
	second.Task.Step = 1
	r.reportEvent("a", second)
	r.core.RemoveCaller(r.now, "j", caller)
	r.collect()
	r.report("a", func(l *Load) { l.Accepting = false })
	r.wantInDoubt("once the target is out of contact", TaskInDoubt{firstTask("j"), "a"})
}
