package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Sink sends reports to one gateway. Its methods do not block.
type Sink interface {
	Report(r Report)
	// Crashed reports a crash of the target. The reports of its runs follow.
	Crashed(c Crash)
	// LoadChanged signals that the load differs from the one last sent.
	LoadChanged()
	// Close closes the link.
	Close()
}

// Runner drives a Core: it carries out the core's actions by calling the target
// and passes reports to the gateways.
type Runner struct {
	opts Options
	// process is the first fencing token, which tells apart the processes of an agent.
	process  uint64
	client   TargetClient
	now      boottime.Clock
	log      zerolog.Logger
	observer Observer
	// heartbeatReceived wakes the poll loop after a heartbeat.
	heartbeatReceived chan struct{}
	// pollUnanswered wakes the additional pollers after a poll without an answer.
	pollUnanswered chan struct{}
	// callCtx is the context of all calls to the target; Run cancels it when it
	// ends.
	callCtx     context.Context
	cancelCalls context.CancelFunc
	// inFlight counts the goroutines that call the target. mu is held to add one,
	// but not to wait for them.
	inFlight sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	core  *Core
	sinks map[string]Sink
	// token is the fencing token of calls to the target.
	token int64
	// targetClock is the target's clock in milliseconds as read at clockReadAt on
	// the core's clock; 0 if it is unknown.
	clockReadAt time.Duration
	targetClock int64
	// lastEndSeq is the sequence number of the last end that was processed.
	// mayAcknowledge is set while the last poll was answered by the present incarnation:
	// another one of the same ID numbers its ends anew.
	lastEndSeq     int64
	mayAcknowledge bool
	// leaseSentAt is when the last call that may have extended the target's lease
	// was sent, or the last start was accepted.
	leaseSentAt time.Duration
	// lastPollAnswer is when the target last answered a poll.
	lastPollAnswer time.Duration
	// lastPollRequest is when that poll was sent.
	lastPollRequest time.Duration
	// openPolls are the polls that have not returned.
	openPolls openPolls
	// crashes are the last crashes of the target, for gateways that attach later.
	crashes []Crash
	// confirming is set while confirmCandidate runs.
	confirming bool
}

const (
	// crashRetention is how long a crash is reported to gateways that attach. It is
	// longer than callers try a job again.
	crashRetention = time.Minute
	// maxRecentCrashes bounds the memory for these crashes.
	maxRecentCrashes = 32
)

// New returns a runner that uses token as its first fencing token.
func New(core *Core, client TargetClient, token int64, now boottime.Clock, log zerolog.Logger, observer Observer, opts Options) *Runner {
	callCtx, cancelCalls := context.WithCancel(context.Background())
	return &Runner{
		callCtx: callCtx, cancelCalls: cancelCalls,
		opts: opts, process: uint64(token), client: client, now: now, log: log, observer: observer, core: core, token: token,
		sinks: map[string]Sink{}, openPolls: openPolls{sentAt: map[uint64]time.Duration{}}, heartbeatReceived: make(chan struct{}, 1), pollUnanswered: make(chan struct{}, 1),
	}
}

// Run polls the target and applies what is due until ctx ends. When it returns,
// no call to the target is in flight and none follows.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.tickLoop(ctx) })
	wg.Go(func() { r.pollLoop(ctx) })
	for range r.opts.MaxPollers - 1 {
		wg.Go(func() { r.extraPollLoop(ctx) })
	}
	<-ctx.Done()
	r.mu.Lock()
	r.cancelCalls()
	r.mu.Unlock()
	wg.Wait()
	r.inFlight.Wait()
}

func (r *Runner) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.pollOnce(ctx)
	}
}

// extraPollLoop runs an additional poller for ExtraPollersFor after a poll
// without an answer, because the next poll may get no answer either.
func (r *Runner) extraPollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.pollUnanswered:
		}
		for until := r.now() + r.opts.ExtraPollersFor; ctx.Err() == nil && r.now() < until; {
			r.pollOnce(ctx)
		}
	}
}

func (r *Runner) pollOnce(ctx context.Context) {
	t, known := r.Target()
	if !known {
		r.awaitHeartbeat(ctx)
		return
	}
	if err := r.poll(ctx, t, r.pollWait()); err != nil {
		r.pollFailed(err)
		wait.For(ctx, r.opts.RetryDelay)
	}
}

// pollWait returns how long the target may hold a poll until a run ends. The
// first poll of an incarnation returns immediately.
func (r *Runner) pollWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targetClock == 0 || !r.core.Synced() {
		return 0
	}
	return r.opts.PollWait
}

func (r *Runner) tickLoop(ctx context.Context) {
	t := time.NewTicker(r.opts.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.apply(func(c *Core, now time.Duration) { c.Tick(now) })
		}
	}
}

func (r *Runner) awaitHeartbeat(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.heartbeatReceived:
	case <-time.After(time.Second):
	}
}

// apply calls change on the core and carries out the resulting actions.
func (r *Runner) apply(change func(c *Core, now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.core, r.now())
	r.execute(r.core.Take())
}

// execute carries out actions. The caller holds r.mu.
func (r *Runner) execute(a Actions) {
	target := r.core.target
	for _, s := range a.Starts {
		r.goCall(func() { r.start(r.callCtx, target, s) })
	}
	for _, s := range a.Stops {
		r.goCall(func() { r.stop(r.callCtx, target, s) })
	}
	for _, crash := range a.Crashes {
		r.reportCrash(crash)
	}
	for _, f := range a.ForeignRuns {
		events.ForeignRunFound.Log(r.log).Str("job", f.Task.Job).Stringer("task", f.Task).Int("attempt", f.Number).Send()
	}
	for _, s := range a.StartsInDoubt {
		events.StartInDoubt.Log(r.log).Str("job", s.Attempt.Task.Job).Stringer("task", s.Attempt.Task).Int("attempt", s.Attempt.Number).
			Str("gateway", s.Gateway).Int64("age_ms", s.Age.Milliseconds()).Send()
	}
	for _, s := range a.OverdueStops {
		events.StopOverdue.Log(r.log).Str("job", s.Attempt.Task.Job).Stringer("task", s.Attempt.Task).Int("attempt", s.Attempt.Number).
			Str("gateway", s.Gateway).Int64("revoked_for_ms", s.RevokedFor.Milliseconds()).Send()
	}
	for _, rep := range a.Reports {
		r.reportEnd(rep)
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
	if len(a.Starts)+len(a.Reports)+len(a.StartsInDoubt) > 0 {
		r.notifyLoadChanged()
	}
}

// goCall runs f, which calls the target, in a new goroutine, unless the runner
// has ended. The caller holds r.mu.
func (r *Runner) goCall(f func()) {
	if r.callCtx.Err() == nil {
		r.inFlight.Go(f)
	}
}

// Observer is notified of ended attempts and of crashes of the target. It is
// called with the runner's lock held and must not block.
type Observer interface {
	AttemptEnded(r Report)
	TargetCrashed(reason task.Reason)
}

// reportCrash logs a crash and reports it to all gateways. The caller holds r.mu.
func (r *Runner) reportCrash(c Crash) {
	r.observer.TargetCrashed(c.Reason)
	events.TargetDown.Log(r.log).Str("target", c.Target.ID).Int64("born", c.Target.Incarnation).Str("reason", string(c.Reason)).
		Int("runs", len(c.Runs)).Array("latest", latestRuns(c.Runs)).Send()
	r.crashes = append(r.recentCrashes(), c)
	for _, s := range r.sinks {
		s.Crashed(c)
	}
}

// recentCrashes returns the crashes that are still reported. The caller holds r.mu.
func (r *Runner) recentCrashes() []Crash {
	recent := slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return r.now()-c.At > crashRetention })
	return recent[max(0, len(recent)-maxRecentCrashes+1):]
}

// maxLoggedRuns is the maximum number of lost runs that the log line of a crash
// lists.
const maxLoggedRuns = 8

// latestRuns encodes the latest starts among the runs that a crash ended.
type latestRuns []LostRun

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l latestRuns) MarshalZerologArray(a *zerolog.Array) {
	for _, run := range l[:min(len(l), maxLoggedRuns)] {
		a.Dict(zerolog.Dict().Stringer("task", run.Attempt.Task).Int("attempt", run.Attempt.Number).Int64("age_ms", run.Age.Milliseconds()).
			Bool("on_target", run.Accepted).Float64("suspicion", run.Suspicion))
	}
}

func (r *Runner) reportEnd(rep Report) {
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

func (r *Runner) notifyLoadChanged() {
	for _, s := range r.sinks {
		s.LoadChanged()
	}
}

// Heartbeat processes a heartbeat of the target.
func (r *Runner) Heartbeat(t Target) {
	r.apply(func(c *Core, now time.Duration) {
		previous, known := c.Target()
		c.Heartbeat(now, t)
		if !known {
			r.targetChanged(now, t)
		}
		if current, _ := c.Target(); current.Draining && !previous.Draining {
			events.TargetDraining.Log(r.log).Str("target", t.ID).Send()
		}
		if _, pending := c.Candidate(); pending && !r.confirming {
			r.confirming = true
			r.goCall(func() { r.confirmCandidate(r.callCtx) })
		}
		r.notifyLoadChanged()
	})
	r.wakePollLoop()
}

// wakePollLoop ends the poll loop's wait for a target.
func (r *Runner) wakePollLoop() {
	select {
	case r.heartbeatReceived <- struct{}{}:
	default:
	}
}

// targetChanged resets what was known of an earlier incarnation of the target. The
// caller holds r.mu.
func (r *Runner) targetChanged(now time.Duration, t Target) {
	r.lastEndSeq, r.mayAcknowledge, r.targetClock, r.lastPollAnswer = 0, false, 0, now
	events.TargetAnnounced.Log(r.log).Str("target", t.ID).Int64("born", t.Incarnation).Int64("cpu_millis", t.Capacity.CPUMillis).Strs("labels", t.Labels).Send()
}

// Restore applies the record that an earlier process of this agent saved: the
// target, unless a heartbeat has already arrived, and the estimate of its speed.
// The first poll shows whether that incarnation of the target still exists, and its
// next heartbeat, from when on tasks start, which capacity it has now.
func (r *Runner) Restore(stored Record) {
	r.apply(func(c *Core, now time.Duration) {
		if c.RestoreTarget(stored.Target) {
			r.lastPollAnswer = now
		}
		c.RestoreSpeed(stored)
		r.notifyLoadChanged()
	})
	r.wakePollLoop()
	events.TargetRecalled.Log(r.log).Str("target", stored.Target.ID).Int64("born", stored.Target.Incarnation).
		Float64("slowness", stored.Speed.Slowness).Int("samples", stored.Speed.Samples).Send()
}

// Speed returns the estimate of the target's speed.
func (r *Runner) Speed() SpeedEstimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Speed(r.now())
}

// TargetLeft records that the target has deregistered.
func (r *Runner) TargetLeft(id string) {
	r.apply(func(c *Core, now time.Duration) { c.TargetLeft(now, id) })
	events.TargetLeft.Log(r.log).Str("target", id).Send()
}

// Target returns the current target, and false if there is none.
func (r *Runner) Target() (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Target()
}

// RecordTarget returns the target as it is stored, with its full capacity, and false
// unless it has confirmed the incarnation that its heartbeats describe.
func (r *Runner) RecordTarget() (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.core.FullTarget()
	// Draining is not stored; a new process learns it from heartbeats.
	t.Draining = false
	return t, r.core.Confirmed()
}

// Load returns the target, its load and the time at which both were read.
func (r *Runner) Load() (Target, Load, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	l := r.core.Load(now)
	l.FencingToken = r.token
	return r.core.target, l, now
}

// Process identifies this process of the agent.
func (r *Runner) Process() uint64 { return r.process }

// RaiseToken raises the fencing token to a minimum that a gateway requires because of the
// calls of an earlier process. Nothing starts until the target has answered a call with
// the new token.
func (r *Runner) RaiseToken(minimum int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if minimum <= r.token {
		return
	}
	r.token = minimum
	r.core.Resync(r.now())
	events.FencingTokenRaised.Log(r.log).Int64("token", r.token).Send()
	if t, known := r.core.Target(); known {
		// If this poll fails, the next regular one shows the same.
		r.goCall(func() { _ = r.poll(r.callCtx, t, 0) })
	}
}

// Attach registers the link of a gateway. Its lease begins with the stamp of its first
// frame.
func (r *Runner) Attach(gateway string, s Sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sinks[gateway] = s
	for _, c := range r.recentCrashes() {
		s.Crashed(c)
	}
}

// Detach removes the link of a gateway and cancels the gateway's tasks.
func (r *Runner) Detach(gateway string) {
	r.apply(func(c *Core, now time.Duration) {
		delete(r.sinks, gateway)
		c.RemoveGateway(now, gateway)
	})
}

// Retire makes the runner refuse new starts from a gateway; its existing tasks
// continue.
func (r *Runner) Retire(gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sinks[gateway] != nil {
		r.core.Retire(gateway)
	}
}

// GatewayIdle reports whether a gateway has nothing queued or on the target.
func (r *Runner) GatewayIdle(gateway string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.GatewayIdle(gateway)
}

// SetZoneDrain applies what a gateway knows of the agent's availability zone.
func (r *Runner) SetZoneDrain(revision uint64, drained bool, gateway string) {
	r.apply(func(c *Core, now time.Duration) {
		if !c.SetZoneDrain(now, revision, drained) {
			return
		}
		event := events.ZoneReturned
		if drained {
			event = events.ZoneDrained
		}
		event.Log(r.log).Uint64("revision", revision).Str("gateway", gateway).Send()
		r.notifyLoadChanged()
	})
}

// HandleOrder applies a frame received from a gateway.
func (r *Runner) HandleOrder(gateway string, stamp time.Duration, starts []Start, stopJobs []string, stops []Attempt) {
	r.apply(func(c *Core, now time.Duration) {
		// Before the renewal: the gateway had given up these runs when it sent the stamp
		// of the frame before.
		if len(stopJobs) > 0 {
			c.StopJobs(now, gateway, stopJobs)
		}
		for _, a := range stops {
			c.StopAttempt(now, gateway, a)
		}
		c.RenewGatewayLease(gateway, stamp)
		if len(starts) > 0 {
			c.Submit(now, gateway, stamp, starts)
		}
	})
}

// Stop makes the runner start nothing more. It returns when all runs have ended
// or ctx ends.
func (r *Runner) Stop(ctx context.Context) {
	r.apply(func(c *Core, now time.Duration) { c.Stop(now) })
	r.mu.Lock()
	r.notifyLoadChanged()
	r.mu.Unlock()
	for ctx.Err() == nil {
		r.mu.Lock()
		idle := r.core.Idle()
		r.mu.Unlock()
		if idle {
			return
		}
		wait.For(ctx, r.opts.TickInterval)
	}
}
