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
	mu sync.Mutex // guards the fields below
	// lists holds the newest list of each gateway that is not empty.
	lists map[string]relayedList
	// version increases with each change of a list.
	version uint64
}

// relayedList is the list that a gateway has sent.
type relayedList struct {
	tasks []*pb.TaskInDoubt
	// heardAt is when a frame of the gateway last arrived.
	heardAt time.Duration
}

func newRelay() relay { return relay{lists: map[string]relayedList{}} }

// received applies a frame of a gateway, with its list if that has changed.
func (r *relay) received(now time.Duration, gateway string, f *pb.RunOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, known := r.lists[gateway]
	if f.DoubtsChanged {
		l.tasks = f.TasksInDoubt
		r.version++
	}
	switch {
	case len(l.tasks) > 0:
		l.heardAt = now
		r.lists[gateway] = l
	case known:
		delete(r.lists, gateway)
	}
}

// changesSince returns the tasks to relay to a gateway and their version, or no tasks if
// the version is the one that the gateway has.
func (r *relay) changesSince(now time.Duration, gateway string, version uint64) (uint64, []*pb.TaskInDoubt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for from, l := range r.lists {
		if now-l.heardAt > relayRetention {
			delete(r.lists, from)
			r.version++
		}
	}
	if version == r.version {
		return version, nil
	}
	var out []*pb.TaskInDoubt
	seen := map[dispatch.TaskInDoubt]bool{}
	for from, l := range r.lists {
		if from == gateway {
			continue
		}
		for _, t := range l.tasks {
			if key := doubtFromProto(t); !seen[key] {
				seen[key] = true
				out = append(out, t)
			}
		}
	}
	return r.version, out
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

// lateTasksToProto returns an agent's own late tasks in the form of those that it relays: a
// gateway disregards these as long as it hears from the agent.
func lateTasksToProto(tasks []task.ID, agent string) []*pb.TaskInDoubt {
	var out []*pb.TaskInDoubt
	for _, id := range tasks {
		out = append(out, &pb.TaskInDoubt{Task: taskIDToProto(id), Agent: agent})
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
		out = append(out, doubtFromProto(m))
	}
	return out
}

func doubtFromProto(m *pb.TaskInDoubt) dispatch.TaskInDoubt {
	return dispatch.TaskInDoubt{Task: taskIDFromProto(m.Task), Agent: m.Agent}
}
