// Package gateway serves callers and operators and dispatches tasks to agents.
// A request passes through the stages admit, route, job table, schedule,
// dispatch and collect.
//
// Three components each own their state in one goroutine: the engine owns jobs,
// partitions and the scheduling policy; the control loop owns the state that is
// replicated through the log; membership owns the pings between gateways and the
// claims of partitions.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/control"
	"github.com/rhubarbsail/rhubarbsail/gateway/peers"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// Gateway is one gateway. Serve runs it with its listeners.
type Gateway struct {
	opts    Options
	deps    Deps
	started time.Time
	control *control.Loop
	engine  *engine
	router  *router
	peers   *peers.Clients
	log     eventLog
	// leaving is set once a graceful shutdown has begun.
	leaving atomic.Bool
	// successorAvailable is true while another gateway answers pings and is not
	// leaving; membership writes it.
	successorAvailable atomic.Bool
	// alive tells for each gateway id whether that gateway answers pings;
	// membership writes it.
	alive atomic.Pointer[map[string]bool]
	// joined is set once the log holds this gateway's membership record.
	joined atomic.Bool
	// ctx ends the links, the control loop and the engine.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a gateway that is not running yet; see Start and Serve.
func New(opts Options, deps Deps) (*Gateway, error) {
	opts = opts.withDefaults()
	if opts.ID == "" || opts.Address == "" {
		return nil, errors.New("gateway needs an id and an address")
	}
	deps = deps.withDefaults(opts)
	interceptor, err := telemetry.Interceptor(deps.Tracer)
	if err != nil {
		return nil, err
	}
	g := &Gateway{opts: opts, deps: deps, started: time.Now(), log: eventLog{deps.Logger}}
	g.alive.Store(&map[string]bool{})
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.peers = peers.New(connect.WithInterceptors(interceptor))
	g.control = control.New(control.Options{
		Log: deps.Log, Stream: opts.Stream, Writer: opts.ID,
		Retention:      opts.Ownership.Retention + stateRetentionMargin,
		LogRetention:   opts.LogRetention,
		AppendTimeout:  opts.AppendTimeout,
		PeerState:      g.peerState,
		ShouldSnapshot: g.isSnapshotWriter,
		Report:         g.logControlEvent,
	})
	g.engine = newEngine(g)
	g.router = &router{opts: opts, snapshots: g.control, engine: g.engine, peers: g.peers}
	return g, nil
}

// stateRetentionMargin is added to the retention of keys for departed agents: the
// control state must keep an agent for longer than the keys whose tasks it may have
// started (ownership.KeepMember), by more than all clock skews together.
const stateRetentionMargin = time.Minute

// Start starts the goroutines that follow the log, connect to agents and claim
// partitions.
func (g *Gateway) Start() {
	g.goRun(g.control.Run)
	g.goRun(g.engine.run)
	g.goRun(g.followSnapshots)
	g.goRun(g.join)
	g.goRun(newMembership(g).run)
	g.goRun(g.runAgentRemoval)
}

func (g *Gateway) goRun(f func(context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f(g.ctx)
	}()
}

// followSnapshots passes each snapshot of the control state to the engine.
func (g *Gateway) followSnapshots(ctx context.Context) {
	changed, unsubscribe := g.control.Subscribe()
	defer unsubscribe()
	for {
		v := g.control.Snapshot()
		if g.engine.post(ctx, func(e *engine, now time.Time) { e.applySnapshot(now, v) }) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// join appends this gateway's membership record and retries until that succeeds.
func (g *Gateway) join(ctx context.Context) {
	for ctx.Err() == nil && !g.leaving.Load() {
		err := g.control.Join(ctx, state.Gateway{
			ID: g.opts.ID, Incarnation: g.opts.Incarnation,
			Address: g.opts.Address, AvailabilityZone: g.opts.AvailabilityZone,
		})
		if err == nil {
			g.joined.Store(true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
}

// leaveTimeout bounds the append of the departure record.
const leaveTimeout = 3 * time.Second

const joinRetryInterval = 500 * time.Millisecond

// BeginStop starts a graceful shutdown: the gateway reports not ready and hands
// its partitions over, while requests in progress continue.
func (g *Gateway) BeginStop() {
	if g.leaving.Swap(true) {
		return
	}
	events.ProcessStopping.Log(g.deps.Logger).Send()
}

// WaitDrained waits until the gateway owns no partition and has no job in
// progress, or ctx ends. Without a successor, or while the log is unavailable and
// nothing can be handed over, it waits for the jobs in progress only.
func (g *Gateway) WaitDrained(ctx context.Context) error {
	for {
		idle, err := callEngine(ctx, g.engine, func(e *engine, _ time.Time) bool {
			e.finishingLocally = !g.successorAvailable.Load() || !g.control.Status().LogAvailable
			return e.idle()
		})
		if err == nil && idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "partitions or jobs remain")
		case <-time.After(g.opts.PingInterval / 4):
		}
	}
}

// Close stops the gateway. After BeginStop it first records the departure in the
// log.
func (g *Gateway) Close(ctx context.Context) {
	if g.leaving.Load() && g.joined.Load() {
		// If the log is unavailable, the departure is not recorded; the other
		// gateways then detect it by failed pings.
		lctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		_ = g.control.Leave(lctx, g.opts.ID, g.opts.Incarnation)
		cancel()
	}
	g.cancel()
	g.wg.Wait()
	g.engine.stopLinks()
	events.ProcessStopped.Log(g.deps.Logger).Send()
}

func (g *Gateway) ref() ownership.GatewayRef {
	return ownership.GatewayRef{ID: g.opts.ID, Incarnation: g.opts.Incarnation}
}

// mono returns now as the monotonic time since the start of the gateway.
func (g *Gateway) mono(now time.Time) time.Duration { return now.Sub(g.started) }

// isSnapshotWriter reports whether this gateway writes the snapshots of the
// control state. The owner of partition 0 does, so that only one gateway writes
// them at a time.
func (g *Gateway) isSnapshotWriter() bool {
	o, ok := g.control.Snapshot().Owners[0]
	return ok && o.Gateway == g.opts.ID && o.Incarnation == g.opts.Incarnation
}

// removeAgent records an agent as departed if it can acquire the lease of the
// agent's worker. It holds the lease until the record is in the log: otherwise
// the agent could acquire the lease again and work under the incarnation that the
// record ends.
func (g *Gateway) removeAgent(ctx context.Context, a state.Agent) {
	holder := "gateway:" + g.opts.ID
	sent := time.Now()
	granted, err := g.deps.Lease.Renew(ctx, a.Worker, holder, claimTimeout)
	if err != nil {
		return
	}
	err = g.control.AgentLeft(ctx, state.AgentLeft{
		ID: a.ID, Incarnation: a.Incarnation, LeaseUntil: sent.Add(granted - g.opts.Ownership.WallSkew),
	})
	if err == nil {
		events.AgentRemoved.Log(g.deps.Logger).Str("agent", a.ID).Str("worker", a.Worker).Send()
		_, _ = g.deps.Lease.Renew(ctx, a.Worker, holder, time.Millisecond)
	}
}

// peerState returns the control state of the configured peer with the highest
// applied offset, or offset 0 if no peer is ahead of this gateway. It compares
// the offsets by pings first, because a snapshot has hundreds of kilobytes.
func (g *Gateway) peerState(ctx context.Context) (uint64, []byte, error) {
	best, newest := "", g.control.Snapshot().Applied
	var failed error
	for _, p := range g.opts.Peers {
		if p == g.opts.Address {
			continue
		}
		pctx, cancel := context.WithTimeout(ctx, peerPingTimeout)
		resp, err := g.peers.Client(p).Ping(pctx, connect.NewRequest(&rhubarbsailv1.PingRequest{
			Gateway: g.opts.ID, Incarnation: uint64(g.opts.Incarnation),
		}))
		cancel()
		switch {
		case err != nil:
			failed = err
		case resp.Msg.AppliedOffset > newest:
			best, newest = p, resp.Msg.AppliedOffset
		}
	}
	if best == "" && failed != nil {
		return 0, nil, errors.Wrap(failed, "ping peers for the control state")
	}
	if best == "" {
		return 0, nil, nil
	}
	resp, err := g.peers.Client(best).State(ctx, connect.NewRequest(&rhubarbsailv1.StateRequest{}))
	if err != nil {
		return 0, nil, errors.Wrap(err, "fetch the control state of a peer")
	}
	return resp.Msg.AppliedOffset, resp.Msg.Snapshot, nil
}

// peerPingTimeout bounds the ping of one peer in peerState.
const peerPingTimeout = time.Second

// logControlEvent logs an event of the control loop.
func (g *Gateway) logControlEvent(ev control.Event) {
	e, ok := controlEvents[ev.Kind]
	if !ok {
		return
	}
	e.Log(g.deps.Logger).Err(ev.Err).Uint64("offset", ev.Offset).Send()
}

// controlEvents maps the events of the control loop to log events.
var controlEvents = map[control.EventKind]events.Event{
	control.EventLogUnavailable:  events.LogUnreachable,
	control.EventLogAvailable:    events.LogReachable,
	control.EventRetentionGap:    events.LogGap,
	control.EventRecordSkipped:   events.RecordMalformed,
	control.EventSnapshotWritten: events.SnapshotWritten,
	control.EventPeerStateLoaded: events.StateFromPeer,
	control.EventPeerStateFailed: events.PeerStateFailed,
	control.EventLogBehind:       events.LogBehind,
	control.EventSnapshotFailed:  events.SnapshotFailed,
	control.EventSnapshotLoaded:  events.SnapshotLoaded,
}

// runAgentRemoval records agents as departed that have had no link for
// Options.RemoveAfter and whose worker's lease this gateway can acquire. Holding
// the lease proves that the agent starts no more tasks.
func (g *Gateway) runAgentRemoval(ctx context.Context) {
	if g.deps.Lease == nil {
		return
	}
	tick := time.NewTicker(g.opts.RemoveAfter / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.removeUnlinkedAgents(ctx)
		}
	}
}

// removeUnlinkedAgents makes one attempt to remove each agent without a link.
func (g *Gateway) removeUnlinkedAgents(ctx context.Context) {
	unlinked, err := callEngine(ctx, g.engine, func(e *engine, now time.Time) []state.Agent { return e.unlinkedAgents(now) })
	if err != nil {
		return
	}
	for _, a := range unlinked {
		lctx, cancel := context.WithTimeout(ctx, claimTimeout)
		g.removeAgent(lctx, a)
		cancel()
	}
}
