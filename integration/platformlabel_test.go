package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

// Guards against the start of a task on a target without the label that its step requires
// (ROUTE): a target that came back as another kind got the tasks that had waited for its
// predecessor at its agent.
func TestPlatformTargetOfAnotherKindGetsNoTaskOfTheEarlierOne(t *testing.T) {
	s := newPlatformDeployment(t, 1, 2)
	s.awaitWorkOnBoth()
	// Each target has room for four tasks, so that a third of them waits.
	var jobs sync.WaitGroup
	var completed atomic.Int64
	for n := range 6 {
		jobs.Go(func() {
			job := standin.Job{ID: fmt.Sprintf("labelled-%d", n), Spec: "ms=400", Steps: []standin.Step{{Tasks: 2, Estimate: 400 * time.Millisecond, RequiredLabel: "a"}}}
			if status, _ := s.client(0).Submit(t.Context(), job); status == http.StatusOK {
				completed.Add(1)
			}
		})
	}
	s.awaitRun()
	time.Sleep(100 * time.Millisecond)
	s.targets[0].RestartAs("i-0-next", "b")
	jobs.Wait()
	for _, r := range s.targets[0].Runs() {
		if r.Label != "a" {
			t.Errorf("a task that requires label a was started on a target with label b: %+v", r)
		}
	}
	if completed.Load() == 0 {
		t.Error("no job is completed, although one target has the label")
	}
	s.checkNoViolations()
	s.checkNoOverlap()
}
