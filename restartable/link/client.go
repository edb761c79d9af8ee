package link

import (
	"context"
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

// Client is the agent's end of all links: it maintains links to a subset of the
// known gateways.
type Client struct {
	hello    *pb.AttachHello
	runner   *runner.Runner
	gateways *Gateways
	now      boottime.Clock
	log      zerolog.Logger
	store    storeReader
	relay    relay
	// lastLinkNumber is the number of the newest link. linksUp counts the links
	// that are up.
	lastLinkNumber atomic.Uint64
	linksUp        atomic.Int64

	// attached and closed notify the goroutine of Run of a link that a gateway
	// has answered on and of the address of one that has ended.
	attached chan *agentLink
	closed   chan string
}

// NewClient returns a client without links.
func NewClient(name, zone string, r *runner.Runner, g *Gateways, log zerolog.Logger) *Client {
	return &Client{
		hello: &pb.AttachHello{Agent: name, Zone: zone, Incarnation: r.Process()}, runner: r, gateways: g, now: boottime.Now, log: log,
		store:    storeReader{log: log},
		relay:    newRelay(),
		attached: make(chan *agentLink), closed: make(chan string),
	}
}

// ReadStoreWith sets how the store is read for gateways that ask for it. It has to be
// called before Run; without it such requests are ignored.
func (c *Client) ReadStoreWith(read ReadStore) { c.store.read = read }

// LinksUp returns the number of links that are up.
func (c *Client) LinksUp() int { return int(c.linksUp.Load()) }

// Run maintains the links until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	set := subset.New(c.hello.Agent, subset.DefaultOptions())
	links := map[string]*agentLink{} // by address
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		set.UpdateGateways(c.now(), c.gateways.All())
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
		case l := <-c.attached:
			links[l.address] = l
			set.Connected(c.now(), l.address)
		case address := <-c.closed:
			delete(links, address)
			set.Disconnected(c.now(), address)
		}
	}
}

// dial runs one link to a gateway and notifies Run of its end.
func (c *Client) dial(ctx context.Context, address string) {
	served, err := c.serve(ctx, address)
	if served && !errors.Is(err, errRetired) {
		events.GatewayDetached.Log(c.log).Str("gateway", address).Err(err).Send()
	}
	select {
	case c.closed <- address:
	case <-ctx.Done():
	}
}

type agentStream = connect.BidiStreamForClient[pb.RunReport, pb.RunOrder]

// serve runs one link until it breaks. It returns whether the gateway answered.
func (c *Client) serve(parent context.Context, address string) (bool, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	// Each link has its own connection: if a shared one stopped delivering data
	// without a reset, every later stream on it would be dead as well.
	hc := NewHTTPClient()
	defer hc.CloseIdleConnections()
	service := restartv1connect.NewDispatchServiceClient(hc, "http://"+address,
		connect.WithReadMaxBytes(maxFrameBytes), connect.WithAcceptCompression("gzip", nil, nil))
	stream := service.Attach(ctx)
	defer func() { _ = stream.CloseResponse() }()
	l := newAgentLink(c, address, cancel)
	watchdog := time.AfterFunc(receiveTimeout, func() { cancel(errReceiveTimeout) })
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
			watchdog.Reset(receiveTimeout)
			if !attached {
				attached = true
				c.linksUp.Add(1)
				release = c.gateways.MarkLinked(address)
				c.runner.Attach(l.name, l)
				select {
				case c.attached <- l:
				case <-ctx.Done():
				}
				events.GatewayAttached.Log(c.log).Str("gateway", address).Str("link", l.name).Send()
			}
			c.handleFrame(l, f)
			if l.mayClose(time.Duration(f.Stamp)) {
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
		c.linksUp.Add(-1)
		c.runner.Detach(l.name)
	}
	<-written
	return attached, err
}

func (c *Client) handleFrame(l *agentLink, f *pb.RunOrder) {
	for _, g := range f.Gateways {
		c.gateways.Add(g)
	}
	if d := f.ZoneDrain; d != nil {
		c.runner.SetZoneDrain(d.Revision, d.Drained, l.address)
	}
	if m := f.StoreRead; m != nil {
		c.store.request(l, m)
	}
	l.setReportQueueUse(f.ReportQueueUse)
	c.runner.RaiseToken(f.MinFencingToken)
	c.relay.received(c.now(), l.address, f)
	var starts []runner.Start
	for _, s := range f.Starts {
		starts = append(starts, startsFromProto(s)...)
	}
	var stops []runner.Attempt
	for _, s := range f.StopTasks {
		id := task.ID{StepID: task.StepID{Job: s.Job, Occurrence: int(s.Occurrence), Step: int(s.Step)}, Index: int(s.Index)}
		stops = append(stops, runner.Attempt{Task: id, Number: int(s.Attempt)})
	}
	c.runner.HandleOrder(l.name, time.Duration(f.Stamp), starts, f.StopJobs, stops)
	// A load that is read from here on includes the starts.
	for _, s := range f.Starts {
		l.orderSeen(s.Number)
	}
	if len(starts) > 0 {
		l.LoadChanged()
	}
}

func startsFromProto(s *pb.StartTasks) []runner.Start {
	step := task.StepID{Job: s.Job, Occurrence: int(s.Occurrence), Step: int(s.Step)}
	out := make([]runner.Start, 0, len(s.Tasks))
	for _, t := range s.Tasks {
		out = append(out, runner.Start{
			Task: task.ID{StepID: step, Index: int(t.Index)}, Attempt: int(t.Attempt), Queue: s.Queue, Spec: s.Spec,
			Needs: resourcesFromProto(s.Requirement), Expected: fromMillis(s.ExpectedMs),
			StartWithin: fromMillis(s.StartWithinMs), DueWithin: fromMillis(s.DueWithinMs), AtOnce: s.AtOnce,
			Priority: int(s.Priority), MaxPerTarget: int(s.MaxPerTarget), Suspicion: float64(s.SuspicionPermille) / 1000,
			Service: s.Service, RequiredLabel: s.RequiredLabel,
		})
	}
	return out
}
