package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
)

// Link sends orders to one agent. Its methods must not block.
type Link interface {
	Order(o Order)
	Stop(s Stop)
}

// Observer is notified of answered jobs. It is called with the dispatcher's lock
// held and must not block.
type Observer interface {
	JobEnded(e FinishedJob)
}

// Dispatcher makes a Core safe for concurrent use: it serialises the calls to the
// Core and carries out the actions that it decides on.
type Dispatcher struct {
	now      boottime.Clock
	log      zerolog.Logger
	observer Observer

	mu    sync.Mutex // protects the fields below
	core  *Core
	links map[string]Link
}

// New returns a dispatcher without agents.
func New(core *Core, now boottime.Clock, log zerolog.Logger, observer Observer) *Dispatcher {
	core.SetStartTime(now())
	return &Dispatcher{now: now, log: log, observer: observer, core: core, links: map[string]Link{}}
}

// tickInterval is the interval between checks of deadlines and overdue runs.
const tickInterval = 20 * time.Millisecond

// Run ticks the core until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.apply(func(c *Core, now time.Duration) { c.Tick(now) })
		}
	}
}

// apply calls change with the lock held and carries out the actions that follow.
func (d *Dispatcher) apply(change func(c *Core, now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.core, d.now())
	a := d.core.Take()
	for _, s := range a.Stops {
		if l := d.links[s.Link]; l != nil {
			l.Stop(s)
		}
	}
	for _, o := range a.Orders {
		if l := d.links[o.Link]; l != nil {
			l.Order(o)
		}
	}
	for _, e := range a.FinishedJobs {
		d.observer.JobEnded(e)
	}
	if a.Suspended > 0 {
		events.Suspended.Log(d.log).Int64("gap_ms", a.Suspended.Milliseconds()).Send()
	}
	for _, r := range a.Retries {
		d.logRetry(r)
	}
	for _, u := range a.UnknownRuns {
		events.UnknownRunStopped.Log(d.log).Str("job", u.Task.Job).Stringer("task", u.Task).Int("attempt", u.Attempt).Str("agent", u.Agent).Send()
	}
	for _, r := range a.DoubtfulRuns {
		events.DoubtfulRunStopped.Log(d.log).Str("job", r.Task.Job).Stringer("task", r.Task).Int("attempt", r.Attempt).Str("agent", r.Agent).
			Str("in_doubt_on", r.InDoubtOn).Send()
	}
	for _, h := range a.HeldJobs {
		events.JobHeld.Log(d.log).Str("job", h.ID).Str("queue", h.Queue).Str("agent", h.Agent).Send()
	}
	for _, ch := range a.ConfinementChanges {
		event := events.QueueReleased
		if ch.Confined {
			event = events.QueueConfined
		}
		event.Log(d.log).Str("queue", ch.Queue).Str("service", ch.Service).Float64("crashing_jobs", ch.CrashingJobs).Int("targets", ch.Targets).Send()
	}
	d.logShareChanges(a.ShareChanges)
	for _, ch := range a.AvoidanceChanges {
		event := events.TargetTrusted
		if ch.Avoided {
			event = events.TargetAvoided
		}
		event.Log(d.log).Str("agent", ch.Agent).Float64("failed_share", ch.FailedShare).Float64("anomaly", ch.Anomaly).Send()
	}
}

func (d *Dispatcher) logRetry(r Retry) {
	if r.Recall {
		events.TaskRecalled.Log(d.log).Str("job", r.Task.Job).Stringer("task", r.Task).Int("attempt", r.Attempt).Str("agent", r.Agent).
			Int64("age_ms", r.Ran.Milliseconds()).Int64("expected_ms", r.Expected.Milliseconds()).Send()
		return
	}
	events.TaskTriedAgain.Log(d.log).Str("job", r.Task.Job).Stringer("task", r.Task).Int("attempt", r.Attempt).Str("agent", r.Agent).
		Stringer("outcome", r.Outcome).Str("reason", string(r.Reason)).Int64("ran_ms", r.Ran.Milliseconds()).
		Int64("expected_ms", r.Expected.Milliseconds()).Send()
}

// Submit runs a job and waits for its answer. If ctx ends first, the answer is
// Unfinished, and the job is aborted unless other callers wait for it.
func (d *Dispatcher) Submit(ctx context.Context, s Submission) Answer {
	answers := make(chan Answer, 1)
	caller := &Caller{Answer: func(a Answer) { answers <- a }}
	d.apply(func(c *Core, now time.Duration) { c.Submit(now, s, caller) })
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
	}
	d.apply(func(c *Core, now time.Duration) { c.RemoveCaller(now, s.ID, caller) })
	return Answer{State: Unfinished, Cause: CauseCallerLeft}
}

// StopIn announces that this process ends after a time. Jobs that take longer are answered
// before.
func (d *Dispatcher) StopIn(after time.Duration) {
	d.apply(func(c *Core, now time.Duration) { c.StopAt(now + after) })
}

// Cancel aborts a job, refuses later submissions of it and reports whether it was in
// progress here.
func (d *Dispatcher) Cancel(id string) bool {
	found := false
	d.apply(func(c *Core, now time.Duration) { found = c.Cancel(now, id) })
	return found
}

// CancelForPeer is Cancel for a cancellation that another gateway passes on.
func (d *Dispatcher) CancelForPeer(id, gateway string) bool {
	found := d.Cancel(id)
	if found {
		events.JobCancelledByPeer.Log(d.log).Str("job", id).Str("gateway", gateway).Send()
	}
	return found
}

// AgentUp adds an agent's link.
func (d *Dispatcher) AgentUp(info AgentInfo, l Link) {
	d.apply(func(c *Core, now time.Duration) {
		d.links[info.Link] = l
		c.AgentUp(now, info)
	})
	events.AgentAttached.Log(d.log).Str("agent", info.Name).Str("zone", info.Zone).Str("link", info.Link).Send()
}

// AgentDown removes an agent's link.
func (d *Dispatcher) AgentDown(info AgentInfo, cause error) {
	d.apply(func(c *Core, now time.Duration) {
		delete(d.links, info.Link)
		c.AgentDown(now, info.Link)
	})
	events.AgentDetached.Log(d.log).Str("agent", info.Name).Str("link", info.Link).Err(cause).Send()
}

// AgentTarget sets the description of an agent's target.
func (d *Dispatcher) AgentTarget(link string, t TargetInfo) {
	d.apply(func(c *Core, _ time.Duration) { c.AgentTarget(link, t) })
}

// TargetCrashed applies an agent's report of a crash.
func (d *Dispatcher) TargetCrashed(link string, crash Crash) {
	d.apply(func(c *Core, now time.Duration) { c.TargetCrashed(now, link, crash) })
}

// Report applies a report of an agent: its load, unless nil, and the events of
// attempts.
func (d *Dispatcher) Report(link string, load *Load, attemptEvents []AttemptEvent) {
	d.apply(func(c *Core, now time.Duration) { c.Report(now, link, load, attemptEvents) })
}

// TasksRelayed applies all tasks that an agent relays as in doubt from other gateways.
func (d *Dispatcher) TasksRelayed(link string, tasks []TaskInDoubt) {
	d.apply(func(c *Core, now time.Duration) { c.TasksRelayed(now, link, tasks) })
}

// TasksInDoubt returns the tasks in doubt that this gateway tells its agents.
func (d *Dispatcher) TasksInDoubt() []TaskInDoubt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.TasksInDoubt(d.now())
}

// MinFencingToken returns the minimum token that an agent's calls to its target have to
// carry, or 0.
func (d *Dispatcher) MinFencingToken(agent string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.MinFencingToken(agent)
}

// CanPlace reports whether any agent accepts tasks.
func (d *Dispatcher) CanPlace() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.CanPlace(d.now())
}

// Status returns a summary of the state that decides about new jobs.
func (d *Dispatcher) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Status(d.now())
}
