package runner

import (
	"time"

	"github.com/go-faster/errors"
)

// A job is answered as failed if enough targets have crashed under one of its tasks. For
// that, each run must have been on its target when the process ended. The target itself
// may end a run before: when the task is done, by a stop, or when the lease expires. While
// the target answers, the agent learns of it, since a poll is waiting for the next end.
// After a poll without an answer, ends may have gone unseen until the next complete list.

// clockError bounds by how much earlier than the agent the target may see the end of its
// lease: the age of the clock reading that the lease was computed from, and the drift of
// the clock.
const clockError = 100 * time.Millisecond

// exitTime is the time in which a process that ends closes its listener and all of its
// connections.
const exitTime = 100 * time.Millisecond

// EndsMissed records that the target may have ended runs without the agent's knowledge.
// It holds until the next complete list.
func (c *Core) EndsMissed() { c.endsMissed = true }

// crashSign returns the first sign of a crash that is noticed now.
func (c *Core) crashSign(now time.Duration) time.Duration {
	if c.silent {
		return c.silentSince
	}
	return now
}

// endsSeen reports whether the agent knows of all runs that the target has ended before
// the first sign of a crash, apart from stopped ones.
func (c *Core) endsSeen(now time.Duration) bool {
	sign := c.crashSign(now)
	return !c.endsMissed && sign+clockError < c.leaseLimit(sign)
}

// StopFailed records that a stop got no answer, and whether it was refused since the process
// of the target had ended.
func (c *Core) StopFailed(a Attempt, refused bool) {
	r := c.findRun(a)
	if r == nil {
		return
	}
	if refused {
		r.stopRefused = true
	} else {
		r.stopDelivered = true
	}
}

// mayBeStopped reports whether the target may have carried out a stop of the run before the
// first sign of a crash.
func (r *run) mayBeStopped(sign time.Duration) bool {
	switch {
	case r.state != stopping:
		return false
	case r.stopAcknowledged, r.stopDelivered:
		return true
	}
	return r.revokedAt < sign && !r.stopRefused
}

// checkFailedPoll records whether runs may have ended unseen during a poll that was sent at
// sentAt and has failed. They have not if its connection ended with the process: until then
// the poll was waiting. A process that took a connection long after the first sign of its
// end has lived on. The caller holds r.mu.
func (r *Runner) checkFailedPoll(now, sentAt time.Duration, err error) {
	switch {
	case errors.Is(err, ErrNotListening), errors.Is(err, ErrOtherIncarnation):
	case errors.Is(err, ErrConnectionLost) && sentAt <= r.core.crashSign(now)+exitTime:
	default:
		r.core.EndsMissed()
	}
}

// openPolls holds when the polls that have not returned were sent, by their number.
type openPolls struct {
	last   uint64
	sentAt map[uint64]time.Duration
}

func (p *openPolls) begin(now time.Duration) (number uint64) {
	p.last++
	p.sentAt[p.last] = now
	return p.last
}

func (p *openPolls) end(number uint64) { delete(p.sentAt, number) }

// anyBefore reports whether a poll that was sent before a time has not returned.
func (p *openPolls) anyBefore(at time.Duration) bool {
	for _, sentAt := range p.sentAt {
		if sentAt < at {
			return true
		}
	}
	return false
}

// checkOpenPolls is called when another call has shown that the process of the target has
// ended. A poll that was waiting before the first sign of that and has not returned may
// have lost the end of a run, or its answer is not yet processed. The caller holds r.mu.
func (r *Runner) checkOpenPolls(now time.Duration) {
	if r.openPolls.anyBefore(r.core.crashSign(now)) {
		r.core.EndsMissed()
	}
}
