package daemon

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/cancel"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
	"github.com/rhubarbsail/rhubarbsail/restartable/zones"
)

const (
	// readinessNotice is how long a stopping gateway still accepts connections. The
	// platform checks readiness once a second and stops routing after two failures.
	readinessNotice = 2500 * time.Millisecond
	// exitReserve is the part of the platform's grace period that is reserved for
	// ending the process after the servers have stopped.
	exitReserve = 300 * time.Millisecond
	// lastAnswerReserve is the time for the answers to the jobs that are not done when the
	// servers are about to stop.
	lastAnswerReserve = 200 * time.Millisecond
)

// PlatformGateway is a gateway of restartable jobs on the users' platform.
type PlatformGateway struct {
	node       *platform.Node
	log        zerolog.Logger
	metrics    *telemetry.Metrics
	config     *queues.CurrentConfig
	resolver   *queues.Resolver
	drains     *zones.Current
	dispatcher *dispatch.Dispatcher
	gateways   *link.Gateways
	links      *link.Server
	peers      *gatewayPeers
	canceller  *cancel.Canceller
	syncer     *configsync.Syncer
	budget     *requestlimit.Budget
	stopping   atomic.Bool
}

// NewPlatformGateway returns a gateway configured by the platform's settings.
func NewPlatformGateway(n *platform.Node, log zerolog.Logger) *PlatformGateway {
	address := n.AdvertisedLinkAddr()
	store := platform.NewStore(n.StoreAddr, log)
	g := &PlatformGateway{
		node: n, log: log, metrics: telemetry.NewMetrics("gateway", n.Name, log), config: &queues.CurrentConfig{},
		drains: &zones.Current{}, gateways: link.NewGateways(boottime.Now, append([]string{address}, n.Seeds...)...),
	}
	g.budget = newNodeBudget(n, log, g.metrics)
	// The gateways that agents are told about always include this one.
	g.gateways.MarkLinked(address)
	opts := dispatch.DefaultOptions(n.Zone)
	if n.Bounds.RemoteFactor > 0 {
		opts.RemoteFactor = n.Bounds.RemoteFactor
	}
	g.dispatcher = dispatch.New(dispatch.NewCore(opts), boottime.Now, log, newJobObserver(log, g.metrics.Scope))
	g.applyFairShares(n.FairShares)
	g.links = link.NewServer(g.dispatcher, g.config, g.drains, g.gateways)
	g.peers = &gatewayPeers{
		name: n.Name, address: address, log: log, known: g.gateways, client: link.NewHTTPClient(),
		registry: platform.NewGatewayRegistry(store), links: g.links,
	}
	g.canceller = cancel.New(g.dispatcher.Cancel, g.peers.peerAddresses, g.peers.dialForCancel, boottime.Now, log, cancel.DefaultOptions())
	g.peers.onReached = g.canceller.Reached
	syncOpts := configsync.DefaultOptions()
	syncOpts.MaxAge = cmp.Or(n.Bounds.ConfigApply, syncOpts.MaxAge)
	g.resolver = queues.NewResolver(g.config, boottime.Now, syncOpts.MaxAge)
	g.syncer = configsync.New(platform.NewConfigSource(store), g.peers, g.config, g.drains, boottime.Now, log, syncOpts)
	g.links.OnStoreRead(g.syncer.Offer)
	return g
}

// Run serves until ctx is done and the graceful shutdown is complete.
func (g *PlatformGateway) Run(ctx context.Context, env Env) error {
	servers, err := g.listen(env)
	if err != nil {
		events.ListenFailed.Log(g.log).Err(err).Send()
		return err
	}
	background, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	var wg sync.WaitGroup
	wg.Go(func() { g.dispatcher.Run(background) })
	wg.Go(func() { g.syncer.Run(background) })
	wg.Go(func() { g.peers.introduce(background) })
	wg.Go(func() { g.peers.register(background) })
	wg.Go(func() { g.updateGauges(background) })
	hangups := sighups()
	wg.Go(func() { g.reloadSettings(background, hangups, platform.LoadNode) })
	servers.start(&wg, g.log)
	events.ProcessStarted.Log(g.log).Str("callers", g.node.ClientAddr).Str("link", g.node.LinkAddr).Str("advertised", g.node.AdvertisedLinkAddr()).Send()
	<-ctx.Done()
	events.ProcessStopping.Log(g.log).Send()
	g.stopping.Store(true)
	limit := g.node.Bounds.GracePeriod - exitReserve
	g.dispatcher.StopIn(limit - lastAnswerReserve)
	err = servers.stop(limit)
	cancelBackground()
	g.canceller.Stop()
	wg.Wait()
	err = errors.Join(err, g.metrics.Close())
	events.ProcessStopped.Log(g.log).Err(err).Send()
	return nil
}

func (g *PlatformGateway) listen(env Env) (*serverSet, error) {
	set := &serverSet{env: env, budget: g.budget}
	limits := limitsFor(g.node.Descriptors)
	set.add(g.node.ClientAddr, platform.ClientHandler(g.resolver, g), listenerOptions{name: "callers", maxConnections: limits.callers, callers: true})
	set.add(g.node.ReadinessAddr, platform.ReadyHandler(g.ready), listenerOptions{name: "readiness", maxConnections: limits.checks})
	set.add(g.node.LinkAddr, g.links.Handler(), listenerOptions{name: "link", maxConnections: limits.internal})
	set.add(g.node.MetricsAddr, g.metrics.Handler, listenerOptions{name: "metrics", maxConnections: limits.checks})
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
func (g *PlatformGateway) Cancel(ctx context.Context, id string) bool {
	return g.canceller.Cancel(ctx, id)
}

// ReportRejection implements platform.Jobs.
func (g *PlatformGateway) ReportRejection(r platform.Rejection) {
	events.RequestRejected.Log(g.log).Str("job", truncated(r.Job)).Str("method", r.Method).Str("host", truncated(r.Host)).
		Str("path", truncated(r.Path)).Str("cause", string(r.Cause)).Uint64("queues_version", r.Version).
		Int64("confirmed_age_ms", r.Age.Milliseconds()).Send()
	telemetry.RequestsRejected.Counter(g.metrics.Scope, string(r.Cause)).Inc(1)
}

// maxLoggedBytes limits each value that a log line copies from a rejected request.
const maxLoggedBytes = 256

func truncated(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// queuesVersion returns the version of the active configuration, or 0 if there is
// none.
func (g *PlatformGateway) queuesVersion() uint64 {
	if c := g.config.Get(); c != nil {
		return c.Version
	}
	return 0
}

// Stopping implements platform.Jobs.
func (g *PlatformGateway) Stopping() bool { return g.stopping.Load() }
