package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

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
		c.StartAnswered(now, a, result)
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
	q := PollRequest{Token: r.token, Deadline: r.deadline(), LastEndSeq: r.lastEnd, Wait: wait}
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, q.Wait+r.opts.CallTimeout)
	defer cancel()
	began := r.now()
	reply, err := r.client.Poll(call, t, q)
	if err != nil {
		r.mu.Lock()
		r.raiseToken(err)
		r.mu.Unlock()
		return err
	}
	r.do(func(c *Core, now time.Duration) {
		known := c.ApplySnapshot(now, Snapshot{RequestedAt: began, Incarnation: reply.Incarnation, Running: reply.Running, Ended: reply.Ended})
		if known {
			r.readClock(reply.Clock)
			r.answeredAt = now
			r.lastEnd = max(r.lastEnd, reply.LastEndSeq)
		} else {
			err = errors.Errorf("the target answers as born at %d", reply.Incarnation)
		}
	})
	return err
}

// lookFailed counts the target as unreachable if no look has been answered for
// a while. A single one may have lost its answer.
func (r *Runner) lookFailed(err error) {
	select {
	case r.silent <- struct{}{}:
	default:
	}
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
