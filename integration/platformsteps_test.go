package integration

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

// Guards against tasks that start after their job was answered with 502, and run beside
// those of its resubmission (TWICE): of two steps that follow the same one, the first was
// ordered and the second refused, and the agent got the stop of the job before the order.
func TestPlatformJobWithARefusedStepLeavesNoTaskBehind(t *testing.T) {
	s := newPlatformDeployment(t, 1, 1)
	steps := []standin.Step{
		{Tasks: 1, Estimate: 20 * time.Millisecond},
		{Tasks: 2, Estimate: 500 * time.Millisecond, DependsOn: []int{0}},
		{Tasks: 1, Estimate: time.Minute, DependsOn: []int{0}},
	}
	status, _ := s.client(0).Submit(t.Context(), standin.Job{ID: "parallel", Spec: "ms=20,500", Steps: steps})
	if status != http.StatusBadGateway {
		t.Errorf("status %d, want %d: the last step takes longer than the job has time", status, http.StatusBadGateway)
	}
	// An agent gets its orders one after the other, so that any task of the first job has
	// started before this one.
	if status, _ := s.submit(0, "next", "ms=20", 1); status != http.StatusOK {
		t.Errorf("status %d for the next job", status)
	}
	starts := s.targets[0].Starts()
	want := map[string]int{"parallel.0.0.0": 1, "next.0.0.0": 1}
	if !maps.Equal(starts, want) {
		t.Errorf("starts %v, want %v", starts, want)
	}
}
