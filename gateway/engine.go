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
	// engineQueueEvents bounds the events that wait for the engine.
	engineQueueEvents = 4096
	// engineBatchEvents is the maximum number of queued events handled before the next
	// scheduling decision. Batching places a burst in one decision and sends it in
	// few frames.
	engineBatchEvents = 256
	// busyTickInterval is the maximum time between two scheduling decisions and
	// deadline checks while jobs are in progress. idleTickInterval is the maximum
	// time between two probe checks otherwise; it is longer because waking up
	// causes most of the CPU use of an idle gateway.
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// housekeepingInterval is the minimum time between two runs of housekeeping,
	// which iterates over all partitions and agents. It bounds the cost of that
	// while events arrive at a high rate.
	housekeepingInterval = 2 * time.Millisecond
)

// event is a function that the engine goroutine runs.
type event func(e *engine, now time.Time)

// engine holds the job table, the scheduling policy, the partitions that this
// gateway owns and the sessions with agents. One goroutine runs it; all other
// goroutines access its state by posting events.
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
	// dial starts the link to an agent and returns a function that stops it. Tests
	// replace it.
	dial func(agentlink.Agent) func()
	// reachable is true while a majority of the listed agents has confirmed a probe
	// that was sent within the validity time. The engine writes it, membership reads
	// it.
	reachable atomic.Bool

	// Only the engine goroutine may access the fields below.
	snapshot       *state.Snapshot
	validity       *ownership.Validity
	jobs           map[model.JobKey]*job
	jobsByHandle   map[scheduler.JobHandle]*job
	lastHandle     scheduler.JobHandle
	lastRequest    uint64
	deadlines      deadlineQueue
	retained       retainedJobs
	partitions     []*partition
	handoverTables map[model.Partition]*handoverTable
	agents         map[string]*agentState
	agentsByTarget map[scheduler.TargetID]*agentState
	pendingCancels map[*agentState][]*rhubarbsailv1.JobKey
	quotas         quotas
	// inProgress counts the jobs without an answer.
	inProgress int
	// finishingLocally is set during a graceful shutdown while partitions cannot be handed
	// over: new jobs are refused and the jobs in progress finish here.
	finishingLocally bool
	lastHousekeeping time.Time
}

func newEngine(g *Gateway) *engine {
	e := &engine{
		opts: g.opts, policy: g.deps.Policy, log: g.deps.Logger,
		metrics:        newMetrics(g.deps.Scope),
		tracer:         g.deps.Tracer.Tracer("github.com/rhubarbsail/rhubarbsail/gateway"),
		started:        g.started,
		events:         make(chan event, engineQueueEvents),
		ctx:            g.ctx,
		http:           peers.NewHTTPClient(),
		snapshot:       g.control.Snapshot(),
		validity:       ownership.NewValidity(g.opts.Ownership),
		jobs:           make(map[model.JobKey]*job),
		jobsByHandle:   make(map[scheduler.JobHandle]*job),
		retained:       retainedJobs{maxAge: g.opts.Ownership.Retention, maxBytes: g.opts.RetainedBytes},
		handoverTables: make(map[model.Partition]*handoverTable),
		agents:         make(map[string]*agentState),
		agentsByTarget: make(map[scheduler.TargetID]*agentState),
		quotas:         make(quotas),
		pendingCancels: make(map[*agentState][]*rhubarbsailv1.JobKey),
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

// run handles events, runs housekeeping and makes scheduling decisions until ctx
// ends.
func (e *engine) run(ctx context.Context) {
	tick := time.NewTimer(idleTickInterval)
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
		wait := idleTickInterval
		if e.inProgress > 0 {
			e.dispatch(now)
			wait = busyTickInterval
		}
		e.flushCancels()
		tick.Reset(wait)
	}
}

// handleQueued handles the events that are queued, up to engineBatchEvents.
func (e *engine) handleQueued(now time.Time) {
	for range engineBatchEvents {
		select {
		case ev := <-e.events:
			ev(e, now)
		default:
			return
		}
	}
}

// post queues an event. It blocks while the queue is full and fails only if ctx or
// the engine ends first.
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

// postAlways queues an event, unless the engine has ended.
func (e *engine) postAlways(ev event) { _ = e.post(e.ctx, ev) }

// housekeeping does the work that depends on time rather than on events. It does
// nothing if housekeepingInterval has not passed since the last run.
func (e *engine) housekeeping(now time.Time) {
	if now.Sub(e.lastHousekeeping) < housekeepingInterval {
		return
	}
	e.lastHousekeeping = now
	e.expireDeadlines(now)
	e.probeAgents(now)
	e.updateReachable(now)
	e.advanceTakeovers(now)
	e.retained.expire(now, e.forget)
}

// updateReachable updates reachable and logs a change.
func (e *engine) updateReachable(now time.Time) {
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

// idle reports whether the gateway may stop: no job is in progress and, unless
// jobs finish locally, no partition is owned.
func (e *engine) idle() bool {
	for _, p := range e.partitions {
		if p.epoch != 0 && !e.finishingLocally {
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

// startLink starts a goroutine that keeps a stream to the agent open until the
// returned function is called.
func (e *engine) startLink(agent agentlink.Agent) func() {
	ctx, cancel := context.WithCancel(e.ctx)
	hello := &rhubarbsailv1.Hello{Gateway: e.opts.ID, GatewayIncarnation: uint64(e.opts.Incarnation)}
	l := agentlink.New(agent, e.http, hello, e)
	e.links.Add(1)
	go func() {
		defer e.links.Done()
		l.Run(ctx)
	}()
	return cancel
}

// stopLinks waits for the link goroutines to end. The engine's context must have
// ended before.
func (e *engine) stopLinks() {
	e.links.Wait()
	e.http.CloseIdleConnections()
}

// unlinkedAgents returns the agents that have had no link for longer than
// Options.RemoveAfter.
func (e *engine) unlinkedAgents(now time.Time) []state.Agent {
	var out []state.Agent
	for id, ag := range e.agents {
		if ag.session == nil && now.Sub(ag.linkDownSince) > e.opts.RemoveAfter {
			out = append(out, e.snapshot.Agents[id])
		}
	}
	return out
}
