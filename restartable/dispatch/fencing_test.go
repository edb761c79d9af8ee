package dispatch

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a restarted agent whose clock was set back, so that its target takes late
// calls of the process before for newer ones, and against a doubt that ends by calls that
// fence nothing.
func TestRestartedAgentNeedsAHigherTokenThanItsPredecessor(t *testing.T) {
	r := newRig(t)
	up := func(link string, process uint64, token int64, fenced bool, tasks ...task.ID) {
		r.core.AgentUp(r.now, AgentInfo{Link: link, Name: "a", Zone: "z1", Process: process})
		r.report(link, func(l *Load) { l.FencingToken, l.Fenced, l.DoubtsChanged, l.TasksInDoubt = token, fenced, true, tasks })
	}
	up("a#1", 1, 50_000, false, firstTask("j"))
	up("a#2", 1, 50_001, false, firstTask("j"))
	if got := r.core.MinFencingToken("a"); got != 0 {
		t.Errorf("a new link of the same process needs token %d, want none", got)
	}
	up("a#3", 2, 40_000, true)
	want := int64(50_001 + tokenMargin)
	if got := r.core.MinFencingToken("a"); got != want {
		t.Errorf("the next process needs token %d, want %d", got, want)
	}
	if len(r.core.TasksInDoubt(r.now)) != 1 {
		t.Error("the doubt has ended by a call with a token lower than before")
	}
	r.report("a#3", func(l *Load) { l.FencingToken, l.Fenced = want, true })
	if n := len(r.core.TasksInDoubt(r.now)); n != 0 {
		t.Errorf("%d tasks in doubt after a call with the required token, want none", n)
	}
	if got := r.core.MinFencingToken("a"); got != 0 {
		t.Errorf("token %d is required of an agent that uses it already", got)
	}
	up("a#4", 3, 40_000, true)
	r.tick(14 * time.Second)
	if got := r.core.MinFencingToken("a"); got != 0 {
		t.Errorf("token %d is required of an agent that was not heard for 14 s", got)
	}
}
