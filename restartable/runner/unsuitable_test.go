package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// newLabelledStart returns a start whose step requires a label, of a queue of smallTarget's
// service.
func newLabelledStart(job, label string) Start {
	s := newStart(job, 0, 10_000)
	s.Service, s.RequiredLabel = smallTarget.Service, label
	return s
}

// newLabelledHarness returns a core whose target has the label "a" and is full.
func newLabelledHarness(t *testing.T) *coreHarness {
	r := newCoreHarness(t)
	labelled := smallTarget
	labelled.Seq, labelled.Labels = 1, []string{"a", "rack"}
	r.core.Heartbeat(r.now, labelled)
	r.submit(newStart("running", 0, 10_000))
	r.answerStart(firstAttempt("running", 0), StartAccepted)
	r.wantStarted("running")
	return r
}

// Guards against the start of a task on a target without the label that its step requires
// (ROUTE): tasks that waited in the agent's queue started on the next incarnation of its
// target, which was of another kind.
func TestQueuedTasksAreReturnedIfTheNextIncarnationMayNotRunThem(t *testing.T) {
	for name, change := range map[string]func(t *Target){
		"other labels":  func(t *Target) { t.Labels = []string{"b", "rack"} },
		"other service": func(t *Target) { t.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			r := newLabelledHarness(t)
			r.submit(newLabelledStart("waiting", "a"))
			next := smallTarget
			next.ID, next.Incarnation, next.Labels = "t2", 2, []string{"a"}
			change(&next)
			r.confirm(next)
			r.wantStarted("running")
			r.wantReport("waiting", task.NotStarted, task.ReasonUnsuitable)
		})
	}
}

// Guards against a longer wait than needed: what the next incarnation may run keeps its
// place in the queue.
func TestQueuedTasksStartOnTheNextIncarnationIfItMayRunThem(t *testing.T) {
	r := newLabelledHarness(t)
	r.submit(newLabelledStart("waiting", "a"))
	next := smallTarget
	next.ID, next.Incarnation, next.Labels = "t2", 2, []string{"rack", "a"}
	r.confirm(next)
	r.wantStarted("running", "waiting")
}

// Guards against the start of a task on a target without its label because the gateway did
// not yet know of the present incarnation when it sent the order.
func TestOrderForTheEarlierKindOfATargetIsRefused(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newLabelledStart("j", "a"))
	r.wantStarted()
	r.wantReport("j", task.NotStarted, task.ReasonUnsuitable)
}

// Guards against the start of a waiting task after a heartbeat of the same incarnation has
// named other labels.
func TestQueuedTaskIsReturnedWhenTheTargetLosesItsLabel(t *testing.T) {
	r := newLabelledHarness(t)
	r.submit(newLabelledStart("waiting", "a"))
	changed := smallTarget
	changed.Seq, changed.Labels = 2, []string{"b"}
	r.core.Heartbeat(r.now, changed)
	r.collect()
	r.wantReport("waiting", task.NotStarted, task.ReasonUnsuitable)
}

// Guards against the repetition of an unanswered start at a target that has lost the label
// meanwhile.
func TestUnansweredStartIsNotRepeatedAtATargetWithoutItsLabel(t *testing.T) {
	r := newCoreHarness(t)
	labelled := smallTarget
	labelled.Seq, labelled.Labels = 1, []string{"a"}
	r.core.Heartbeat(r.now, labelled)
	r.submit(newLabelledStart("j", "a"))
	r.answerStart(firstAttempt("j", 0), StartUnanswered)
	changed := smallTarget
	changed.Seq, changed.Labels = 2, []string{"b"}
	r.core.Heartbeat(r.now, changed)
	r.applyRunning()
	r.wantStarted("j")
	if want := []Attempt{firstAttempt("j", 0)}; !slices.Equal(r.actions.Stops, want) {
		t.Fatalf("stops %v, want %v", r.actions.Stops, want)
	}
}

// Guards against the start of a task on a target that is back under its id as another kind
// (ROUTE): no call without an answer and no heartbeat has told of that yet, and the target
// takes a start that names its id.
func TestLabelledTaskStartsOnlyOnATargetThatConfirmsItsIncarnation(t *testing.T) {
	answers, silent := func(int) bool { return false }, func(int) bool { return true }
	for _, c := range []struct {
		name   string
		target TargetClient
		label  string
		starts int
	}{
		{"present", &fakeTarget{startedAt: time.Now(), pollFails: answers}, "a", 1},
		{"silent", &fakeTarget{startedAt: time.Now(), pollFails: silent}, "a", 0},
		{"replaced", &restartedTarget{}, "a", 0},
		{"silent, without a label", &fakeTarget{startedAt: time.Now(), pollFails: silent}, "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := 10 * time.Second
			r := syncedRunner(c.target, &now)
			labelled := smallTarget
			labelled.Seq, labelled.Labels = 1, []string{"a"}
			r.Heartbeat(labelled)
			r.mu.Lock()
			r.core.Submit(now, "g", now, []Start{newLabelledStart("a", c.label)})
			r.execute(r.core.Take())
			r.mu.Unlock()
			r.inFlight.Wait()
			f, ok := c.target.(*fakeTarget)
			if !ok {
				f = &c.target.(*restartedTarget).fakeTarget
			}
			if n := len(f.startDeadlines); n != c.starts {
				t.Errorf("%d starts were sent, want %d", n, c.starts)
			}
			if idle := r.core.Idle(); idle != (c.starts == 0) {
				t.Errorf("the agent is idle: %v, want %v: a start that was not sent is returned", idle, c.starts == 0)
			}
		})
	}
}
