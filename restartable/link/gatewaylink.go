package link

import (
	"sync"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
)

// gatewayLink is one agent's stream at the gateway. The handler's goroutine
// receives, a second one sends.
type gatewayLink struct {
	wake chan struct{}

	mu    sync.Mutex // owns the fields below
	next  *pb.RunOrder
	stamp int64
}

func newGatewayLink() *gatewayLink {
	return &gatewayLink{wake: make(chan struct{}, 1), next: &pb.RunOrder{}}
}

func (l *gatewayLink) add(change func(next *pb.RunOrder)) {
	l.mu.Lock()
	change(l.next)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Order queues an order for the agent.
func (l *gatewayLink) Order(o dispatch.Order) {
	m := &pb.StartTasks{
		Number: o.Number,
		Job:    o.Step.Job, Occurrence: uint32(o.Step.Occurrence), Step: uint32(o.Step.Step), Spec: o.Spec,
		Requirement: requirementOf(o.Needs), ExpectedMs: millis(o.Expected), StartWithinMs: millis(o.StartWithin),
		DueWithinMs: millis(o.DueWithin), AtOnce: o.AtOnce, Priority: uint32(o.Priority), MaxPerTarget: uint32(o.MaxPerTarget),
	}
	for _, t := range o.Tasks {
		m.Tasks = append(m.Tasks, &pb.TaskAttempt{Index: uint32(t.Index), Attempt: uint32(t.Number)})
	}
	l.add(func(next *pb.RunOrder) { next.Starts = append(next.Starts, m) })
}

// Stop queues a stop for the agent. Starts of the job that were queued before
// it leave in the same frame, in which stops go first; they are dropped here.
func (l *gatewayLink) Stop(s dispatch.Stop) {
	l.add(func(next *pb.RunOrder) {
		if s.Attempt == 0 {
			next.StopJobs = append(next.StopJobs, s.Job)
			dropStarts(next, s.Job)
			return
		}
		id := s.Task
		next.StopTasks = append(next.StopTasks, &pb.StopTask{
			Job: id.Job, Occurrence: uint32(id.Occurrence), Step: uint32(id.Step), Index: uint32(id.Index), Attempt: uint32(s.Attempt),
		})
	})
}

func dropStarts(next *pb.RunOrder, job string) {
	kept := next.Starts[:0]
	for _, st := range next.Starts {
		if st.Job != job {
			kept = append(kept, st)
		}
	}
	next.Starts = kept
}

// take returns the next frame with the newest stamp.
func (l *gatewayLink) take() *pb.RunOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.next
	out.Stamp = l.stamp
	l.next = &pb.RunOrder{}
	return out
}

func (l *gatewayLink) setStamp(stamp int64) {
	l.mu.Lock()
	l.stamp = stamp
	l.mu.Unlock()
}
