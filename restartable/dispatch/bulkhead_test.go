package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// crashingJob reports two crashes, at two agents, under a job of a queue that another
// gateway has run.
func (r *rig) crashingJob(id, queue string) {
	for i := range maxCrashes {
		r.advance(ms)
		run := LostRun{Task: task.ID{StepID: task.StepID{Job: id}}, Attempt: i + 1, Queue: queue, Suspicion: 0.7}
		r.core.TargetCrashed(r.now, agentName(i), Crash{Incarnation: int64(r.now), Certain: true, Runs: []LostRun{run}})
	}
}

// submitTo submits a job of one short task to a queue and returns the agent that it was
// sent to, which reports it as done.
func (r *rig) submitTo(queue, id string) string {
	s := newSubmission(id, 1, 50*ms)
	s.Queue.Name = queue
	r.submit(s)
	agent, attempt := r.placedOn(id, 0)
	if agent != "" {
		r.reportEvent(agent, newEvent(id, 0, attempt, task.Done, ""))
	}
	return agent
}

// useOf submits jobs to a queue and returns how many each agent got.
func (r *rig) useOf(queue string, jobs int) map[string]int {
	used := map[string]int{}
	for i := range jobs {
		used[r.submitTo(queue, fmt.Sprintf("%s-%d-%d", queue, r.now, i))]++
	}
	return used
}

// Guards against a kind of jobs of which many crash their targets, one job after another
// each of which is given up, until no target is left for the others.
func TestQueueWhoseJobsCrashTargetsIsConfined(t *testing.T) {
	const agents = 8
	r := newCrashRig(t, agents)
	for range 4 {
		r.useOf("bad", 5)
		r.useOf("good", 15)
		r.tickFor(100*ms, agents)
	}
	r.tickFor(200*ms, agents)
	if r.core.bulkheads.isConfined("s", "bad") {
		t.Fatal("the queue is confined before a job has crashed its targets")
	}
	r.crashingJob("one", "bad")
	r.tickFor(200*ms, agents)
	bad, good := r.useOf("bad", 40), r.useOf("good", 40)
	if len(bad) > agents/2 {
		t.Errorf("the confined queue uses %d of %d targets: %v", len(bad), agents, bad)
	}
	for agent := range bad {
		if good[agent] > 0 {
			t.Errorf("both queues use %s", agent)
		}
	}
	for time := time.Duration(0); time < 6*crashingJobHalfLife; time += 500 * ms {
		r.tickFor(500*ms, agents)
	}
	if r.core.bulkheads.isConfined("s", "bad") {
		t.Error("the queue is still confined long after the last crash")
	}
}

// Guards against a queue that goes on taking down targets after its first crashing job has
// been found: it was confined at the next periodic update, up to 100 ms later.
func TestQueueIsConfinedAsSoonAsACrashingJobIsFound(t *testing.T) {
	const agents = 8
	r := newCrashRig(t, agents)
	r.useOf("good", 15)
	r.useOf("bad", 5)
	r.tickFor(200*ms, agents)
	r.crashingJob("one", "bad")
	if bad := r.useOf("bad", 40); len(bad) > agents/2 {
		t.Errorf("the queue uses %d of %d targets right after its job was found: %v", len(bad), agents, bad)
	}
}

// Guards against a confined queue that gets no target at all, since its service has few,
// or since another queue has reserved them.
func TestConfinedQueueKeepsATarget(t *testing.T) {
	for _, agents := range []int{1, 2, 3} {
		r := newCrashRig(t, max(agents, maxCrashes))
		for i := agents; i < maxCrashes; i++ {
			r.core.AgentDown(r.now, agentName(i))
		}
		r.useOf("bad", 1)
		r.useOf("good", 30)
		for _, job := range []string{"one", "two"} {
			for i := range maxCrashes {
				r.advance(ms)
				run := LostRun{Task: task.ID{StepID: task.StepID{Job: job}}, Attempt: i + 1, Queue: "bad", Suspicion: 0.7}
				r.core.TargetCrashed(r.now, agentName(0), Crash{Incarnation: int64(r.now), Certain: true, Runs: []LostRun{run}})
			}
		}
		r.tickFor(200*ms, agents)
		if !r.core.bulkheads.isConfined("s", "bad") {
			t.Fatalf("%d agents: the queue is not confined", agents)
		}
		if agent := r.submitTo("bad", "next"); agent == "" {
			t.Errorf("%d agents: a job of the confined queue was not placed: %+v", agents, r.answers["next"])
		}
	}
}

// Guards against a queue that is confined because its tasks ran beside those that crash
// their targets, and against crashes that an agent of an earlier release reports without
// a queue.
func TestQueueOfInnocentTasksIsNotConfined(t *testing.T) {
	r := newCrashRig(t, 4)
	for n := range 6 {
		for i := range maxInnocentCrashes {
			r.advance(ms)
			runs := []LostRun{
				{Task: task.ID{StepID: task.StepID{Job: fmt.Sprintf("innocent-%d", n)}}, Attempt: i + 1, Queue: "good", Suspicion: 0.2},
				{Task: task.ID{StepID: task.StepID{Job: fmt.Sprintf("unnamed-%d", n)}}, Attempt: i + 1, Suspicion: 0.8},
			}
			r.core.TargetCrashed(r.now, agentName(i), Crash{Incarnation: int64(r.now), Certain: true, Runs: runs})
		}
	}
	r.tickFor(200*ms, 4)
	for k, q := range r.core.bulkheads.queues {
		if q.confined || k.queue == "" {
			t.Errorf("queue %q: confined %v", k.queue, q.confined)
		}
	}
}
