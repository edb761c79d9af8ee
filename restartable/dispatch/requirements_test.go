package dispatch

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// addLabelledAgent adds an agent whose target has labels.
func (r *rig) addLabelledAgent(name string, labels ...string) {
	r.addAgent(name, 32_000)
	r.setLabels(name, labels...)
}

func (r *rig) setLabels(agent string, labels ...string) {
	r.core.AgentTarget(agent, TargetInfo{Target: agent, Service: "s", Kind: "a", Labels: labels, Capacity: task.Resources{CPUMillis: 32_000, MemoryMB: 60_000}})
}

// Guards against the start of a task on a target without its label (ROUTE): the agent gets
// no other word of what the target must have. A task that it returns since its target has
// changed goes to another one.
func TestTaskReturnedByATargetOfAnotherKindGoesToASuitableOne(t *testing.T) {
	r := newRig(t)
	r.addLabelledAgent("first", "a")
	r.addLabelledAgent("other", "b")
	s := newSubmission("j", 1, 100*ms)
	s.Steps[0].RequiredLabel = "a"
	r.submit(s)
	if o := r.orders[0]; o.Link != "first" || o.Service != "s" || o.RequiredLabel != "a" {
		t.Fatalf("order %+v, want one to the target with label a that names it and service s", o)
	}
	r.addLabelledAgent("second", "a")
	r.setLabels("first", "b")
	r.advance(10 * time.Millisecond)
	r.reportEvent("first", newEvent("j", 0, 1, task.NotStarted, task.ReasonUnsuitable))
	if n := r.placedTasks()["second"]; n != 1 {
		t.Fatalf("placed tasks %v, want the returned one on the second target with label a", r.placedTasks())
	}
	r.reportEvent("second", newEvent("j", 0, 2, task.Done, ""))
	r.wantAnswer("j", Completed, CauseNone)
}
