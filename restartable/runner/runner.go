package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Sink carries reports to one gateway. Its methods do not block.
type Sink interface {
	Report(r Report)
	// LoadChanged tells that the load differs from the one last sent.
	LoadChanged()
	// Close ends the link.
	Close()
}

// Runner drives a Core: it calls the target and passes reports on.
type Runner struct {
	opts     Options
	client   TargetClient
	now      boottime.Clock
	log      zerolog.Logger
	observer Observer
	// announced wakes the look loop after a heartbeat.
	announced chan struct{}
	// silent wakes the lookers that only look after a look without an answer.
	silent chan struct{}
	// calls ends all calls to the target when Run ends.
	calls context.Context
	end   context.CancelFunc
	// inCall counts the goroutines of calls; owned by mu, but for Wait.
	inCall sync.WaitGroup

	mu    sync.Mutex // owns the fields below
	core  *Core
	sinks map[string]Sink
	token int64
	// clockAt and clock map the core's clock to the target's.
	clockAt time.Duration
	clock   int64
	lastEnd int64
	// leasedAt is when the last call that may have extended the lease was sent.
	leasedAt time.Duration
	// answeredAt is when the last look was answered.
	answeredAt time.Duration
}

// New returns a runner whose first fencing token is token.
func New(core *Core, client TargetClient, token int64, now boottime.Clock, log zerolog.Logger, observer Observer, opts Options) *Runner {
	calls, end := context.WithCancel(context.Background())
	return &Runner{
		calls: calls, end: end,
		opts: opts, client: client, now: now, log: log, observer: observer, core: core, token: token,
		sinks: map[string]Sink{}, announced: make(chan struct{}, 1), silent: make(chan struct{}, 1),
	}
}

// Run looks at the target and applies what is due until ctx ends. It returns
// once no call to the target is under way; none follows.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.tick(ctx) })
	wg.Go(func() { r.keepLooking(ctx) })
	for range r.opts.Lookers - 1 {
		wg.Go(func() { r.lookAfterSilence(ctx) })
	}
	<-ctx.Done()
	r.mu.Lock()
	r.end()
	r.mu.Unlock()
	wg.Wait()
	r.inCall.Wait()
}

func (r *Runner) keepLooking(ctx context.Context) {
	for ctx.Err() == nil {
		r.lookOnce(ctx)
	}
}

// lookAfterSilence looks beside the other lookers for SilentFor after a look had
// no answer: the next one may have none either.
func (r *Runner) lookAfterSilence(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.silent:
		}
		for until := r.now() + r.opts.SilentFor; ctx.Err() == nil && r.now() < until; {
			r.lookOnce(ctx)
		}
	}
}

func (r *Runner) lookOnce(ctx context.Context) {
	t, known := r.Target()
	if !known {
		r.awaitHeartbeat(ctx)
		return
	}
	if err := r.look(ctx, t, r.wait()); err != nil {
		r.lookFailed(err)
		wait.For(ctx, r.opts.RetryAfter)
	}
}

// wait returns how long the target may wait for an end. The first look of a
// life does not wait.
func (r *Runner) wait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock == 0 || !r.core.surveyed {
		return 0
	}
	return r.opts.LookWait
}

func (r *Runner) tick(ctx context.Context) {
	t := time.NewTicker(r.opts.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.do(func(c *Core, now time.Duration) { c.Tick(now) })
		}
	}
}

func (r *Runner) awaitHeartbeat(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.announced:
	case <-time.After(time.Second):
	}
}

// do applies a change to the core and carries out what follows from it.
func (r *Runner) do(change func(c *Core, now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.core, r.now())
	r.perform(r.core.Take())
}

// perform runs with r.mu held.
func (r *Runner) perform(a Actions) {
	target := r.core.target
	for _, s := range a.Starts {
		r.call(func() { r.start(r.calls, target, s) })
	}
	for _, s := range a.Stops {
		r.call(func() { r.stop(r.calls, target, s) })
	}
	for _, rep := range a.Reports {
		r.observe(rep)
		if s := r.sinks[rep.Gateway]; s != nil {
			s.Report(rep)
		}
	}
	for _, g := range a.Disconnect {
		if s := r.sinks[g]; s != nil {
			events.GatewayLeaseLapsed.Log(r.log).Str("gateway", g).Send()
			s.Close()
		}
	}
	if len(a.Starts)+len(a.Reports) > 0 {
		r.loadChanged()
	}
}

// call makes a call to the target in a goroutine of its own, unless the runner
// has ended. It runs with r.mu held.
func (r *Runner) call(f func()) {
	if r.calls.Err() == nil {
		r.inCall.Go(f)
	}
}

// Observer is told of ended attempts. It is called with the runner's lock held
// and must not block.
type Observer interface {
	AttemptEnded(r Report)
}

func (r *Runner) observe(rep Report) {
	if rep.Outcome == task.Started {
		return
	}
	r.observer.AttemptEnded(rep)
	if rep.Outcome == task.Done || rep.Reason == task.ReasonRevoked {
		return
	}
	events.RunEnded.Log(r.log).Str("job", rep.Task.Job).Stringer("task", rep.Task).Int("attempt", rep.Attempt).
		Stringer("outcome", rep.Outcome).Str("reason", string(rep.Reason)).Int64("ran_ms", rep.RunTime.Milliseconds()).
		Str("gateway", rep.Gateway).Send()
}

func (r *Runner) loadChanged() {
	for _, s := range r.sinks {
		s.LoadChanged()
	}
}

// Heartbeat takes in what the target says of itself.
func (r *Runner) Heartbeat(t Target) {
	r.do(func(c *Core, now time.Duration) {
		old, known := c.Target()
		c.Heartbeat(now, t)
		if newer, _ := c.Target(); !known || !newer.sameLife(old) {
			r.lastEnd, r.clock, r.answeredAt = 0, 0, now
			events.TargetAnnounced.Log(r.log).Str("target", t.ID).Int64("born", t.Incarnation).Int64("cpu_millis", t.Capacity.CPUMillis).Strs("labels", t.Labels).Send()
		}
		if t.Draining && !old.Draining {
			events.TargetDraining.Log(r.log).Str("target", t.ID).Send()
		}
		r.loadChanged()
	})
	select {
	case r.announced <- struct{}{}:
	default:
	}
}

// Restore takes in what an earlier process of this agent kept: the target, if no
// heartbeat has arrived, and its speed. The first look shows whether the target
// still lives.
func (r *Runner) Restore(kept Record) {
	if _, known := r.Target(); !known {
		r.Heartbeat(kept.Target)
	}
	r.do(func(c *Core, _ time.Duration) {
		c.RestoreSpeed(kept)
		r.loadChanged()
	})
	events.TargetRecalled.Log(r.log).Str("target", kept.Target.ID).Int64("born", kept.Target.Incarnation).
		Float64("slowness", kept.Speed.Slowness).Int("samples", kept.Speed.Samples).Send()
}

// Speed returns what is known of the target's speed.
func (r *Runner) Speed() SpeedEstimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Speed(r.now())
}

// TargetLeft notes that the target has said goodbye.
func (r *Runner) TargetLeft(id string) {
	r.do(func(c *Core, now time.Duration) { c.TargetLeft(now, id) })
	events.TargetLeft.Log(r.log).Str("target", id).Send()
}

// Target returns the newest target.
func (r *Runner) Target() (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Target()
}

// Load returns the target, its load and the time of both.
func (r *Runner) Load() (Target, Load, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.core.target, r.core.Load(now), now
}

// Attach adds the link of a gateway.
func (r *Runner) Attach(gateway string, s Sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sinks[gateway] = s
	r.core.RenewGatewayLease(gateway, r.now())
}

// Detach removes a link; the gateway's tasks end.
func (r *Runner) Detach(gateway string) {
	r.do(func(c *Core, now time.Duration) {
		delete(r.sinks, gateway)
		c.GatewayGone(now, gateway)
	})
}

// Retire makes the runner refuse what a gateway orders from now on.
func (r *Runner) Retire(gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sinks[gateway] != nil {
		r.core.Retire(gateway)
	}
}

// GatewayIdle tells whether nothing of a gateway is queued or on the target.
func (r *Runner) GatewayIdle(gateway string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.GatewayIdle(gateway)
}

// HandleOrder passes the content of a gateway's frame on.
func (r *Runner) HandleOrder(gateway string, stamp time.Duration, starts []Start, stopJobs []string, stops []Attempt) {
	r.do(func(c *Core, now time.Duration) {
		c.RenewGatewayLease(gateway, stamp)
		if len(stopJobs) > 0 {
			c.StopJobs(now, gateway, stopJobs)
		}
		for _, a := range stops {
			c.StopAttempt(now, gateway, a)
		}
		if len(starts) > 0 {
			c.Submit(now, gateway, stamp, starts)
		}
	})
}

// Stop makes the runner start nothing more, and returns when all that ran has
// ended or ctx ends.
func (r *Runner) Stop(ctx context.Context) {
	r.do(func(c *Core, now time.Duration) { c.Stop(now) })
	r.mu.Lock()
	r.loadChanged()
	r.mu.Unlock()
	for ctx.Err() == nil {
		r.mu.Lock()
		idle := r.core.Idle()
		r.mu.Unlock()
		if idle {
			return
		}
		wait.For(ctx, r.opts.TickEvery)
	}
}
