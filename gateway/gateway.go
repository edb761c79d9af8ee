// Package gateway serves callers and operators and dispatches tasks to agents.
// A request passes through the stages admit, route, job table, schedule,
// dispatch and collect. The engine goroutine owns jobs, partitions and the
// scheduling policy; the control loop owns the state of the log; membership
// owns pings and claims.
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

// Gateway is one gateway process without its listeners.
type Gateway struct {
	opts    Options
	deps    Deps
	started time.Time
	control *control.Loop
	engine  *engine
	router  *router
	peers   *peers.Clients
	log     eventLog
	// leaving is set once a planned stop has begun.
	leaving atomic.Bool
	// successor is true while another gateway answers pings and is not leaving;
	// membership writes it.
	successor atomic.Bool
	// alive holds the ids of the members that answer pings; membership writes it.
	alive atomic.Pointer[map[string]bool]
	// joined is set once the log shows this gateway as a member.
	joined atomic.Bool
	// ctx is the lifetime of links, control and engine.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a gateway. Start begins its work.
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
		ShouldSnapshot: g.writesSnapshots,
		Report:         g.controlEvent,
	})
	g.engine = newEngine(g)
	g.router = &router{opts: opts, view: g.control, engine: g.engine, peers: g.peers}
	return g, nil
}

// stateRetentionMargin keeps departed agents longer than the keys that they may
// have started (ownership.KeepMember), by more than all clock skews.
const stateRetentionMargin = time.Minute

// Start begins to follow the log, to link to agents and to claim partitions.
func (g *Gateway) Start() {
	g.goRun(g.control.Run)
	g.goRun(g.engine.run)
	g.goRun(g.followView)
	g.goRun(g.join)
	g.goRun(newMembership(g).run)
	g.goRun(g.removeDeadAgents)
}

func (g *Gateway) goRun(f func(context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f(g.ctx)
	}()
}

// followView passes each control snapshot to the engine.
func (g *Gateway) followView(ctx context.Context) {
	changed, unsubscribe := g.control.Subscribe()
	defer unsubscribe()
	for {
		v := g.control.Snapshot()
		if g.engine.post(ctx, func(e *engine, now time.Time) { e.setView(now, v) }) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// join records this gateway as a member; it repeats until the log takes it.
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
		case <-time.After(joinRetry):
		}
	}
}

// leaveTimeout bounds the record of a departure.
const leaveTimeout = 3 * time.Second

const joinRetry = 500 * time.Millisecond

// BeginStop starts a planned stop: readiness goes false and the partitions are
// handed over while requests in progress go on.
func (g *Gateway) BeginStop() {
	if g.leaving.Swap(true) {
		return
	}
	events.ProcessStopping.Log(g.deps.Logger).Send()
}

// Drained waits until no partition is owned and no job is in progress, or ctx
// ends. Without another gateway, or while the log takes no handover, the jobs in
// progress are finished here.
func (g *Gateway) Drained(ctx context.Context) error {
	for {
		idle, err := call(ctx, g.engine, func(e *engine, _ time.Time) bool {
			e.draining = !g.successor.Load() || !g.control.Status().LogAvailable
			return e.idle()
		})
		if err == nil && idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "partitions or jobs are left")
		case <-time.After(g.opts.PingInterval / 4):
		}
	}
}

// Close ends all work. After a planned stop, the departure is recorded first.
func (g *Gateway) Close(ctx context.Context) {
	if g.leaving.Load() && g.joined.Load() {
		// While the log is down the departure is not recorded; the other gateways
		// find out by their pings.
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

// mono returns the monotonic time since the start of the gateway.
func (g *Gateway) mono(now time.Time) time.Duration { return now.Sub(g.started) }

// writesSnapshots designates the owner of partition 0 as the writer of
// snapshots, so that one gateway writes them at a time.
func (g *Gateway) writesSnapshots() bool {
	o, ok := g.control.Snapshot().Owners[0]
	return ok && o.Gateway == g.opts.ID && o.Incarnation == g.opts.Incarnation
}

// removeAgent records an agent as gone if its worker's lease can be taken. The
// lease is held until the record is in the log: before that the agent could
// hold it again and work under the incarnation that the record ends.
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

// peerState returns the control state of the configured peer that is furthest
// ahead, or offset 0 if none is ahead of this gateway. A ping tells the offset
// first, since a snapshot has hundreds of kilobytes.
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
		return 0, nil, errors.Wrap(failed, "control state of peers")
	}
	if best == "" {
		return 0, nil, nil
	}
	resp, err := g.peers.Client(best).State(ctx, connect.NewRequest(&rhubarbsailv1.StateRequest{}))
	if err != nil {
		return 0, nil, errors.Wrap(err, "control state of peer")
	}
	return resp.Msg.AppliedOffset, resp.Msg.Snapshot, nil
}

// peerPingTimeout bounds the wait for one peer while the log is down.
const peerPingTimeout = time.Second

func (g *Gateway) controlEvent(ev control.Event) {
	e, ok := controlEvents[ev.Kind]
	if !ok {
		return
	}
	e.Log(g.deps.Logger).Err(ev.Err).Uint64("offset", ev.Offset).Send()
}

var controlEvents = map[control.EventKind]events.Event{
	control.EventLogUnavailable:  events.LogUnreachable,
	control.EventLogAvailable:    events.LogReachable,
	control.EventGap:             events.LogGap,
	control.EventSkipped:         events.RecordMalformed,
	control.EventSnapshotWritten: events.SnapshotWritten,
	control.EventLoadedPeer:      events.StateFromPeer,
	control.EventPeerFailed:      events.PeerStateFailed,
	control.EventLogBehind:       events.LogBehind,
	control.EventSnapshotFailed:  events.SnapshotFailed,
	control.EventLoadedSnapshot:  events.SnapshotLoaded,
}

// removeDeadAgents records agents as gone that have had no link for a while and
// whose worker's lease this gateway could take. The lease proves that the agent
// starts nothing any more.
func (g *Gateway) removeDeadAgents(ctx context.Context) {
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
			g.removeUnlinked(ctx)
		}
	}
}

func (g *Gateway) removeUnlinked(ctx context.Context) {
	silent, err := call(ctx, g.engine, func(e *engine, now time.Time) []state.Agent { return e.silentAgents(now) })
	if err != nil {
		return
	}
	for _, a := range silent {
		lctx, cancel := context.WithTimeout(ctx, claimTimeout)
		g.removeAgent(lctx, a)
		cancel()
	}
}
