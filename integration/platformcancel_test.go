package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

// cancel cancels a job at a gateway and requires a status.
func (s *platformDeployment) cancel(gateway int, job string, want int) {
	s.t.Helper()
	status, err := s.client(gateway).Cancel(s.t.Context(), job)
	if err != nil {
		s.t.Fatal(err)
	}
	s.wantStatus("the cancellation", status, want)
}

// awaitIdle waits until no task runs and returns how long that took.
func (s *platformDeployment) awaitIdle() time.Duration {
	s.t.Helper()
	begin := time.Now()
	for time.Since(begin) < 30*time.Second {
		running := 0
		for _, x := range s.targets {
			running += x.Running()
		}
		if running == 0 {
			return time.Since(begin)
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatal("a task runs for 30 s")
	return 0
}

// Guards against a job that runs on after its cancellation was acknowledged (UNASKED): the
// request reached another gateway than the one that had the job, which answered that there
// was no such job and told nobody.
func TestPlatformCancelReachesTheGatewayThatHasTheJob(t *testing.T) {
	s := newPlatformDeployment(t, 3, 1)
	steps := []standin.Step{{Tasks: 1, Estimate: time.Second}, {Tasks: 1, Estimate: time.Second, DependsOn: []int{0}}}
	job := standin.Job{ID: "cancelled", Spec: "ms=1000", Steps: steps}
	answered := make(chan int, 1)
	go func() {
		status, _ := s.client(0).Submit(t.Context(), job)
		answered <- status
	}()
	s.awaitRun()
	s.cancel(1, job.ID, http.StatusOK)
	s.wantStatus("the cancelled job", <-answered, http.StatusBadGateway)
	if took := s.awaitIdle(); took > 500*time.Millisecond {
		t.Errorf("its task ran for %v after the acknowledgement", took)
	}
	// A copy of the submission that was held up on its way to a third gateway.
	status, _ := s.client(2).Submit(t.Context(), job)
	s.wantStatus("a late submission of the cancelled job", status, http.StatusBadGateway)
	if n := s.targets[0].Starts()["cancelled.0.0.0"] + s.targets[0].Starts()["cancelled.0.1.0"]; n != 1 {
		t.Errorf("%d starts of its tasks, want the one before the cancellation", n)
	}
	s.cancel(2, "unknown", http.StatusGone)
}
