package runner

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// StartResult is the target's answer to a start.
type StartResult int

// Answers to a start.
const (
	StartAccepted StartResult = iota + 1
	// StartRefused means that the target has not started the task and will not.
	StartRefused
	// StartSuperseded means that the target has seen this attempt or a later one.
	StartSuperseded
	// StartUnanswered leaves open whether the task starts, now or later.
	StartUnanswered
)

// StartAnswered takes in the answer to a start.
func (c *Core) StartAnswered(now time.Duration, a Attempt, result StartResult) {
	r := c.attempt(a)
	if r == nil || r.state != starting {
		return
	}
	r.confirmedAt = now
	switch result {
	case StartAccepted:
		r.state = running
		c.out.Reports = append(c.out.Reports, Report{Gateway: r.gateway, Task: r.Task, Attempt: r.Attempt, Outcome: task.Started})
		if r.revoked {
			c.stopRun(r)
		}
	case StartRefused:
		c.finish(now, r, task.NotStarted, task.ReasonRefused)
	case StartSuperseded:
		c.finish(now, r, task.NotStarted, task.ReasonSuperseded)
	case StartUnanswered:
		r.state = unanswered
		c.out.Stops = append(c.out.Stops, a)
	}
	c.pump(now)
}

// StopAnswered takes in the answer to a stop. A stop without an answer is
// repeated; the target forgets a repeated one.
func (c *Core) StopAnswered(now time.Duration, a Attempt, acked bool) {
	if c.strangers[a] {
		if !acked {
			c.out.Stops = append(c.out.Stops, a)
		}
		return
	}
	r := c.attempt(a)
	if r == nil || (r.state != stopping && r.state != unanswered) {
		return
	}
	if !acked {
		c.out.Stops = append(c.out.Stops, a)
		return
	}
	r.stopAcked, r.confirmedAt = true, now
}

func (c *Core) attempt(a Attempt) *run {
	r := c.runs[a.Task]
	if r == nil || r.Attempt != a.Number {
		return nil
	}
	return r
}

// End is one ended run that the target lists.
type End struct {
	Attempt Attempt
	Outcome task.Outcome
}

// Snapshot is the target's list of what runs and what has ended.
type Snapshot struct {
	// RequestedAt is when the question was sent, on the core's clock.
	RequestedAt time.Duration
	Incarnation int64
	Running     []Attempt
	Ended       []End
}

// ApplySnapshot takes in a list. It returns false if the list is of another life of
// the target than the one that the core knows.
func (c *Core) ApplySnapshot(now time.Duration, l Snapshot) bool {
	c.reachable = c.known && l.Incarnation == c.target.Incarnation
	if !c.reachable {
		return false
	}
	for _, e := range l.Ended {
		c.ended(now, e)
	}
	c.compare(now, l)
	c.surveyed = true
	c.pump(now)
	return true
}

func (c *Core) ended(now time.Duration, e End) {
	delete(c.strangers, e.Attempt)
	r := c.attempt(e.Attempt)
	if r == nil || r.state == queued {
		return
	}
	c.finish(now, r, e.Outcome, "")
}

// compare finds runs that the core has not started, and attempts that the
// target does not list.
func (c *Core) compare(now time.Duration, l Snapshot) {
	listed := make(map[Attempt]bool, len(l.Running))
	for _, a := range l.Running {
		listed[a] = true
		if at, ended := c.finished[a]; ended && l.RequestedAt <= at {
			continue
		}
		if c.attempt(a) == nil && !c.strangers[a] {
			c.strangers[a] = true
			c.out.Stops = append(c.out.Stops, a)
		}
	}
	for a := range c.strangers {
		if !listed[a] {
			delete(c.strangers, a)
		}
	}
	for _, r := range c.sortedRuns() {
		a := Attempt{r.Task, r.Attempt}
		if listed[a] || l.RequestedAt <= r.confirmedAt {
			continue
		}
		switch {
		case r.state == running, r.state == stopping && r.stopAcked:
			c.finish(now, r, task.Lost, "")
		case r.state == unanswered && (r.stopAcked || now-r.startedAt > c.opts.ResolveAfter):
			c.finish(now, r, task.NotStarted, task.ReasonUnanswered)
		}
	}
}

// Unreachable notes that the target does not answer. After the lapse of every
// lease that it was given, lapsed is true and its runs count as lost.
func (c *Core) Unreachable(now time.Duration, lapsed bool) {
	c.reachable = false
	if lapsed {
		for _, r := range c.sortedRuns() {
			if r.state != queued && r.state != starting {
				c.finish(now, r, task.Lost, "")
			}
		}
		clear(c.strangers)
		c.surveyed = false
	}
	c.pump(now)
}

// Load summarises the target's state for gateways.
type Load struct {
	Accepting bool
	Reason    task.Reason
	Committed task.Resources
	// Backlog is the time that a whole target would need for all that is
	// committed.
	Backlog time.Duration
	// Slowness is the usual ratio of measured to expected run times, learned
	// from Samples runs. Anomaly is the present ratio to the usual one.
	Slowness, Anomaly float64
	Samples           int
	// Failed is the share of recent runs that have failed.
	Failed  float64
	Running int
	Queued  int
}

// Load returns the present load.
func (c *Core) Load(now time.Duration) Load {
	l := Load{Committed: c.used.Plus(c.waiting), Queued: len(c.queue), Running: len(c.runs) - len(c.queue)}
	l.Accepting, l.Reason = c.Accepting()
	sp := c.stats.summary(now, c.elapsed(now))
	l.Slowness, l.Anomaly, l.Samples, l.Failed = sp.slowness, sp.anomaly, sp.samples, sp.failed
	slowness := sp.slowness * sp.anomaly
	var work float64
	for _, r := range c.runs {
		left := time.Duration(float64(r.Expected) * slowness)
		if r.state != queued {
			// A run that is overdue is taken to need a third of its time yet.
			left = max(left-(now-r.startedAt), left/3)
		}
		work += float64(r.Needs.CPUMillis) * left.Seconds()
	}
	if c.target.Capacity.CPUMillis > 0 {
		l.Backlog = time.Duration(work / float64(c.target.Capacity.CPUMillis) * float64(time.Second))
	}
	return l
}

// elapsed returns the ratio of elapsed to expected time of each run.
func (c *Core) elapsed(now time.Duration) []float64 {
	var ratios []float64
	for _, r := range c.runs {
		if r.state == running && r.Expected > 0 {
			ratios = append(ratios, float64(now-r.startedAt)/float64(r.Expected))
		}
	}
	return ratios
}
