package link

import (
	"slices"
	"testing"
	"time"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
)

// Guards against two runs of a task at the same time (TWICE): a job that is submitted
// again at a gateway without a link to the silent target's agent.
func TestRelayPassesTasksInDoubtOnToOtherGateways(t *testing.T) {
	r := newRelay()
	j, k := &pb.TaskInDoubt{Task: &pb.TaskID{Job: "j"}}, &pb.TaskInDoubt{Task: &pb.TaskID{Job: "k"}}
	r.received(time.Second, "g1", []*pb.TaskInDoubt{j})
	r.received(time.Second, "g2", []*pb.TaskInDoubt{k})
	want := func(now time.Duration, gateway string, jobs ...string) {
		t.Helper()
		var got []string
		for _, id := range r.tasksFor(now, gateway) {
			got = append(got, id.Task.Job)
		}
		slices.Sort(got)
		if !slices.Equal(got, jobs) {
			t.Errorf("relayed to %s: %v, want %v", gateway, got, jobs)
		}
	}
	want(time.Second, "g3", "j", "k")
	want(time.Second, "g1", "k")
	r.received(2*time.Second, "g1", nil)
	want(2*time.Second, "g3", "k")
	// The link has ended without another list.
	want(13*time.Second, "g3", "k")
	want(15*time.Second, "g3")
}
