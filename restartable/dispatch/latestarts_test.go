package dispatch

import (
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
