package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/configsync"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// registryPollInterval is the interval at which the gateway registry is read
// while the agent has no link to a gateway.
const registryPollInterval = time.Second

// PlatformAgent is the agent of a target on the users' platform.
type PlatformAgent struct {
	node     *platform.Node
	log      zerolog.Logger
	metrics  *telemetry.Metrics
	runner   *runner.Runner
	gateways *link.Gateways
	links    *link.Client
	registry *platform.GatewayRegistry
	records  *platform.TargetRecords
	budget   *requestlimit.Budget
}

// NewPlatformAgent returns an agent configured by the platform's settings.
func NewPlatformAgent(n *platform.Node, log zerolog.Logger) *PlatformAgent {
	// The start time is a fencing token that grows with each process of this VM.
	// If the clock was set back, the target rejects the token and it is raised.
	token := time.Now().UnixMilli()
	store := platform.NewStore(n.StoreAddr, log)
	a := &PlatformAgent{
		node: n, log: log, metrics: telemetry.NewMetrics("agent", n.Name, log), gateways: link.NewGateways(boottime.Now, n.Seeds...),
		registry: platform.NewGatewayRegistry(store), records: platform.NewTargetRecords(store, n.Name),
	}
	a.budget = newNodeBudget(n, log, a.metrics)
	a.runner = runner.New(runner.NewCore(runner.DefaultCoreOptions()), platform.NewTargetClient(n.TargetAddr, log), token,
		boottime.Now, log, newAttemptObserver(a.metrics.Scope), runner.DefaultOptions())
	a.links = link.NewClient(n.Name, n.Zone, a.runner, a.gateways, log)
	published := platform.NewConfigSource(store)
	a.links.ReadStoreWith(func(ctx context.Context) (configsync.Contents, error) { return configsync.ReadContents(ctx, published) })
	return a
}

// Run serves until ctx is done and the runs on the target have ended or the
// shutdown time is over.
func (a *PlatformAgent) Run(ctx context.Context, env Env) error {
	set := &serverSet{env: env, budget: a.budget}
	limits := limitsFor(a.node.Descriptors)
	set.add(a.node.InternalAddr, platform.HeartbeatHandler(a.runner, a.log), listenerOptions{name: "heartbeats", maxConnections: limits.internal})
	set.add(a.node.MetricsAddr, a.metrics.Handler, listenerOptions{name: "metrics", maxConnections: limits.checks})
	if set.err != nil {
		events.ListenFailed.Log(a.log).Err(set.err).Send()
		return set.err
	}
	background, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	var wg sync.WaitGroup
	wg.Go(func() { a.runner.Run(background) })
	wg.Go(func() { a.links.Run(background) })
	wg.Go(func() { a.discoverGateways(background) })
	wg.Go(func() { a.logState(background) })
	wg.Go(func() { a.maintainRecord(background) })
	wg.Go(func() { a.updateGauges(background) })
	set.start(&wg, a.log)
	events.ProcessStarted.Log(a.log).Str("link", a.node.InternalAddr).Str("target", a.node.TargetAddr).Send()
	<-ctx.Done()
	events.ProcessStopping.Log(a.log).Send()
	stopCtx, cancel := context.WithTimeout(context.Background(), a.node.Bounds.GracePeriod-exitReserve)
	defer cancel()
	a.runner.Stop(stopCtx)
	stopErr := stopCtx.Err()
	cancelBackground()
	err := errors.Join(stopErr, set.close())
	wg.Wait()
	err = errors.Join(err, a.metrics.Close())
	events.ProcessStopped.Log(a.log).Err(err).Send()
	return nil
}

// discoverGateways reads the gateway registry in the store once at startup,
// since the seeds are only some of the gateways, and again while no link is up.
func (a *PlatformAgent) discoverGateways(ctx context.Context) {
	read := false
	for ctx.Err() == nil {
		if !read || a.links.LinksUp() == 0 {
			all, err := a.registry.List(ctx)
			if err != nil {
				events.GatewayRecordFailed.Log(a.log).Err(err).Send()
			}
			read = read || err == nil
			for _, r := range all[:min(len(all), maxGatewayRecords)] {
				a.gateways.Add(r.Address)
			}
		}
		wait.For(ctx, registryPollInterval)
	}
}

const (
	// recordCheckInterval is the interval at which the target is compared with its
	// stored record.
	recordCheckInterval = 500 * time.Millisecond
	// speedSaveInterval is the minimum time between two writes if only the speed
	// estimate has changed.
	speedSaveInterval = 5 * time.Second
)

// maintainRecord loads the target's record that an earlier process stored, and
// saves it when the target's incarnation or full capacity changes or its speed
// estimate changes significantly. Nothing is saved before the record has been loaded,
// since that would overwrite what the earlier process had learned.
func (a *PlatformAgent) maintainRecord(ctx context.Context) {
	saved, ok := a.loadRecord(ctx)
	if !ok {
		return
	}
	var written time.Time
	for ctx.Err() == nil {
		wait.For(ctx, recordCheckInterval)
		t, known := a.runner.RecordTarget()
		next := saved.Update(t, a.runner.Speed())
		sameTarget, sameSpeed := t.Equal(saved.Target), next.Speed == saved.Speed
		if !known || sameTarget && (sameSpeed || time.Since(written) < speedSaveInterval) {
			continue
		}
		if err := a.records.Save(ctx, next); err != nil {
			events.TargetRecordFailed.Log(a.log).Err(err).Send()
			wait.For(ctx, storeRetryDelay)
			continue
		}
		saved, written = next, time.Now()
	}
}

// loadRecord loads the target's record, retrying until the store answers, and
// restores the runner from it. It returns an empty record if there is none or it
// is malformed, and false if ctx is done first.
func (a *PlatformAgent) loadRecord(ctx context.Context) (runner.Record, bool) {
	for ctx.Err() == nil {
		record, found, err := a.records.Load(ctx)
		if err != nil {
			events.TargetRecordFailed.Log(a.log).Err(err).Send()
		}
		if err != nil && !errors.Is(err, platform.ErrMalformed) {
			wait.For(ctx, storeRetryDelay)
			continue
		}
		if found {
			a.runner.Restore(record)
		}
		return record, true
	}
	return runner.Record{}, false
}

// stateLogInterval is the interval at which the target's load is logged.
const stateLogInterval = 5 * time.Second

func (a *PlatformAgent) logState(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, stateLogInterval)
		t, l, _ := a.runner.Load()
		events.TargetState.Log(a.log).Str("target", t.ID).Bool("accepting", l.Accepting).Str("reason", string(l.Reason)).
			Int("running", l.Running).Int("queued", l.Queued).Int64("committed_cpu_millis", l.Committed.CPUMillis).
			Int64("backlog_ms", l.Backlog.Milliseconds()).Float64("slowness", l.Slowness).Float64("anomaly", l.Anomaly).Int("samples", l.Samples).Float64("failed_share", l.FailedShare).
			Int("gateways", a.links.LinksUp()).Send()
	}
}
