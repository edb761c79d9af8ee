package dispatch

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

var equalShares = fairshare.Settings{Enabled: true, DefaultWeight: 1}

const sharedAgents = 4

// newShareRig returns a rig whose targets of 30 cores are full: queue "bursting" takes more
// than half of each.
func newShareRig(t *testing.T, s fairshare.Settings) *rig {
	r := newRig(t)
	r.core.SetFairShares(s)
	for i := range sharedAgents {
		r.addAgent(agentName(i), 30_000)
	}
	r.advance(time.Second)
	r.reportUse(24_000, 6_000)
	return r
}

// reportUse reports targets that are full, with the use of both queues on each. The work
// that is committed ends soon.
func (r *rig) reportUse(bursting, steady int64) {
	for i := range sharedAgents {
		r.report(agentName(i), func(l *Load) {
			l.Committed, l.Backlog = task.Resources{CPUMillis: bursting + steady}, 20*ms
			l.QueueUse, l.QueueUseChanged = []QueueUse{{"bursting", bursting}, {"steady", steady}}, true
		})
	}
}

// submitJob submits a job of tasks of 100 ms to a queue.
func (r *rig) submitJob(queue, id string, tasks int) {
	s := newSubmission(id, tasks, 100*ms)
	s.Queue.Name = queue
	r.submit(s)
}

// submitBeyondCapacity submits jobs to both queues. All would have to wait.
func (r *rig) submitBeyondCapacity() {
	for i := range 4 {
		r.submitJob("steady", fmt.Sprintf("steady-%d", i), 1)
	}
	r.submitJob("bursting", "bursting-0", 1)
}

// Jobs of both queues have to wait for their targets while others have room. Guards against
// a wait for the best target that counts as lack of capacity.
func TestWaitForAFastTargetIsNoLackOfCapacity(t *testing.T) {
	r := newShareRig(t, equalShares)
	r.addAgent("free", 30_000)
	r.report("free", func(l *Load) { l.Slowness, l.QueueUseChanged = 20, true })
	r.submitBeyondCapacity()
	if a, ok := r.answers["bursting-0"]; ok {
		t.Errorf("a job is answered while a target has room: %+v", a)
	}
}

// One queue has filled the service and another one wants a part. Guards against jobs of
// the first that are taken on, and against a refusal without share, use or a time to
// return. The use on a service without load is not a reason to refuse.
func TestQueueAboveItsShareIsRefused(t *testing.T) {
	r := newShareRig(t, equalShares)
	r.submitBeyondCapacity()
	r.wantAnswer("bursting-0", NotRun, CauseShare)
	a := r.answers["bursting-0"]
	if a.RetryAfter < time.Second || a.Refusal == nil || a.Refusal.Share == nil {
		t.Fatalf("answer %+v without share or time to return", a)
	}
	if s := a.Refusal.Share; s.Use < 4*24_000 || s.Share >= s.Use || s.Demand < s.Use {
		t.Errorf("share %+v of the refused job", s)
	}
	for i := range 4 {
		if a, ok := r.answers[fmt.Sprintf("steady-%d", i)]; ok {
			t.Errorf("a job of the other queue is answered: %+v", a)
		}
	}
}

// Guards against refusals while a target has room: capacity would be left unused.
func TestQueueAboveItsShareUsesSpareCapacity(t *testing.T) {
	r := newShareRig(t, equalShares)
	r.submitBeyondCapacity()
	for i := range sharedAgents {
		r.report(agentName(i), func(l *Load) { l.Committed, l.Backlog = task.Resources{CPUMillis: 20_000}, 20*ms })
	}
	r.submitJob("bursting", "bursting-1", 1)
	if a, ok := r.answers["bursting-1"]; ok {
		t.Errorf("a job for which there is room is answered: %+v", a)
	}
}

// Guards against an admitted job that is dropped when its queue comes above its share:
// its second step is placed although all targets are full.
func TestAdmittedJobIsNotRefusedByShare(t *testing.T) {
	r := newShareRig(t, equalShares)
	r.reportUse(6_000, 6_000)
	s := newSubmission("steps", 1, 100*ms)
	s.Queue.Name = "bursting"
	s.Steps = append(s.Steps, s.Steps[0])
	s.Steps[1].DependsOn = []int{0}
	r.submit(s)
	r.reportUse(24_000, 6_000)
	r.submitBeyondCapacity()
	r.wantAnswer("bursting-0", NotRun, CauseShare)
	agent, attempt := r.placedOn("steps", 0)
	r.reportEvent(agent, newEvent("steps", 0, attempt, task.Done, ""))
	if a, ok := r.answers["steps"]; ok {
		t.Fatalf("the admitted job is answered: %+v", a)
	}
	second := r.orders[len(r.orders)-1]
	if second.Step != (task.StepID{Job: "steps", Step: 1}) {
		t.Errorf("the last order is %+v, want the second step", second)
	}
}

// A job has two independent steps, of which the second would have to wait. Guards against a
// refusal of the job as not run although orders of the first step are sent.
func TestJobWithAPlacedStepIsNotRefusedByShare(t *testing.T) {
	r := newShareRig(t, equalShares)
	r.submitBeyondCapacity()
	r.reportUse(22_000, 6_000)
	s := newSubmission("steps", 1, 100*ms)
	s.Queue.Name = "bursting"
	s.Steps = append(s.Steps, s.Steps[0])
	s.Steps[0].Needs.CPUMillis, s.Steps[1].Needs.CPUMillis = 1000, 5000
	r.submit(s)
	if a, ok := r.answers["steps"]; ok {
		t.Fatalf("the job is answered: %+v", a)
	}
	if last := r.orders[len(r.orders)-1]; last.Step != (task.StepID{Job: "steps", Step: 1}) {
		t.Errorf("the last order is %+v, want the second step", last)
	}
}

// Guards against a gateway that sends a burst between two reports, since it counts only
// what is reported.
func TestOrdersBetweenReportsCountAsUse(t *testing.T) {
	r := newShareRig(t, equalShares)
	r.reportUse(3_000, 3_000)
	r.submitJob("bursting", "j", 4)
	if got := r.core.serviceUsage(r.now, "s").Queues["bursting"]; got != 4*3_000+4*3_000 {
		t.Errorf("use %g with four tasks of 3000 sent since the report", got)
	}
}

// Guards against refusals by a gateway that knows the use of less than half of its
// agents: one that has just started, or one whose agents are of an earlier release.
func TestSharesWaitForReportsOfHalfOfTheAgents(t *testing.T) {
	r := newRig(t)
	r.core.SetFairShares(equalShares)
	for i := range sharedAgents {
		r.addAgent(agentName(i), 30_000)
	}
	r.advance(time.Second)
	for i := range sharedAgents {
		r.report(agentName(i), func(l *Load) {
			l.Committed, l.Backlog = task.Resources{CPUMillis: 30_000}, 20*ms
			if i == 0 {
				l.QueueUse, l.QueueUseChanged = []QueueUse{{"bursting", 24_000}, {"steady", 6_000}}, true
			}
		})
	}
	r.submitBeyondCapacity()
	if a, ok := r.answers["bursting-0"]; ok {
		t.Errorf("a job is answered by the report of one agent of four: %+v", a)
	}
}

// Guards against the use of an agent that is gone, of one whose reports are stale, and of
// one from before the shares were switched on again.
func TestUseOfAgentsThatAreGoneIsNotCounted(t *testing.T) {
	r := newShareRig(t, equalShares)
	use := func() float64 { return r.core.serviceUsage(r.now, "s").Queues["bursting"] }
	if got := use(); got != 4*24_000 {
		t.Fatalf("use %g of all agents", got)
	}
	r.core.AgentDown(r.now, agentName(0))
	if got := use(); got != 3*24_000 {
		t.Errorf("use %g after an agent has left", got)
	}
	r.core.SetFairShares(fairshare.Settings{})
	r.core.SetFairShares(equalShares)
	if got := use(); got != 0 {
		t.Errorf("use %g before agents have reported again", got)
	}
	r.report(agentName(1), func(l *Load) { l.QueueUse, l.QueueUseChanged = []QueueUse{{"bursting", 24_000}}, true })
	r.advance(r.core.opts.SuspectAfter + ms)
	if u := r.core.serviceUsage(r.now, "s"); u.Agents != 0 || u.Queues["bursting"] != 0 {
		t.Errorf("usage %+v of stale reports", u)
	}
}

// Guards against a limit that is not reported, and against one that does not end.
func TestLimitIsReportedOnceWithItsEnd(t *testing.T) {
	r := newShareRig(t, equalShares)
	for i := range 4 {
		r.submitJob("steady", fmt.Sprintf("steady-%d", i), 1)
	}
	for i := range 3 {
		r.core.Submit(r.now, func() Submission {
			s := newSubmission(fmt.Sprintf("bursting-%d", i), 1, 100*ms)
			s.Queue.Name = "bursting"
			return s
		}(), &Caller{Answer: func(Answer) {}})
	}
	if changes := r.core.Take().ShareChanges; len(changes) != 1 || !changes[0].Limited || changes[0].Queue != "bursting" {
		t.Errorf("changes %+v, want the start of one limit", changes)
	}
	r.advance(1100 * ms)
	r.core.Tick(r.now)
	if changes := r.core.Take().ShareChanges; len(changes) != 1 || changes[0].Limited {
		t.Errorf("changes %+v, want the end of the limit", changes)
	}
}

// Guards against decisions that change although fair shares are switched off: the same
// calls lead to the same orders and answers whether agents report the use of queues or
// not.
func TestWithoutFairSharesNothingChanges(t *testing.T) {
	play := func(s fairshare.Settings, reportUse bool) *rig {
		r := newRig(t)
		r.core.SetFairShares(s)
		for i := range sharedAgents {
			r.addAgent(agentName(i), 30_000)
		}
		r.advance(time.Second)
		for n := range 200 {
			r.submitJob([]string{"bursting", "bursting", "steady"}[n%3], fmt.Sprintf("j%d", n), 1+n%5)
			r.advance(5 * ms)
			r.core.Tick(r.now)
			r.report(agentName(n%sharedAgents), func(l *Load) {
				l.Committed, l.Backlog = task.Resources{CPUMillis: int64(20_000 + n%4*4_000)}, 30*ms
				if reportUse {
					l.QueueUse, l.QueueUseChanged = []QueueUse{{"bursting", l.Committed.CPUMillis - 5_000}, {"steady", 5_000}}, true
				}
			})
		}
		return r
	}
	base, off, on := play(fairshare.Settings{}, false), play(fairshare.Settings{DefaultWeight: 3}, true), play(equalShares, true)
	if !reflect.DeepEqual(base.orders, off.orders) || !reflect.DeepEqual(base.answers, off.answers) || !reflect.DeepEqual(base.stops, off.stops) {
		t.Error("orders, stops or answers differ although fair shares are switched off")
	}
	shared := 0
	for _, a := range on.answers {
		if a.Cause == CauseShare {
			shared++
		}
	}
	if shared == 0 {
		t.Error("the load leads to no refusal with fair shares either, so that it shows nothing")
	}
}
