package link

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// agentLink is one gateway's stream at the agent.
type agentLink struct {
	client  *Client
	address string
	name    string
	close   context.CancelCauseFunc
	// events wakes the writer at once, load after loadGap.
	events, load chan struct{}

	mu         sync.Mutex // owns the fields below
	ends       []*pb.RunEvent
	ordersSeen uint64
	retirement retirement
}

func newAgentLink(c *Client, address string, cancel context.CancelCauseFunc) *agentLink {
	return &agentLink{
		client: c, address: address, name: address + "#" + strconv.FormatUint(c.dialled.Add(1), 10), close: cancel,
		events: make(chan struct{}, 1), load: make(chan struct{}, 1),
	}
}

var errLeaseLapsed = errors.New("the gateway's lease lapsed")

// Close ends the link.
func (l *agentLink) Close() { l.close(errLeaseLapsed) }

// Report queues an event of an attempt. A start goes out with the next load.
func (l *agentLink) Report(r runner.Report) {
	l.mu.Lock()
	l.ends = append(l.ends, &pb.RunEvent{
		Job: r.Task.Job, Occurrence: uint32(r.Task.Occurrence), Step: uint32(r.Task.Step), Index: uint32(r.Task.Index),
		Attempt: uint32(r.Attempt), Outcome: outcomes[r.Outcome], Reason: string(r.Reason), RunMs: millis(r.RunTime),
	})
	l.retirement.reported()
	l.mu.Unlock()
	if r.Outcome != task.Started {
		signal(l.events)
	}
}

// LoadChanged makes the writer send the load soon.
func (l *agentLink) LoadChanged() { signal(l.load) }

func (l *agentLink) seen(order uint64) {
	l.mu.Lock()
	l.ordersSeen = max(l.ordersSeen, order)
	l.mu.Unlock()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write sends frames until ctx ends: ends at once, a changed load after
// loadGap, and otherwise one each reportEvery.
func (l *agentLink) write(ctx context.Context, stream *agentStream) error {
	// While the HTTP/2 transport waits for more of the request's body, it does
	// not notice the end of ctx, and a receiver would wait for ever.
	defer func() { _ = stream.CloseRequest() }()
	var sent sentState
	var sentAt time.Time
	due := time.NewTimer(0)
	defer due.Stop()
	load := l.load
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.events:
		case <-load:
			// A later signal waits until this one has been answered.
			load = nil
			due.Reset(max(0, loadGap-time.Since(sentAt)))
			continue
		case <-due.C:
		}
		if err := stream.Send(l.frame(&sent)); err != nil {
			return err
		}
		sentAt, load = time.Now(), l.load
		due.Reset(reportEvery)
	}
}

// sentState is what the gateway has been told on a link.
type sentState struct {
	hello    bool
	target   runner.Target
	gateways uint64
}

func (l *agentLink) frame(sent *sentState) *pb.RunReport {
	// The load is read after the number of the orders that it has to include.
	l.mu.Lock()
	seen := l.ordersSeen
	l.mu.Unlock()
	target, load, now := l.client.runner.Load()
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	if l.retirement.sent(now) {
		load.Accepting, load.Reason = false, task.ReasonUnlinked
	}
	l.mu.Unlock()
	f := &pb.RunReport{Stamp: int64(now), Events: ends, Load: &pb.TargetLoad{
		Accepting: load.Accepting, Reason: string(load.Reason), Committed: requirementOf(load.Committed),
		BacklogMs: millis(load.Backlog), SlownessPermille: uint32(load.Slowness * 1000),
		AnomalyPermille: uint32(load.Anomaly * 1000), Samples: uint32(load.Samples),
		Running: uint32(load.Running), Queued: uint32(load.Queued), FailedPermille: uint32(load.Failed * 1000), OrdersSeen: seen,
	}}
	if !sent.hello {
		f.Hello, sent.hello = l.client.hello, true
	}
	if target.ID != sent.target.ID || target.Incarnation != sent.target.Incarnation {
		sent.target = target
		f.Target = &pb.TargetInfo{Target: target.ID, Service: target.Service, Kind: target.Kind, Labels: target.Labels, Capacity: requirementOf(target.Capacity)}
	}
	if version, all := l.client.gateways.Since(sent.gateways); version != sent.gateways {
		sent.gateways, f.Gateways = version, all
	}
	return f
}
