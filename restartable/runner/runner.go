package runner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// ErrFenced means that the target has seen a higher fencing token.
var ErrFenced = errors.New("the target has seen a higher fencing token")

// TargetClient calls a target. All durations in deadlines are on the target's
// own clock, in milliseconds.
type TargetClient interface {
	// Start begins a task. It returns StartUnanswered for every failure after
	// which the task may still start, and ErrFenced for a low token.
	Start(ctx context.Context, t Target, s Start, token, deadline int64) (StartResult, int64, error)
	// Stop ends a task. An error means that it may not have been carried out.
	Stop(ctx context.Context, t Target, a Attempt, token int64) (clock int64, err error)
	// Look lists what runs and ends, and extends the lease of all that runs.
	Look(ctx context.Context, t Target, q LookQuery) (LookReply, error)
}

// LookQuery is the question for a look at a target.
type LookQuery struct {
	Token int64
	// Deadline extends the lease to this time of the target's clock; 0 does not.
	Deadline int64
	// LastEnd is the highest number of an end that was taken in.
	LastEnd int64
	// Wait is how long the target may wait for an end.
	Wait time.Duration
}

// LookReply is the target's answer.
type LookReply struct {
	Clock   int64
	Born    int64
	LastEnd int64
	Running []Attempt
	Ended   []End
}

// DriveOptions are the times of a Runner.
type DriveOptions struct {
	// Lease is how long the target keeps runs without a renewal.
	Lease time.Duration
	// LeaseMax is the target's own bound of a lease, with the error of its clock.
	LeaseMax time.Duration
	// Lookers is the number of looks at a time, so that one without an answer
	// holds nothing up.
	Lookers int
	// LookWait is the time between two renewals while nothing ends.
	LookWait time.Duration
	// CallTimeout bounds a start or a stop; a look has LookWait more.
	CallTimeout time.Duration
	// SilentAfter is the time without any answer to a look after which the
	// target counts as unreachable.
	SilentAfter time.Duration
	// RetryAfter is the pause after a failed call.
	RetryAfter time.Duration
	// TickEvery is the time between two checks of leases and the queue.
	TickEvery time.Duration
}

// DefaultDriveOptions suit targets whose leases last at most one second. A
// lease outlives two lost renewals.
func DefaultDriveOptions() DriveOptions {
	return DriveOptions{
		Lease: 900 * time.Millisecond, LeaseMax: 1050 * time.Millisecond,
		Lookers: 2, LookWait: 100 * time.Millisecond, CallTimeout: 60 * time.Millisecond,
		SilentAfter: 350 * time.Millisecond,
		RetryAfter:  20 * time.Millisecond, TickEvery: 25 * time.Millisecond,
	}
}

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
	opts     DriveOptions
	client   TargetClient
	now      boottime.Clock
	log      zerolog.Logger
	observer Observer
	// announced wakes the look loop after a heartbeat.
	announced chan struct{}
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
func New(core *Core, client TargetClient, token int64, now boottime.Clock, log zerolog.Logger, observer Observer, opts DriveOptions) *Runner {
	calls, end := context.WithCancel(context.Background())
	return &Runner{
		calls: calls, end: end,
		opts: opts, client: client, now: now, log: log, observer: observer, core: core, token: token,
		sinks: map[string]Sink{}, announced: make(chan struct{}, 1),
	}
}

// Run looks at the target and applies what is due until ctx ends. It returns
// once no call to the target is under way; none follows.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.tick(ctx) })
	for range r.opts.Lookers {
		wg.Go(func() { r.keepLooking(ctx) })
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
		t, known := r.Target()
		if !known {
			r.awaitHeartbeat(ctx)
			continue
		}
		if err := r.look(ctx, t, r.wait()); err != nil {
			r.lookFailed(err)
			wait.For(ctx, r.opts.RetryAfter)
		}
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

// deadline returns the end of a lease on the target's clock, or 0 for none: a
// target that is out of reach gets no renewal, so that its runs end. It runs with
// r.mu held. The target's clock is read at the end of a call, so that the result
// is late by no more than that call took; the target shortens it to its own
// bound.
func (r *Runner) deadline() int64 {
	if r.clock == 0 || !r.core.reachable {
		return 0
	}
	r.leasedAt = r.now()
	return r.clock + (r.leasedAt - r.clockAt + r.opts.Lease).Milliseconds()
}

// readClock notes the target's clock. It runs with r.mu held.
func (r *Runner) readClock(clock int64) {
	if clock != 0 {
		r.clock, r.clockAt = clock, r.now()
	}
}

func (r *Runner) start(ctx context.Context, t Target, s Start) {
	r.mu.Lock()
	token, deadline := r.token, r.deadline()
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	result, clock, err := r.client.Start(call, t, s, token, deadline)
	a := Attempt{s.Task, s.Attempt}
	if result != StartAccepted {
		events.RunNotAccepted.Log(r.log).Stringer("task", s.Task).Int("attempt", s.Attempt).Int("result", int(result)).Err(err).Send()
	}
	r.do(func(c *Core, now time.Duration) {
		r.readClock(clock)
		r.raiseToken(err)
		c.Started(now, a, result)
	})
}

func (r *Runner) stop(ctx context.Context, t Target, a Attempt) {
	r.mu.Lock()
	token := r.token
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	clock, err := r.client.Stop(call, t, a, token)
	if err != nil {
		wait.For(ctx, r.opts.RetryAfter)
	}
	r.do(func(c *Core, now time.Duration) {
		r.readClock(clock)
		r.raiseToken(err)
		c.StopAnswered(now, a, err == nil)
	})
	if err == nil {
		// A stopped run that had not begun leaves no end that a look waits for. If
		// this look fails, the next regular one shows the same.
		_ = r.look(ctx, t, 0)
	}
}

// tokenStep is added to a fencing token that the target refuses. An earlier
// agent of this VM took its token from a clock that was ahead of this one.
const tokenStep = 10_000

// raiseToken runs with r.mu held.
func (r *Runner) raiseToken(err error) {
	if errors.Is(err, ErrFenced) {
		r.token += tokenStep
		events.FencingTokenRaised.Log(r.log).Int64("token", r.token).Send()
	}
}

func (r *Runner) look(ctx context.Context, t Target, wait time.Duration) error {
	r.mu.Lock()
	q := LookQuery{Token: r.token, Deadline: r.deadline(), LastEnd: r.lastEnd, Wait: wait}
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, q.Wait+r.opts.CallTimeout)
	defer cancel()
	began := r.now()
	reply, err := r.client.Look(call, t, q)
	if err != nil {
		r.mu.Lock()
		r.raiseToken(err)
		r.mu.Unlock()
		return err
	}
	r.do(func(c *Core, now time.Duration) {
		known := c.Looked(now, Look{Began: began, Born: reply.Born, Running: reply.Running, Ended: reply.Ended})
		if known {
			r.readClock(reply.Clock)
			r.answeredAt = now
			r.lastEnd = max(r.lastEnd, reply.LastEnd)
		} else {
			err = errors.Errorf("the target answers as born at %d", reply.Born)
		}
	})
	return err
}

// lookFailed counts the target as unreachable if no look has been answered for
// a while. A single one may have lost its answer.
func (r *Runner) lookFailed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now-r.answeredAt < r.opts.SilentAfter {
		return
	}
	was := r.core.reachable
	r.core.Unreachable(now, now-r.leasedAt > r.opts.LeaseMax)
	if was {
		events.TargetUnanswering.Log(r.log).Err(err).Send()
	}
	r.perform(r.core.Take())
	if was {
		r.loadChanged()
	}
}

// Heartbeat takes in what the target says of itself.
func (r *Runner) Heartbeat(t Target) {
	r.do(func(c *Core, now time.Duration) {
		old, known := c.Target()
		c.Heartbeat(now, t)
		if newer, _ := c.Target(); !known || !newer.sameLife(old) {
			r.lastEnd, r.clock, r.answeredAt = 0, 0, now
			events.TargetAnnounced.Log(r.log).Str("target", t.ID).Int64("born", t.Born).Int64("cpu_millis", t.Capacity.CPUMillis).Strs("labels", t.Labels).Send()
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

// Recall proposes a target that an earlier process of this agent knew. It is
// taken if no heartbeat has arrived; the first look shows whether it still
// lives.
func (r *Runner) Recall(t Target) {
	if _, known := r.Target(); !known {
		r.Heartbeat(t)
	}
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
	r.core.Echo(gateway, r.now())
}

// Detach removes a link; the gateway's tasks end.
func (r *Runner) Detach(gateway string) {
	r.do(func(c *Core, now time.Duration) {
		delete(r.sinks, gateway)
		c.GatewayGone(now, gateway)
	})
}

// Order passes the content of a gateway's frame on.
func (r *Runner) Order(gateway string, stamp time.Duration, starts []Start, stopJobs []string, stops []Attempt) {
	r.do(func(c *Core, now time.Duration) {
		c.Echo(gateway, stamp)
		if len(stopJobs) > 0 {
			c.StopJobs(now, gateway, stopJobs)
		}
		for _, a := range stops {
			c.StopAttempt(now, gateway, a)
		}
		if len(starts) > 0 {
			c.Order(now, gateway, stamp, starts)
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
