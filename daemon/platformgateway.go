package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/restart/v1/restartv1connect"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

const (
	// stopNotice is how long a stopping gateway still accepts connections: the
	// platform needs two failed readiness checks, one a second.
	stopNotice = 2500 * time.Millisecond
	// stopReserve is kept of the grace for the end of the process.
	stopReserve = 300 * time.Millisecond
	// introduceRetry is the time between two introductions to other gateways
	// until one of them has answered, introduceEvery that afterwards.
	introduceRetry = 200 * time.Millisecond
	introduceEvery = 2 * time.Second
	// registerRetry is the pause after a failed write of the gateway's record.
	registerRetry = time.Second
	// peerTimeout bounds a call to another gateway.
	peerTimeout = 500 * time.Millisecond
)

// PlatformGateway is a gateway of restartable jobs on the users' platform.
type PlatformGateway struct {
	node       *platform.Node
	log        zerolog.Logger
	metrics    *telemetry.Metrics
	config     *queues.Current
	dispatcher *dispatch.Dispatcher
	gateways   *link.Gateways
	client     *http.Client
	directory  *platform.Directory
	syncer     *configsync.Syncer
	stopping   atomic.Bool
}

// NewPlatformGateway returns a gateway with the platform's settings.
func NewPlatformGateway(n *platform.Node, log zerolog.Logger) *PlatformGateway {
	g := &PlatformGateway{
		node: n, log: log, metrics: telemetry.NewMetrics("gateway", n.Name, log),
		config: &queues.Current{}, gateways: link.NewGateways(n.AdvertisedLink()), client: link.NewHTTPClient(),
	}
	for _, seed := range n.Seeds {
		g.gateways.Add(seed)
	}
	opts := dispatch.DefaultOptions(n.Zone)
	if n.Bounds.RemoteFactor > 0 {
		opts.RemoteFactor = n.Bounds.RemoteFactor
	}
	g.dispatcher = dispatch.New(dispatch.NewCore(opts), boottime.Now, log, newJobObserver(log, g.metrics.Scope))
	store := platform.NewStore(n.Store)
	g.directory = platform.NewDirectory(store)
	g.syncer = configsync.New(platform.NewConfigSource(store), g, g.config, log, configsync.DefaultOptions())
	return g
}

// Run serves until ctx ends and the planned stop is complete.
func (g *PlatformGateway) Run(ctx context.Context, env Env) error {
	servers, err := g.listen(env)
	if err != nil {
		events.ListenFailed.Log(g.log).Err(err).Send()
		return err
	}
	background, end := context.WithCancel(context.Background())
	defer end()
	var wg sync.WaitGroup
	wg.Go(func() { g.dispatcher.Run(background) })
	wg.Go(func() { g.syncer.Run(background) })
	wg.Go(func() { g.introduce(background) })
	wg.Go(func() { g.register(background) })
	wg.Go(func() { g.updateGauges(background) })
	servers.start(&wg, g.log)
	events.ProcessStarted.Log(g.log).Str("callers", g.node.Callers).Str("link", g.node.Link).Str("advertised", g.node.AdvertisedLink()).Send()
	<-ctx.Done()
	events.ProcessStopping.Log(g.log).Send()
	g.stopping.Store(true)
	err = servers.stop(g.node.Bounds.Grace - stopReserve)
	end()
	wg.Wait()
	err = errors.Join(err, g.metrics.Close())
	events.ProcessStopped.Log(g.log).Err(err).Send()
	return nil
}

func (g *PlatformGateway) listen(env Env) (*serverSet, error) {
	set := &serverSet{env: env}
	set.add(g.node.Callers, platform.CallersHandler(g.config, g), true)
	set.add(g.node.Readiness, platform.ReadyHandler(g.ready), false)
	set.add(g.node.Link, link.NewServer(g.dispatcher, g.config, g.gateways).Handler(), false)
	set.add(g.node.Metrics, g.metrics.Handler, false)
	return set, set.err
}

func (g *PlatformGateway) ready() bool {
	return !g.stopping.Load() && g.config.Get() != nil && g.dispatcher.CanPlace()
}

// Submit implements platform.Jobs.
func (g *PlatformGateway) Submit(ctx context.Context, s dispatch.Submission) dispatch.Answer {
	return g.dispatcher.Submit(ctx, s)
}

// Cancel implements platform.Jobs.
func (g *PlatformGateway) Cancel(id string) bool { return g.dispatcher.Cancel(id) }
// Rejected implements platform.Jobs.
func (g *PlatformGateway) Rejected(r platform.Rejection) {
	events.RequestRejected.Log(g.log).Str("job", r.Job).Str("path", r.Path).Str("cause", string(r.Cause)).
		Uint64("queues_version", g.queuesVersion()).Send()
	telemetry.RequestsRejected.Counter(g.metrics.Scope, string(r.Cause)).Inc(1)
}

// queuesVersion returns the version of the configuration in force, 0 without one.
func (g *PlatformGateway) queuesVersion() uint64 {
	if c := g.config.Get(); c != nil {
		return c.Version
	}
	return 0
}


// Stopping implements platform.Jobs.
func (g *PlatformGateway) Stopping() bool { return g.stopping.Load() }

// others returns the clients of the other gateways. Their calls are rare, and a
// connection kept in between may have gone silent: it is closed after each.
func (g *PlatformGateway) others() []restartv1connect.DispatchServiceClient {
	var out []restartv1connect.DispatchServiceClient
	for _, a := range g.gateways.All() {
		if a != g.node.AdvertisedLink() {
			out = append(out, restartv1connect.NewDispatchServiceClient(g.client, "http://"+a,
				connect.WithAcceptCompression("gzip", nil, nil)))
		}
	}
	return out
}

// Newer implements configsync.Peers.
func (g *PlatformGateway) Newer(ctx context.Context, version uint64) []byte {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer g.client.CloseIdleConnections()
	others := g.others()
	replies := make(chan *pb.ConfigurationReply, len(others))
	for _, o := range others {
		go func() {
			r, err := o.Configuration(ctx, connect.NewRequest(&pb.ConfigurationRequest{NewerThan: version}))
			if err != nil {
				replies <- nil
				return
			}
			replies <- r.Msg
		}()
	}
	var newest *pb.ConfigurationReply
	for range others {
		r := <-replies
		if r != nil && len(r.Document) > 0 && (newest == nil || r.Version > newest.Version) {
			newest = r
		}
	}
	if newest == nil {
		return nil
	}
	return newest.Document
}

// introduce makes this gateway known to the agents of the others. Another
// gateway may have been replaced since, so that it does not end.
func (g *PlatformGateway) introduce(ctx context.Context) {
	gap := introduceRetry
	for ctx.Err() == nil {
		if g.introduceOnce(ctx) {
			gap = introduceEvery
		}
		wait.For(ctx, gap)
	}
}

// introduceOnce returns whether any other gateway has answered.
func (g *PlatformGateway) introduceOnce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer g.client.CloseIdleConnections()
	others := g.others()
	answers := make(chan []string, len(others))
	for _, o := range others {
		go func() {
			r, err := o.Introduce(call, connect.NewRequest(&pb.IntroduceRequest{Gateway: g.node.AdvertisedLink()}))
			if err != nil {
				answers <- nil
				return
			}
			answers <- r.Msg.Gateways
		}()
	}
	answered := false
	for range others {
		all := <-answers
		answered = answered || len(all) > 0
		for _, a := range all {
			g.gateways.Add(a)
		}
	}
	return answered
}

// register reads the other gateways' addresses from the store and writes this
// one's. Of two gateways that start together each is told of the other by the
// store or by an introduction.
func (g *PlatformGateway) register(ctx context.Context) {
	for ctx.Err() == nil {
		known, err := g.directory.List(ctx)
		for _, a := range known {
			g.gateways.Add(a)
		}
		if err == nil {
			err = g.directory.Register(ctx, g.node.Name, g.node.AdvertisedLink())
		}
		if err == nil {
			return
		}
		events.GatewayRecordFailed.Log(g.log).Err(err).Send()
		wait.For(ctx, registerRetry)
	}
}
