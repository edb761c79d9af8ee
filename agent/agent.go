// Package agent is the process beside each target. It keeps the start ledger,
// serves one link to each gateway, runs tasks at the target, holds the worker's
// lease and announces itself and its target to the gateways.
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
	// pingAfter and pingTimeout find a gateway that is gone or paused; its link
	// then ends, and it fences when it is back.
	pingAfter   = 5 * time.Second
	pingTimeout = 5 * time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// closeTimeout bounds the last frames and the last announcement on stop.
	closeTimeout = 2 * time.Second
)

// Agent runs beside one target.
type Agent struct {
	opts   Options
	deps   Dependencies
	log    zerolog.Logger
	ledger *ledger.Ledger
	lease  *leaseKeeper
	// started is the zero of the agent's monotonic time.
	started time.Time
	// runCtx is the parent of all requests to the target.
	runCtx    context.Context
	cancelRun context.CancelCauseFunc
	// tasks counts the goroutines of requests to the target.
	tasks sync.WaitGroup
	// announceNow has room for one signal.
	announceNow chan struct{}

	// mu guards the fields below. Changes of the ledger and the messages about
	// them are made under it, so that a gateway sees them in one order.
	mu     sync.Mutex
	target targetState
	// incarnation changes when the log shows the former one as departed.
	incarnation model.Incarnation
	drain       drainState
	sessions    map[string]*session
	// owners maps a partition to the gateway that receives its outcomes: the one
	// with the newest epoch.
	owners map[model.Partition]string
	queue  []*work
	// queueBytes is the size of the payloads in queue.
	queueBytes int
	// queued counts the queue by gateway.
	queued map[string]int
	// held are outcomes that wait for the end of their batch, by gateway.
	held        map[string][]ledger.Record
	running     map[ledger.Attempt]context.CancelCauseFunc
	undelivered undelivered
	// ledgerFullLog is the time before which a full ledger is not logged again.
	ledgerFullLog time.Duration
	// stopping is set when Run ends: nothing new starts. closing is set later,
	// when the links end.
	stopping, closing bool
	// change is closed and replaced at each change while awaited is set.
	change  chan struct{}
	awaited bool
}

// drainState is the newest operator's drain that a gateway passed on.
type drainState struct {
	set bool
	// offset is the log offset up to which its sender had applied the log.
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
		opts:        opts,
		deps:        deps,
		log:         deps.Log,
		ledger:      ledger.New(opts.Ledger),
		lease:       newLeaseKeeper(deps.Lease, opts),
		started:     started,
		incarnation: opts.Incarnation,
		announceNow: make(chan struct{}, 1),
		sessions:    make(map[string]*session),
		owners:      make(map[model.Partition]string),
		queued:      make(map[string]int),
		held:        make(map[string][]ledger.Record),
		running:     make(map[ledger.Attempt]context.CancelCauseFunc),
		undelivered: newUndelivered(),
		change:      make(chan struct{}),
	}
	a.runCtx, a.cancelRun = context.WithCancelCause(context.Background())
	return a, nil
}

// now returns the agent's monotonic time since its start.
func (a *Agent) now() time.Duration { return a.since(a.deps.Clock.Now()) }

func (a *Agent) since(t time.Time) time.Duration { return t.Sub(a.started) }

// changed wakes the goroutines that wait in await. The caller holds a.mu.
func (a *Agent) changed() {
	if !a.awaited {
		return
	}
	a.awaited = false
	close(a.change)
	a.change = make(chan struct{})
}

// wake calls changed.
func (a *Agent) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed()
}

// await waits until cond, which is called with a.mu held, returns true.
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

// Run serves until ctx ends. Then it refuses starts, gives its queue back, waits
// for running tasks, delivers their outcomes and returns nil. Run is called once.
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
	// The loops go on while the agent drains.
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
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// stopTasks gives the queue back, reports leaving and waits for the running tasks
// and for their delivery.
func (a *Agent) stopTasks() {
	a.mu.Lock()
	a.stopping = true
	a.giveBack(a.now(), ledger.Leaving)
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
	a.flushHeld()
	ctx, cancelDelivery := context.WithTimeout(context.Background(), a.opts.DeliveryTimeout)
	defer cancelDelivery()
	if a.await(ctx, a.delivered) != nil {
		events.OutcomesUndelivered.Log(a.log).Dur("timeout_ms", a.opts.DeliveryTimeout).Send()
	}
}

// flushHeld reports outcomes whose batch will not complete.
func (a *Agent) flushHeld() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for g, recs := range a.held {
		delete(a.held, g)
		a.deliver(recs)
	}
}

// delivered reports whether no outcome within retention waits for a gateway and
// all links have sent what they have. The caller holds a.mu.
func (a *Agent) delivered() bool {
	for _, s := range a.sessions {
		if !s.out.idle() {
			return false
		}
	}
	a.undelivered.prune(a.kept)
	return len(a.undelivered.tasks) == 0
}

// closeLinks sends what waits in the outboxes and ends the links.
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
