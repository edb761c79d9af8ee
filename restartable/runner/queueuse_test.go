package runner

import (
	"slices"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a use by queue that leaves out queued tasks, that counts ended ones, or
// that differs from what the load says is committed.
func TestLoadNamesTheUseOfEachQueue(t *testing.T) {
	r := newCoreHarness(t)
	start := func(queue, job string, cpu int64) Start {
		return Start{
			Task: task.ID{StepID: task.StepID{Job: job}}, Attempt: 1, Queue: queue, Needs: task.Resources{CPUMillis: cpu},
			Expected: 100 * ms, StartWithin: 1000 * ms, DueWithin: 1000 * ms,
		}
	}
	r.core.Submit(r.now, "g", r.now, []Start{
		start("b", "running", 6000), start("a", "beside", 1000), start("b", "queued", 5000), start("", "of-an-earlier-release", 500),
	})
	want := []QueueUse{{"a", 1000}, {"b", 11_000}}
	if got := r.core.Load(r.now).QueueUse; !slices.Equal(got, want) {
		t.Errorf("use by queue %v, want %v", got, want)
	}
	if got := r.core.Load(r.now).Committed.CPUMillis; got != 12_500 {
		t.Errorf("committed %d, want 12500", got)
	}
	r.core.StopJobs(r.now, "g", []string{"queued"})
	if got, want := r.core.Load(r.now).QueueUse, []QueueUse{{"a", 1000}, {"b", 6000}}; !slices.Equal(got, want) {
		t.Errorf("use by queue %v after the end of a task, want %v", got, want)
	}
}
