package dispatch

import (
	"maps"
	"time"
)

// cancelMemory is how long submissions of a cancelled job are refused: one that was sent
// before the cancellation may arrive after it. It is longer than callers try a job again.
const cancelMemory = time.Minute

// maxCancelled limits the memory for cancellations, which may name jobs that do not exist.
// It is far above those of a minute in a wave.
const maxCancelled = 500_000

// Cancel aborts a job at a caller's request and refuses later submissions of it. It reports
// whether the job was in progress here.
func (c *Core) Cancel(now time.Duration, id string) bool {
	if len(c.cancelled) < maxCancelled {
		c.cancelled[id] = now + cancelMemory
	}
	j := c.jobs[id]
	if j == nil {
		return false
	}
	c.abort(now, j, CauseCancelled)
	return true
}

// pruneCancelled forgets the cancellations that have expired.
func (c *Core) pruneCancelled(now time.Duration) {
	if now-c.prunedCancelledAt < cancelMemory/10 {
		return
	}
	c.prunedCancelledAt = now
	maps.DeleteFunc(c.cancelled, func(_ string, until time.Duration) bool { return now >= until })
}
