package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/agentlink"
	"github.com/rhubarbsail/rhubarbsail/gateway/peers"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/scheduler"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// engineQueue bounds the events that wait for the engine.
	engineQueue = 4096
	// engineBatch is the number of events handled between two calls of the
	// policy, so that a burst is placed in one decision and sent in few frames.
	engineBatch = 256
	// engineTick bounds the time without deadline checks and decisions while
	// jobs are in progress, idleTick that without probes otherwise. Waking up
	// costs an idle gateway more than anything else.
	engineTick = 20 * time.Millisecond
	idleTick   = 100 * time.Millisecond
	// housekeepingInterval bounds the cost of the checks that go over all
	// partitions and agents while events arrive at a high rate.
	housekeepingInterval = 2 * time.Millisecond
)

// event is one input of the engine.
type event func(e *engine, now time.Time)

// engine owns the job table, the scheduling policy, the partitions that this
// gateway owns and the sessions with agents. One goroutine runs it; everything
// else reaches it through events.
type engine struct {
	opts    Options
	policy  scheduler.Policy
	log     zerolog.Logger
	metrics *metrics
	tracer  trace.Tracer
	started time.Time
	events  chan event
	ctx     context.Context
	http    *http.Client
	links   sync.WaitGroup
	// dial starts the link to an agent and returns the function that ends it.
	dial func(agentlink.Agent) func()
	// reachable is true while a majority of the listed agents confirms this
	// gateway; the engine writes it, membership reads it.
	reachable atomic.Bool

	// All fields below are owned by the engine goroutine.
	view        *state.Snapshot
	validity    *ownership.Validity
	jobs        map[model.JobKey]*job
	byHandle    map[scheduler.JobHandle]*job
	nextHandle  scheduler.JobHandle
	nextRequest uint64
	deadlines   deadlineQueue
	retained    retention
	partitions  []*partition
	tables      map[model.Partition]*handoverTable
	agents      map[string]*agentState
	byTarget    map[scheduler.TargetID]*agentState
	cancels     map[*agentState][]*rhubarbsailv1.JobKey
	quotas      quotas
	// inProgress counts the jobs without an answer.
	inProgress int
	draining   bool
	// lastHousekeeping is the time of the last run of housekeeping.
	lastHousekeeping time.Time
}

func newEngine(g *Gateway) *engine {
	e := &engine{
		opts: g.opts, policy: g.deps.Policy, log: g.deps.Logger,
		metrics:  newMetrics(g.deps.Scope),
		tracer:   g.deps.Tracer.Tracer("github.com/rhubarbsail/rhubarbsail/gateway"),
		started:  g.started,
		events:   make(chan event, engineQueue),
		ctx:      g.ctx,
		http:     peers.NewHTTPClient(),
		view:     g.control.Snapshot(),
		validity: ownership.NewValidity(g.opts.Ownership),
		jobs:     make(map[model.JobKey]*job),
		byHandle: make(map[scheduler.JobHandle]*job),
		retained: retention{keep: g.opts.Ownership.Retention, maxBytes: g.opts.RetainedBytes},
		tables:   make(map[model.Partition]*handoverTable),
		agents:   make(map[string]*agentState),
		byTarget: make(map[scheduler.TargetID]*agentState),
		quotas:   make(quotas),
		cancels:  make(map[*agentState][]*rhubarbsailv1.JobKey),
	}
	e.dial = e.startLink
	for i := range g.opts.Partitions {
		e.partitions = append(e.partitions, &partition{id: model.Partition(i)})
	}
	return e
}

func (e *engine) mono(now time.Time) time.Duration { return now.Sub(e.started) }

func (e *engine) clock(now time.Time) ownership.Clock {
	return ownership.Clock{Mono: e.mono(now), Wall: now}
}

// run handles events until ctx ends.
func (e *engine) run(ctx context.Context) {
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			now := time.Now()
			ev(e, now)
			e.handleQueued(now)
		case <-tick.C:
		}
		now := time.Now()
		e.housekeeping(now)
		wait := idleTick
		if e.inProgress > 0 {
			e.dispatch(now)
			wait = engineTick
		}
		e.flushCancels()
		tick.Reset(wait)
	}
}

func (e *engine) handleQueued(now time.Time) {
	for range engineBatch {
		select {
		case ev := <-e.events:
			ev(e, now)
		default:
			return
		}
	}
}

// post queues an event. It fails only if ctx or the engine ends first.
func (e *engine) post(ctx context.Context, ev event) error {
	select {
	case e.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// postAlways queues an event for the life of the engine.
func (e *engine) postAlways(ev event) { _ = e.post(e.ctx, ev) }

// housekeeping runs the work that depends on time alone.
func (e *engine) housekeeping(now time.Time) {
	if now.Sub(e.lastHousekeeping) < housekeepingInterval {
		return
	}
	e.lastHousekeeping = now
	e.expireDeadlines(now)
	e.probeAgents(now)
	e.noteReachable(now)
	e.advanceTakeovers(now)
	e.retained.expire(now, e.forget)
}

func (e *engine) noteReachable(now time.Time) {
	ok := e.validity.Reachable(e.mono(now))
	if e.reachable.Swap(ok) == ok {
		return
	}
	if ok {
		events.OwnershipResumed.Log(e.log).Send()
		return
	}
	events.OwnershipSuspended.Log(e.log).Send()
}

// idle reports whether nothing is left to do before a planned stop.
func (e *engine) idle() bool {
	for _, p := range e.partitions {
		if p.epoch != 0 && !e.draining {
			return false
		}
	}
	for _, j := range e.jobs {
		if !j.answered() {
			return false
		}
	}
	return true
}

// startLink keeps a stream to the agent open until the returned function is
// called.
func (e *engine) startLink(addr agentlink.Agent) func() {
	ctx, cancel := context.WithCancel(e.ctx)
	hello := &rhubarbsailv1.Hello{Gateway: e.opts.ID, GatewayIncarnation: uint64(e.opts.Incarnation)}
	l := agentlink.New(addr, e.http, hello, e)
	e.links.Add(1)
	go func() {
		defer e.links.Done()
		l.Run(ctx)
	}()
	return cancel
}

// stopLinks waits for the link goroutines; the engine's context has ended.
func (e *engine) stopLinks() {
	e.links.Wait()
	e.http.CloseIdleConnections()
}

// silentAgents returns the listed agents without a link for the time after
// which their worker counts as dead.
func (e *engine) silentAgents(now time.Time) []state.Agent {
	var out []state.Agent
	for id, ag := range e.agents {
		if ag.session == nil && now.Sub(ag.linkLost) > e.opts.RemoveAfter {
			out = append(out, e.view.Agents[id])
		}
	}
	return out
}
