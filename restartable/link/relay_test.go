package link

import (
	"slices"
	"testing"
	"time"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
)

func doubtsFrame(jobs ...string) *pb.RunOrder {
	f := &pb.RunOrder{DoubtsChanged: true}
	for _, j := range jobs {
		f.TasksInDoubt = append(f.TasksInDoubt, &pb.TaskInDoubt{Task: &pb.TaskID{Job: j}, Agent: "a"})
	}
	return f
}

// Guards against two runs of a task at the same time (TWICE): a job that is submitted
// again at a gateway without a link to the silent target's agent.
func TestRelayPassesTasksInDoubtOnToOtherGateways(t *testing.T) {
	r := newRelay()
	r.received(time.Second, "g1", doubtsFrame("j"))
	r.received(time.Second, "g2", doubtsFrame("j", "k"))
	want := func(now time.Duration, gateway string, jobs ...string) {
		t.Helper()
		var got []string
		_, tasks := r.changesSince(now, gateway, 0)
		for _, id := range tasks {
			got = append(got, id.Task.Job)
		}
		slices.Sort(got)
		if !slices.Equal(got, jobs) {
			t.Errorf("relayed to %s: %v, want %v", gateway, got, jobs)
		}
	}
	want(time.Second, "g3", "j", "k")
	want(time.Second, "g2", "j")
	r.received(2*time.Second, "g2", doubtsFrame())
	want(2*time.Second, "g3", "j")
	r.received(10*time.Second, "g1", &pb.RunOrder{})
	want(22*time.Second, "g3", "j")
	// The link has ended without another list.
	want(24*time.Second, "g3")
}

// Guards against lists that fill the links: they were sent with each frame, and relayed by
// each agent for each gateway.
func TestRelayedListsAreSentOnlyWhenTheyChange(t *testing.T) {
	r := newRelay()
	r.received(time.Second, "g1", doubtsFrame("j"))
	version, tasks := r.changesSince(time.Second, "g2", 0)
	if len(tasks) != 1 {
		t.Fatalf("relayed %v, want one task", tasks)
	}
	r.received(2*time.Second, "g1", &pb.RunOrder{})
	if next, _ := r.changesSince(2*time.Second, "g2", version); next != version {
		t.Error("the list is sent again although it has not changed")
	}
	r.received(3*time.Second, "g1", doubtsFrame())
	if next, tasks := r.changesSince(3*time.Second, "g2", version); next == version || len(tasks) != 0 {
		t.Errorf("relayed %v in version %d after the end of the doubt, want an empty list in a new one", tasks, next)
	}
}
