package runner

import (
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

func (c *Core) enqueue(now time.Duration, gateway string, s Start) {
	r := &run{Start: s, gateway: gateway, queuedAt: now, queueUntil: now + s.StartWithin, dueAt: now + s.DueWithin}
	c.runs[s.Task] = r
	c.waiting = c.waiting.Plus(s.Needs)
	at, _ := slices.BinarySearchFunc(c.queue, r, compareQueued)
	c.queue = slices.Insert(c.queue, at, r)
}

// compareQueued orders the queue by the time left until a task has to start.
// Tasks that are due at the same time go by priority, then by arrival.
func compareQueued(a, b *run) int {
	if a.dueAt != b.dueAt {
		return int(a.dueAt - b.dueAt)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	// An equal element stands before the one that is inserted.
	return -1
}

// pump starts what fits, in the order of the queue, and reports what has
// waited too long.
func (c *Core) pump(now time.Duration) {
	accepting, reason := c.Accepting()
	// finish removes from c.queue, hence the copy.
	for _, r := range slices.Clone(c.queue) {
		switch {
		case !accepting:
			c.finish(now, r, task.NotStarted, reason)
		case now > c.leases[r.gateway]:
			c.finish(now, r, task.NotStarted, task.ReasonGatewayLost)
		case now > r.queueUntil:
			c.finish(now, r, task.NotStarted, task.ReasonExpired)
		case c.fits(r):
			c.begin(now, r)
		}
	}
}

func (c *Core) fits(r *run) bool {
	if !c.surveyed || len(c.strangers) > 0 {
		return false
	}
	if r.MaxPerTarget > 0 && c.runsOfStep(r.Task.StepID) >= r.MaxPerTarget {
		return false
	}
	return c.used.Plus(r.Needs).Within(c.target.Capacity)
}

func (c *Core) runsOfStep(id task.StepID) int {
	n := 0
	for _, r := range c.runs {
		if r.Task.StepID == id && r.state != queued {
			n++
		}
	}
	return n
}

func (c *Core) begin(now time.Duration, r *run) {
	c.unqueue(r)
	r.state, r.startedAt, r.confirmedAt = starting, now, now
	c.used = c.used.Plus(r.Needs)
	c.out.Starts = append(c.out.Starts, r.Start)
}

func (c *Core) unqueue(r *run) {
	c.queue = slices.DeleteFunc(c.queue, func(q *run) bool { return q == r })
	c.waiting = c.waiting.Minus(r.Needs)
}
