package dispatch

import (
	"testing"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// resize reports a new capacity of an agent's target.
func (r *rig) resize(agent string, cpu int64) {
	r.core.AgentTarget(agent, TargetInfo{Target: agent, Service: "s", Kind: "a", Capacity: task.Resources{CPUMillis: cpu, MemoryMB: 60_000}})
}

// submitLarge submits a job of one task that needs 20 cores.
func (r *rig) submitLarge(id string) {
	s := newSubmission(id, 1, 50*ms)
	s.Steps[0].Needs.CPUMillis = 20_000
	r.submit(s)
}

// Guards against a task that a shrunk target returns, or a new one, that is sent to it
// again, and against a job that waits although no target is large enough any more.
func TestTasksGoToTargetsThatHaveNotShrunk(t *testing.T) {
	r := newCrashRig(t, 2)
	r.submitLarge("returned")
	first, attempt := r.placedOn("returned", 0)
	other := agentName(0)
	if first == other {
		other = agentName(1)
	}
	r.resize(first, 10_000)
	r.reportEvent(first, newEvent("returned", 0, attempt, task.NotStarted, task.ReasonTooLarge))
	r.submitLarge("new")
	for _, job := range []string{"returned", "new"} {
		if agent, _ := r.placedOn(job, 0); agent != other {
			t.Errorf("the task of job %s is on %q, want %s", job, agent, other)
		}
	}
	r.resize(other, 10_000)
	r.submitLarge("refused")
	r.wantAnswer("refused", NotRun, CauseTooLarge)
	r.resize(first, 32_000)
	r.submitLarge("grown")
	if agent, _ := r.placedOn("grown", 0); agent != first {
		t.Errorf("the task is on %q, want %s, which has grown back", agent, first)
	}
}

// Guards against gateways that expect a shrunk target to be as soon free as before: with
// the same work on both, the one that has its whole capacity is chosen.
func TestShrunkTargetsCountAsFuller(t *testing.T) {
	for shrunk := range 2 {
		r := newCrashRig(t, 2)
		r.resize(agentName(shrunk), 16_000)
		for i := range 2 {
			r.report(agentName(i), func(l *Load) { l.Committed.CPUMillis = 12_000 })
		}
		r.submit(newSubmission("j", 1, 50*ms))
		if agent, _ := r.placedOn("j", 0); agent != agentName(1-shrunk) {
			t.Errorf("the task is on %s, want the one that has not shrunk", agent)
		}
	}
}
