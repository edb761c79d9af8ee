package link

import (
	"sync"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
)

// gatewayLink is the gateway's end of one agent's stream. The handler starts one
// goroutine that receives and one that sends.
type gatewayLink struct {
	wake chan struct{}

	mu    sync.Mutex // guards the fields below
	next  *pb.RunOrder
	stamp int64
}

func newGatewayLink() *gatewayLink {
	return &gatewayLink{wake: make(chan struct{}, 1), next: &pb.RunOrder{}}
}

func (l *gatewayLink) update(change func(next *pb.RunOrder)) {
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
		Job:    o.Step.Job, Occurrence: toUint32(o.Step.Occurrence), Step: toUint32(o.Step.Step), Spec: o.Spec,
		Requirement: resourcesToProto(o.Needs), ExpectedMs: toMillis(o.Expected), StartWithinMs: toMillis(o.StartWithin),
		DueWithinMs: toMillis(o.DueWithin), AtOnce: o.AtOnce, Priority: toUint32(o.Priority), MaxPerTarget: toUint32(o.MaxPerTarget), Queue: o.Queue, SuspicionPermille: toPermille(o.Suspicion),
		Service: o.Service, RequiredLabel: o.RequiredLabel,
	}
	for _, t := range o.Tasks {
		m.Tasks = append(m.Tasks, &pb.TaskAttempt{Index: toUint32(t.Index), Attempt: toUint32(t.Number)})
	}
	l.update(func(next *pb.RunOrder) { next.Starts = append(next.Starts, m) })
}

// Stop queues a stop for the agent. An agent handles the stops of a frame before
// its starts, so starts of a stopped job that are queued for the same frame are
// removed here.
func (l *gatewayLink) Stop(s dispatch.Stop) {
	l.update(func(next *pb.RunOrder) {
		if s.Attempt == 0 {
			next.StopJobs = append(next.StopJobs, s.Job)
			removeStarts(next, s.Job)
			return
		}
		id := s.Task
		next.StopTasks = append(next.StopTasks, &pb.StopTask{
			Job: id.Job, Occurrence: toUint32(id.Occurrence), Step: toUint32(id.Step), Index: toUint32(id.Index), Attempt: toUint32(s.Attempt),
		})
	})
}

func removeStarts(next *pb.RunOrder, job string) {
	kept := next.Starts[:0]
	for _, st := range next.Starts {
		if st.Job != job {
			kept = append(kept, st)
		}
	}
	next.Starts = kept
}

// nextFrame returns the next frame, with the newest stamp.
func (l *gatewayLink) nextFrame() *pb.RunOrder {
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
