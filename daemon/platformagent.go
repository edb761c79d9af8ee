package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/restartable/link"
	"github.com/rhubarbsail/rhubarbsail/restartable/runner"
)

// directoryEvery is the time between two looks into the list of gateways while
// the agent is linked to none.
const directoryEvery = time.Second

// PlatformAgent is an agent beside a target of the users' platform.
type PlatformAgent struct {
	node      *platform.Node
	log       zerolog.Logger
	metrics   *telemetry.Metrics
	runner    *runner.Runner
	gateways  *link.Gateways
	links     *link.Client
	directory *platform.GatewayRegistry
	records   *platform.TargetRecords
}

// NewPlatformAgent returns an agent with the platform's settings.
func NewPlatformAgent(n *platform.Node, log zerolog.Logger) *PlatformAgent {
	// A later process of this VM starts at a later time; should the clock have
	// gone back, the token is raised when the target refuses it.
	token := time.Now().UnixMilli()
	store := platform.NewStore(n.StoreAddr)
	a := &PlatformAgent{
		node: n, log: log, metrics: telemetry.NewMetrics("agent", n.Name, log), gateways: link.NewGateways(boottime.Now, n.Seeds...),
		directory: platform.NewGatewayRegistry(store), records: platform.NewTargetRecords(store, n.Name),
	}
	a.runner = runner.New(runner.NewCore(runner.DefaultCoreOptions()), platform.NewTargetClient(n.TargetAddr), token,
		boottime.Now, log, newAttemptObserver(a.metrics.Scope), runner.DefaultOptions())
	a.links = link.NewClient(n.Name, n.Zone, a.runner, a.gateways, log)
	return a
}

// Run serves until ctx ends and what runs on the target has ended.
func (a *PlatformAgent) Run(ctx context.Context, env Env) error {
	set := &serverSet{env: env}
	set.add(a.node.InternalAddr, platform.HeartbeatHandler(a.runner), false)
	set.add(a.node.MetricsAddr, a.metrics.Handler, false)
	if set.err != nil {
		events.ListenFailed.Log(a.log).Err(set.err).Send()
		return set.err
	}
	background, end := context.WithCancel(context.Background())
	defer end()
	var wg sync.WaitGroup
	wg.Go(func() { a.runner.Run(background) })
	wg.Go(func() { a.links.Run(background) })
	wg.Go(func() { a.readDirectory(background) })
	wg.Go(func() { a.logState(background) })
	wg.Go(func() { a.keepRecord(background) })
	wg.Go(func() { a.updateGauges(background) })
	set.start(&wg, a.log)
	events.ProcessStarted.Log(a.log).Str("link", a.node.InternalAddr).Str("target", a.node.TargetAddr).Send()
	<-ctx.Done()
	events.ProcessStopping.Log(a.log).Send()
	limit, cancel := context.WithTimeout(context.Background(), a.node.Bounds.GracePeriod-stopReserve)
	defer cancel()
	a.runner.Stop(limit)
	cut := limit.Err()
	end()
	err := errors.Join(cut, set.close())
	wg.Wait()
	err = errors.Join(err, a.metrics.Close())
	events.ProcessStopped.Log(a.log).Err(err).Send()
	return nil
}

// readDirectory looks gateways up in the store at the start, since the seeds
// are only some of them, and again while no link is up.
func (a *PlatformAgent) readDirectory(ctx context.Context) {
	read := false
	for ctx.Err() == nil {
		if !read || a.links.LinksUp() == 0 {
			all, err := a.directory.List(ctx)
			if err != nil {
				events.GatewayRecordFailed.Log(a.log).Err(err).Send()
			}
			read = read || err == nil
			for _, r := range all[:min(len(all), recordsKept)] {
				a.gateways.Add(r.Address)
			}
		}
		wait.For(ctx, directoryEvery)
	}
}

const (
	// recordEvery is the time between two comparisons of the target with its
	// record, learnedEvery the least time between two writes for its speed only.
	recordEvery  = 500 * time.Millisecond
	learnedEvery = 5 * time.Second
)

// keepRecord reads the record of an earlier process from the store, and writes
// it whenever the target's life or its size changes, or its speed does clearly.
// Nothing is written before the record has been read: it would be lost.
func (a *PlatformAgent) keepRecord(ctx context.Context) {
	saved, ok := a.loadRecord(ctx)
	if !ok {
		return
	}
	var written time.Time
	for ctx.Err() == nil {
		wait.For(ctx, recordEvery)
		t, known := a.runner.Target()
		// A target that leaves is recorded as such only by its heartbeats.
		t.Draining = false
		next := saved.Update(t, a.runner.Speed())
		sameTarget, sameSpeed := t.Equal(saved.Target), next.Speed == saved.Speed
		if !known || sameTarget && (sameSpeed || time.Since(written) < learnedEvery) {
			continue
		}
		if err := a.records.Save(ctx, next); err != nil {
			events.TargetRecordFailed.Log(a.log).Err(err).Send()
			wait.For(ctx, registerRetry)
			continue
		}
		saved, written = next, time.Now()
	}
}

// loadRecord reads the record as soon as the store answers and hands it to the
// runner. It returns an empty one if there is none that can be read, and false
// if ctx ends first.
func (a *PlatformAgent) loadRecord(ctx context.Context) (runner.Record, bool) {
	for ctx.Err() == nil {
		kept, found, err := a.records.Load(ctx)
		if err != nil {
			events.TargetRecordFailed.Log(a.log).Err(err).Send()
		}
		if err != nil && !errors.Is(err, platform.ErrMalformed) {
			wait.For(ctx, registerRetry)
			continue
		}
		if found {
			a.runner.Restore(kept)
		}
		return kept, true
	}
	return runner.Record{}, false
}

// stateEvery is the time between two log lines on the target's load.
const stateEvery = 5 * time.Second

func (a *PlatformAgent) logState(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, stateEvery)
		t, l, _ := a.runner.Load()
		events.TargetState.Log(a.log).Str("target", t.ID).Bool("accepting", l.Accepting).Str("reason", string(l.Reason)).
			Int("running", l.Running).Int("queued", l.Queued).Int64("committed_cpu_millis", l.Committed.CPUMillis).
			Int64("backlog_ms", l.Backlog.Milliseconds()).Float64("slowness", l.Slowness).Float64("anomaly", l.Anomaly).Int("samples", l.Samples).Float64("failed_share", l.Failed).
			Int("gateways", a.links.LinksUp()).Send()
	}
}
