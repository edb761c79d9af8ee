package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
)

// Link carries orders to one agent. Its methods do not block.
type Link interface {
	Order(o Order)
	Stop(s Stop)
}

// Observer is told of answered jobs. It is called with the dispatcher's lock
// held and must not block.
type Observer interface {
	JobEnded(e FinishedJob)
}

// Dispatcher drives a Core.
type Dispatcher struct {
	now      boottime.Clock
	log      zerolog.Logger
	observer Observer

	mu    sync.Mutex // owns the fields below
	core  *Core
	links map[string]Link
}

// New returns a dispatcher without agents.
func New(core *Core, now boottime.Clock, log zerolog.Logger, observer Observer) *Dispatcher {
	core.Start(now())
	return &Dispatcher{now: now, log: log, observer: observer, core: core, links: map[string]Link{}}
}

// tickEvery is the time between two checks of deadlines and overdue runs.
const tickEvery = 20 * time.Millisecond

// Run applies what is due until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.do(func(c *Core, now time.Duration) { c.Tick(now) })
		}
	}
}

func (d *Dispatcher) do(change func(c *Core, now time.Duration)) {
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
	for _, e := range a.Ended {
		d.observer.JobEnded(e)
	}
	if a.Suspended > 0 {
		events.Suspended.Log(d.log).Int64("gap_ms", a.Suspended.Milliseconds()).Send()
	}
	for _, r := range a.Retries {
		d.logRetry(r)
	}
	for _, ch := range a.Changes {
		event := events.TargetTrusted
		if ch.Avoided {
			event = events.TargetAvoided
		}
		event.Log(d.log).Str("agent", ch.Agent).Float64("failed_share", ch.Failed).Float64("anomaly", ch.Anomaly).Send()
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

// Submit runs a job and waits for its answer. If ctx ends first, the job's
// tasks are stopped and the answer is Unfinished.
func (d *Dispatcher) Submit(ctx context.Context, s Submission) Answer {
	answers := make(chan Answer, 1)
	caller := &Caller{Answer: func(a Answer) { answers <- a }}
	d.do(func(c *Core, now time.Duration) { c.Submit(now, s, caller) })
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
	}
	d.do(func(c *Core, now time.Duration) { c.Leave(now, s.ID, caller) })
	return Answer{State: Unfinished, Cause: CauseCallerLeft}
}

// Cancel stops a job and returns whether it was in progress here.
func (d *Dispatcher) Cancel(id string) bool {
	found := false
	d.do(func(c *Core, now time.Duration) { found = c.Cancel(now, id) })
	return found
}

// AgentUp adds an agent's link.
func (d *Dispatcher) AgentUp(info AgentInfo, l Link) {
	d.do(func(c *Core, now time.Duration) {
		d.links[info.Link] = l
		c.AgentUp(now, info)
	})
	events.AgentAttached.Log(d.log).Str("agent", info.Name).Str("zone", info.Zone).Str("link", info.Link).Send()
}

// AgentDown removes an agent's link.
func (d *Dispatcher) AgentDown(info AgentInfo, cause error) {
	d.do(func(c *Core, now time.Duration) {
		delete(d.links, info.Link)
		c.AgentDown(now, info.Link)
	})
	events.AgentDetached.Log(d.log).Str("agent", info.Name).Str("link", info.Link).Err(cause).Send()
}

// AgentTarget takes in what an agent says of its target.
func (d *Dispatcher) AgentTarget(link string, t TargetInfo) {
	d.do(func(c *Core, _ time.Duration) { c.AgentTarget(link, t) })
}

// Report takes in an agent's load and the ends of attempts.
func (d *Dispatcher) Report(link string, load *Load, ends []AttemptEvent) {
	d.do(func(c *Core, now time.Duration) { c.Report(now, link, load, ends) })
}

// CanPlace tells whether any agent takes work.
func (d *Dispatcher) CanPlace() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.CanPlace(d.now())
}

// Status returns the state that decides about new jobs.
func (d *Dispatcher) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Status(d.now())
}
