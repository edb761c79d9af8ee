package link

import (
	"sync"
	"time"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// relayRetention is how long an agent relays the list of a gateway that it has lost. It
// exceeds the delay with which targets carry out calls.
const relayRetention = 13 * time.Second

// relay passes the tasks in doubt that each gateway knows of on to the other gateways of
// an agent: a caller may submit a job again to any of them, and not all are linked to the
// agent whose start is in doubt.
type relay struct {
	mu sync.Mutex // guards the field below
	// lists holds the newest list of each gateway that is not empty.
	lists map[string]relayedList
}

// relayedList is the list that a gateway has sent.
type relayedList struct {
	tasks      []*pb.TaskInDoubt
	receivedAt time.Duration
}

func newRelay() relay { return relay{lists: map[string]relayedList{}} }

// received stores the list that a frame of a gateway carries.
func (r *relay) received(now time.Duration, gateway string, tasks []*pb.TaskInDoubt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(tasks) == 0 {
		delete(r.lists, gateway)
		return
	}
	r.lists[gateway] = relayedList{tasks, now}
}

// tasksFor returns the tasks to relay to a gateway. Lists of several gateways may name the
// same ones.
func (r *relay) tasksFor(now time.Duration, gateway string) []*pb.TaskInDoubt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*pb.TaskInDoubt
	for from, l := range r.lists {
		switch {
		case now-l.receivedAt > relayRetention:
			delete(r.lists, from)
		case from != gateway:
			out = append(out, l.tasks...)
		}
	}
	return out
}

func taskIDToProto(id task.ID) *pb.TaskID {
	return &pb.TaskID{Job: id.Job, Occurrence: toUint32(id.Occurrence), Step: toUint32(id.Step), Index: toUint32(id.Index)}
}

func taskIDFromProto(m *pb.TaskID) task.ID {
	return task.ID{StepID: task.StepID{Job: m.GetJob(), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep())}, Index: int(m.GetIndex())}
}

func taskIDsToProto(ids []task.ID) []*pb.TaskID {
	var out []*pb.TaskID
	for _, id := range ids {
		out = append(out, taskIDToProto(id))
	}
	return out
}

func taskIDsFromProto(list []*pb.TaskID) []task.ID {
	var out []task.ID
	for _, m := range list {
		out = append(out, taskIDFromProto(m))
	}
	return out
}

func doubtsToProto(tasks []dispatch.TaskInDoubt) []*pb.TaskInDoubt {
	var out []*pb.TaskInDoubt
	for _, t := range tasks {
		out = append(out, &pb.TaskInDoubt{Task: taskIDToProto(t.Task), Agent: t.Agent})
	}
	return out
}

func doubtsFromProto(list []*pb.TaskInDoubt) []dispatch.TaskInDoubt {
	var out []dispatch.TaskInDoubt
	for _, m := range list {
		out = append(out, dispatch.TaskInDoubt{Task: taskIDFromProto(m.Task), Agent: m.Agent})
	}
	return out
}
