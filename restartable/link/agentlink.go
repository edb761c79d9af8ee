package link

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// agentLink is the agent's end of the stream to one gateway.
type agentLink struct {
	client  *Client
	address string
	name    string
	close   context.CancelCauseFunc
	// eventsReady wakes the writer immediately, loadReady after minLoadInterval.
	eventsReady, loadReady chan struct{}

	mu               sync.Mutex // guards the fields below
	pendingEvents    []*pb.RunEvent
	pendingCrashes   []*pb.TargetCrash
	pendingStoreRead *pb.StoreReadReply
	ordersSeen       uint64
	retirement       retirement
	// reportQueueUse is set while the gateway asks for the use by queue.
	reportQueueUse bool
}

func newAgentLink(c *Client, address string, cancel context.CancelCauseFunc) *agentLink {
	return &agentLink{
		client: c, address: address, name: address + "#" + strconv.FormatUint(c.lastLinkNumber.Add(1), 10), close: cancel,
		eventsReady: make(chan struct{}, 1), loadReady: make(chan struct{}, 1),
	}
}

var errLeaseExpired = errors.New("the gateway's lease expired")

// Close closes the link.
func (l *agentLink) Close() { l.close(errLeaseExpired) }

// Report queues an event of an attempt. A start event is sent with the next load.
func (l *agentLink) Report(r runner.Report) {
	l.mu.Lock()
	l.pendingEvents = append(l.pendingEvents, &pb.RunEvent{
		Job: r.Task.Job, Occurrence: toUint32(r.Task.Occurrence), Step: toUint32(r.Task.Step), Index: toUint32(r.Task.Index),
		Attempt: toUint32(r.Attempt), Outcome: outcomesToProto[r.Outcome], Reason: string(r.Reason), RunMs: toMillis(r.RunTime),
	})
	l.retirement.reportQueued()
	l.mu.Unlock()
	if r.Outcome != task.Started {
		notify(l.eventsReady)
	}
}

// Crashed queues the report of a crash, which is sent with the next frame.
func (l *agentLink) Crashed(c runner.Crash) {
	m := &pb.TargetCrash{Incarnation: c.Target.Incarnation, Certain: c.Certain(), AgeMs: toMillis(l.client.now() - c.At)}
	for _, r := range c.Runs {
		id := r.Attempt.Task
		m.Runs = append(m.Runs, &pb.LostRun{
			Job: id.Job, Occurrence: toUint32(id.Occurrence), Step: toUint32(id.Step), Index: toUint32(id.Index), Attempt: toUint32(r.Attempt.Number),
			SuspicionPermille: toPermille(r.Suspicion), Queue: r.Queue, Accepted: r.Accepted,
		})
	}
	l.mu.Lock()
	l.pendingCrashes = append(l.pendingCrashes, m)
	l.mu.Unlock()
	notify(l.eventsReady)
}

// LoadChanged makes the writer send the load soon.
func (l *agentLink) LoadChanged() { notify(l.loadReady) }

func (l *agentLink) orderSeen(order uint64) {
	l.mu.Lock()
	l.ordersSeen = max(l.ordersSeen, order)
	l.mu.Unlock()
}

// setReportQueueUse records whether the gateway asks for the use by queue.
func (l *agentLink) setReportQueueUse(asked bool) {
	l.mu.Lock()
	l.reportQueueUse = asked
	l.mu.Unlock()
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write sends frames until ctx ends: ends of attempts immediately, a changed load
// after minLoadInterval, and otherwise one frame each reportInterval.
func (l *agentLink) write(ctx context.Context, stream *agentStream) error {
	// While the HTTP/2 transport waits for more of the request body, it does not
	// notice the end of ctx, and a receiver would block forever.
	defer func() { _ = stream.CloseRequest() }()
	var sent sentState
	var sentAt time.Time
	due := time.NewTimer(0)
	defer due.Stop()
	loadReady := l.loadReady
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.eventsReady:
		case <-loadReady:
			// Further signals are left in the channel until this one has been
			// served.
			loadReady = nil
			due.Reset(max(0, minLoadInterval-time.Since(sentAt)))
			continue
		case <-due.C:
		}
		if err := stream.Send(l.nextFrame(&sent)); err != nil {
			return err
		}
		sentAt, loadReady = time.Now(), l.loadReady
		due.Reset(reportInterval)
	}
}

// sentState records what the gateway has been sent on a link.
type sentState struct {
	hello    bool
	target   runner.Target
	gateways uint64
	// inDoubt are the tasks in doubt, late those with a start that may be carried out late.
	// relayed are the tasks in doubt of other gateways, of the given version.
	inDoubt        []task.ID
	late           []task.ID
	relayed        []*pb.TaskInDoubt
	relayedVersion uint64
	queueUse       queueUseSent
}

func (l *agentLink) nextFrame(sent *sentState) *pb.RunReport {
	// ordersSeen must be read before the load, which has to include these orders.
	l.mu.Lock()
	ordersSeen := l.ordersSeen
	l.mu.Unlock()
	target, load, now := l.client.runner.Load()
	l.mu.Lock()
	runEvents, crashes, storeRead := l.pendingEvents, l.pendingCrashes, l.pendingStoreRead
	l.pendingEvents, l.pendingCrashes, l.pendingStoreRead = nil, nil, nil
	if l.retirement.frameSent(now) {
		load.Accepting, load.Reason = false, task.ReasonUnlinked
	}
	reportQueueUse := l.reportQueueUse
	l.mu.Unlock()
	f := &pb.RunReport{Stamp: int64(now), Events: runEvents, Crashes: crashes, StoreRead: storeRead, Load: &pb.TargetLoad{
		Accepting: load.Accepting, Reason: string(load.Reason), Committed: resourcesToProto(load.Committed),
		BacklogMs: toMillis(load.Backlog), SlownessPermille: toPermille(load.Slowness),
		AnomalyPermille: toPermille(load.Anomaly), Samples: toUint32(load.Samples),
		Running: toUint32(load.Running), Queued: toUint32(load.Queued), FailedPermille: toPermille(load.FailedShare), OrdersSeen: ordersSeen,
		FencingToken: load.FencingToken, Fenced: load.Fenced,
	}}
	if !sent.hello {
		f.Hello, sent.hello = l.client.hello, true
	}
	if !slices.Equal(load.TasksInDoubt, sent.inDoubt) {
		sent.inDoubt = load.TasksInDoubt
		f.Load.DoubtsChanged, f.Load.TasksInDoubt = true, taskIDsToProto(load.TasksInDoubt)
	}
	sent.queueUse.addTo(f.Load, load.QueueUse, reportQueueUse)
	version, tasks := l.client.relay.changesSince(now, l.address, sent.relayedVersion)
	if version != sent.relayedVersion {
		sent.relayed, sent.relayedVersion, f.RelayedChanged = tasks, version, true
	}
	if !slices.Equal(load.LateTasks, sent.late) {
		sent.late, f.RelayedChanged = load.LateTasks, true
	}
	if f.RelayedChanged {
		f.RelayedTasksInDoubt = append(slices.Clone(sent.relayed), lateTasksToProto(load.LateTasks, l.client.hello.Agent)...)
	}
	// Whether the target drains shows in the load.
	target.Draining = false
	if !target.Equal(sent.target) {
		sent.target = target
		f.Target = &pb.TargetInfo{Target: target.ID, Service: target.Service, Kind: target.Kind, Labels: target.Labels, Capacity: resourcesToProto(target.Capacity)}
	}
	if version, all := l.client.gateways.ChangesSince(sent.gateways); version != sent.gateways {
		sent.gateways, f.Gateways = version, all
	}
	return f
}
