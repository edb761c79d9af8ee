package link

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1/restartv1connect"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
	"github.com/rhubarbsail/rhubarbsail/restartable/subset"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

const (
	// redialMin and redialMax bound the wait between two dials of a gateway.
	redialMin = 30 * time.Millisecond
	redialMax = 400 * time.Millisecond
	// goneAfter is the time without an answer after which a gateway may have been
	// replaced; it is then dialled each redialGone.
	goneAfter  = 20 * time.Second
	redialGone = 2 * time.Second
)

// Client is the agent's end of the links: it keeps them to a subset of the known
// gateways.
type Client struct {
	hello    *pb.AttachHello
	runner   *runner.Runner
	gateways *Gateways
	now      boottime.Clock
	log      zerolog.Logger
	// dialled numbers the links, up counts those that are up.
	dialled atomic.Uint64
	up      atomic.Int64

	// answered and ended tell the goroutine of Run of a link.
	answered chan *agentLink
	ended    chan string
}

// NewClient returns the links of an agent.
func NewClient(name, zone string, r *runner.Runner, g *Gateways, log zerolog.Logger) *Client {
	return &Client{
		hello: &pb.AttachHello{Agent: name, Zone: zone}, runner: r, gateways: g, now: boottime.Now, log: log,
		answered: make(chan *agentLink), ended: make(chan string),
	}
}

// Up returns the number of links that are up.
func (c *Client) Up() int { return int(c.up.Load()) }

// Run keeps the links until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	set := subset.New(c.hello.Agent, subset.Options{
		Links: linksKept, RetryMin: redialMin, RetryMax: redialMax, GoneAfter: goneAfter, RetryGone: redialGone,
	})
	links := map[string]*agentLink{} // by address
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		set.Know(c.now(), c.gateways.All())
		now := c.now()
		plan := set.Plan(now)
		for _, address := range plan.Dial {
			wg.Go(func() { c.dial(ctx, address) })
		}
		for _, address := range plan.Retire {
			links[address].retire()
		}
		if plan.Next > 0 {
			due.Reset(max(plan.Next-now, 0))
		}
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case <-c.gateways.Changed():
		case l := <-c.answered:
			links[l.address] = l
			set.Answered(c.now(), l.address)
		case address := <-c.ended:
			delete(links, address)
			set.Ended(c.now(), address)
		}
	}
}

// dial runs one link to a gateway and tells of its end.
func (c *Client) dial(ctx context.Context, address string) {
	served, err := c.serve(ctx, address)
	if served && !errors.Is(err, errRetired) {
		events.GatewayDetached.Log(c.log).Str("gateway", address).Err(err).Send()
	}
	select {
	case c.ended <- address:
	case <-ctx.Done():
	}
}

type agentStream = connect.BidiStreamForClient[pb.RunReport, pb.RunOrder]

// serve runs one link until it breaks. It returns whether the gateway answered.
func (c *Client) serve(parent context.Context, address string) (bool, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	// Each link has a connection of its own: on a shared one that has gone silent
	// without a reset, every later stream would be silent as well.
	hc := NewHTTPClient()
	defer hc.CloseIdleConnections()
	service := restartv1connect.NewDispatchServiceClient(hc, "http://"+address,
		connect.WithReadMaxBytes(frameBytes), connect.WithAcceptCompression("gzip", nil, nil))
	stream := service.Attach(ctx)
	defer func() { _ = stream.CloseResponse() }()
	l := newAgentLink(c, address, cancel)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(l.write(ctx, stream))
	}()
	attached, release := false, func() {}
	err := func() error {
		for {
			f, err := stream.Receive()
			if err != nil {
				return err
			}
			watchdog.Reset(silence)
			if !attached {
				attached = true
				c.up.Add(1)
				release = c.gateways.Hold(address)
				c.runner.Attach(l.name, l)
				select {
				case c.answered <- l:
				case <-ctx.Done():
				}
				events.GatewayAttached.Log(c.log).Str("gateway", address).Str("link", l.name).Send()
			}
			c.take(l, f)
			if l.mayEnd(time.Duration(f.Stamp)) {
				return errRetired
			}
		}
	}()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(err)
	release()
	if attached {
		c.up.Add(-1)
		c.runner.Detach(l.name)
	}
	<-written
	return attached, err
}

func (c *Client) take(l *agentLink, f *pb.RunOrder) {
	for _, g := range f.Gateways {
		c.gateways.Add(g)
	}
	var starts []runner.Start
	for _, s := range f.Starts {
		starts = append(starts, startsOf(s)...)
	}
	var stops []runner.Attempt
	for _, s := range f.StopTasks {
		id := task.ID{StepID: task.StepID{Job: s.Job, Occurrence: int(s.Occurrence), Step: int(s.Step)}, Index: int(s.Index)}
		stops = append(stops, runner.Attempt{Task: id, Number: int(s.Attempt)})
	}
	c.runner.Order(l.name, time.Duration(f.Stamp), starts, f.StopJobs, stops)
	// A load that is read from here on includes the starts.
	for _, s := range f.Starts {
		l.seen(s.Number)
	}
	if len(starts) > 0 {
		l.LoadChanged()
	}
}

func startsOf(s *pb.StartTasks) []runner.Start {
	step := task.StepID{Job: s.Job, Occurrence: int(s.Occurrence), Step: int(s.Step)}
	out := make([]runner.Start, 0, len(s.Tasks))
	for _, t := range s.Tasks {
		out = append(out, runner.Start{
			Task: task.ID{StepID: step, Index: int(t.Index)}, Attempt: int(t.Attempt), Spec: s.Spec,
			Needs: resourcesOf(s.Requirement), Expected: duration(s.ExpectedMs),
			StartWithin: duration(s.StartWithinMs), DueWithin: duration(s.DueWithinMs), AtOnce: s.AtOnce,
			Priority: int(s.Priority), MaxPerTarget: int(s.MaxPerTarget),
		})
	}
	return out
}

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
	if target.ID != sent.target.ID || target.Born != sent.target.Born {
		sent.target = target
		f.Target = &pb.TargetInfo{Target: target.ID, Service: target.Service, Kind: target.Kind, Labels: target.Labels, Capacity: requirementOf(target.Capacity)}
	}
	if version, all := l.client.gateways.Since(sent.gateways); version != sent.gateways {
		sent.gateways, f.Gateways = version, all
	}
	return f
}
