// Package agent implements the process that runs next to each target. It keeps
// the start ledger, serves a bidirectional stream (the link) to each gateway,
// sends tasks to the target, holds the worker's lease and announces itself and
// its target to the gateways.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/streamend"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
)

const (
	// pingInterval is the idle time before an HTTP/2 ping, and pingTimeout the time
	// to answer it. They end the link of a gateway that crashed or is paused; the
	// gateway sends a fence after it has reconnected.
	pingInterval = 5 * time.Second
	pingTimeout  = 5 * time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the largest header of a request.
	maxHeaderBytes = 16 << 10
	// closeTimeout bounds each of the last steps on stop: sending the last frames,
	// announcing that the agent leaves, and releasing the lease.
	closeTimeout = 2 * time.Second
)

// Agent runs next to one target.
type Agent struct {
	opts   Options
	deps   Dependencies
	log    zerolog.Logger
	ledger *ledger.Ledger
	lease  *leaseKeeper
	// started is the origin of the agent's monotonic time.
	started time.Time
	// runCtx is the parent of all requests to the target.
	runCtx    context.Context
	cancelRun context.CancelCauseFunc
	// tasks counts the goroutines of requests to the target.
	tasks sync.WaitGroup
	// announceNow wakes the announce loop. It has a buffer of one.
	announceNow chan struct{}

	// mu guards the fields below. It is also held while the ledger is changed and
	// the messages about the change are queued, so that a gateway sees the changes
	// in order.
	mu     sync.Mutex
	target targetState
	// incarnation changes after the log has recorded the previous one as departed,
	// see rejoin.
	incarnation model.Incarnation
	drain       drainState
	sessions    map[string]*session
	// owners maps a partition to the gateway with its newest epoch, which receives
	// the outcomes of its tasks.
	owners map[model.Partition]string
	queue  []*queuedTask
	// queueBytes is the total size of the payloads in queue.
	queueBytes int
	// queuedByGateway is the number of queued tasks of each gateway.
	queuedByGateway map[string]int
	// heldOutcomes are the outcomes, by gateway, that are held back until a later
	// report to that gateway.
	heldOutcomes map[string][]ledger.Record
	running      map[ledger.Attempt]context.CancelCauseFunc
	undelivered  undelivered
	// nextLedgerFullLog is the earliest time to log a full ledger again.
	nextLedgerFullLog time.Duration
	// stopping is set when the context of Run ends: no task starts any more.
	// closing is set later, when the links are closed.
	stopping, closing bool
	// change is closed and replaced when the state changes, to wake the callers of
	// await. awaited is set while there may be such callers.
	change  chan struct{}
	awaited bool
}

// drainState is the latest drain setting of the target that gateways have sent.
type drainState struct {
	set bool
	// offset is the log offset up to which the sender had applied the log.
	offset uint64
}

// New returns an agent. It does no I/O.
func New(opts Options, deps Dependencies) (*Agent, error) {
	if err := opts.check(deps); err != nil {
		return nil, errors.Wrap(err, "agent options")
	}
	deps = deps.withDefaults()
	started := deps.Clock.Now()
	opts = opts.withDefaults(started)
	a := &Agent{
		opts:            opts,
		deps:            deps,
		log:             deps.Log,
		ledger:          ledger.New(opts.Ledger),
		lease:           newLeaseKeeper(deps.Lease, opts),
		started:         started,
		incarnation:     opts.Incarnation,
		announceNow:     make(chan struct{}, 1),
		sessions:        make(map[string]*session),
		owners:          make(map[model.Partition]string),
		queuedByGateway: make(map[string]int),
		heldOutcomes:    make(map[string][]ledger.Record),
		running:         make(map[ledger.Attempt]context.CancelCauseFunc),
		undelivered:     newUndelivered(),
		change:          make(chan struct{}),
	}
	a.runCtx, a.cancelRun = context.WithCancelCause(context.Background())
	return a, nil
}

// now returns the agent's monotonic time, which counts from its start.
func (a *Agent) now() time.Duration { return a.since(a.deps.Clock.Now()) }

func (a *Agent) since(t time.Time) time.Duration { return t.Sub(a.started) }

// notifyWaiters wakes the goroutines that wait in await. The caller must hold a.mu.
func (a *Agent) notifyWaiters() {
	if !a.awaited {
		return
	}
	a.awaited = false
	close(a.change)
	a.change = make(chan struct{})
}

// lockAndNotify acquires a.mu and calls notifyWaiters.
func (a *Agent) lockAndNotify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notifyWaiters()
}

// await waits until cond returns true or ctx ends. It calls cond with a.mu held.
func (a *Agent) await(ctx context.Context, cond func() bool) error {
	for {
		a.mu.Lock()
		done, change := cond(), a.change
		a.awaited = a.awaited || !done
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Agent) stopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closing
}

// Run serves gateways and the target until ctx ends. Then it refuses starts, drops
// its queue, waits for running tasks, delivers their outcomes and returns nil. Run
// must be called only once.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancelRun(errStopped)
	link, target, err := a.listen()
	if err != nil {
		return err
	}
	if a.opts.Advertise == "" {
		a.opts.Advertise = link.Addr().String()
	}
	linkServer, targetServer := a.linkServer(), a.targetServer()
	if limit := a.deps.LimitRequests; limit != nil {
		link, target = limit("link", linkServer, link), limit("announce", targetServer, target)
	}
	// The background loops continue until running tasks have ended and their
	// outcomes were delivered.
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	announcing, stopAnnouncing := context.WithCancel(loops)
	defer stopAnnouncing()
	failed := make(chan error, 2)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- errors.Wrap(linkServer.Serve(link), "serve links") })
	wg.Go(func() { failed <- errors.Wrap(targetServer.Serve(target), "serve the target") })
	wg.Go(func() { a.lease.run(loops, a) })
	wg.Go(func() { a.watchTarget(loops) })
	var announcer sync.WaitGroup
	announcer.Go(func() { a.announceLoop(announcing) })
	events.ListenStarted.Log(a.log).Str("link", link.Addr().String()).Str("announce", target.Addr().String()).
		Str("advertised", a.opts.Advertise).Uint64("incarnation", uint64(a.opts.Incarnation)).Send()

	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	a.stopTasks()
	stopAnnouncing()
	announcer.Wait()
	a.announceLeaving()
	a.closeLinks(linkServer)
	_ = targetServer.Close()
	stopLoops()
	wg.Wait()
	if rerr := a.lease.release(); rerr != nil {
		events.LeaseRenewalFailed.Log(a.log).Str("worker", a.opts.Worker).Bool("release", true).Err(rerr).Send()
	}
	return err
}

func (a *Agent) listen() (link, target net.Listener, err error) {
	link, target = a.deps.LinkListener, a.deps.TargetListener
	if link == nil {
		if link, err = net.Listen("tcp", a.opts.Listen); err != nil {
			return nil, nil, errors.Wrap(err, "listen for gateways")
		}
	}
	if target == nil {
		if target, err = net.Listen("tcp", a.opts.TargetListen); err != nil {
			_ = link.Close()
			return nil, nil, errors.Wrap(err, "listen for the target")
		}
	}
	return link, target, nil
}

func (a *Agent) linkServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(rhubarbsailv1connect.NewAgentServiceHandler(linkService{a}, a.handlerOptions()...))
	s := &http.Server{
		Handler:           streamend.Handler(mux),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// stopTasks drops the queue, tells the gateways that the agent is leaving, and
// waits until the running tasks have ended and their outcomes were delivered.
func (a *Agent) stopTasks() {
	a.mu.Lock()
	a.stopping = true
	a.dropQueue(a.now(), ledger.Leaving)
	a.notifyLoad()
	running := len(a.running)
	a.mu.Unlock()
	events.AgentLeaving.Log(a.log).Int("running", running).Send()

	ctx, cancel := context.WithTimeout(context.Background(), a.opts.StopTimeout)
	defer cancel()
	if a.await(ctx, func() bool { return len(a.running) == 0 }) != nil {
		events.ShutdownForced.Log(a.log).Dur("timeout_ms", a.opts.StopTimeout).Send()
		a.cancelRun(errStopped)
	}
	a.tasks.Wait()
	events.AgentDrained.Log(a.log).Send()
	a.flushHeldOutcomes()
	ctx, cancelDelivery := context.WithTimeout(context.Background(), a.opts.DeliveryTimeout)
	defer cancelDelivery()
	if a.await(ctx, a.allDelivered) != nil {
		events.OutcomesUndelivered.Log(a.log).Dur("timeout_ms", a.opts.DeliveryTimeout).Send()
	}
}

// flushHeldOutcomes reports the outcomes that are held back for a later report.
func (a *Agent) flushHeldOutcomes() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for g, recs := range a.heldOutcomes {
		delete(a.heldOutcomes, g)
		a.deliver(recs)
	}
}

// allDelivered reports whether all messages were sent and the ledger has no
// undelivered outcome. The caller must hold a.mu.
func (a *Agent) allDelivered() bool {
	for _, s := range a.sessions {
		if !s.out.idle() {
			return false
		}
	}
	a.undelivered.prune(a.lookup)
	return len(a.undelivered.tasks) == 0
}

// closeLinks sends the pending messages and closes all links.
func (a *Agent) closeLinks(s *http.Server) {
	a.mu.Lock()
	a.closing = true
	for _, session := range a.sessions {
		session.out.end()
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		events.ShutdownForced.Log(a.log).Dur("timeout_ms", closeTimeout).Err(err).Send()
		_ = s.Close()
	}
}
