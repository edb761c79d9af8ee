package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

// leaseDeadline returns the end of a new lease on the target's clock, or 0 for no
// renewal. The caller holds r.mu.
func (r *Runner) leaseDeadline() int64 {
	now := r.now()
	deadline, _ := r.grantLease(now, now+r.opts.Lease)
	return deadline
}

// grantLease extends the target's lease up to until, as far as the core allows it, and
// returns its end as a time of the target's clock, or false for no extension. The clock is
// known as of the end of an earlier call, so that the result may be too early by the
// duration of that call. The caller holds r.mu.
func (r *Runner) grantLease(now, until time.Duration) (int64, bool) {
	until, allowed := r.core.LimitLease(now, until)
	if !allowed || r.targetClock == 0 {
		return 0, false
	}
	r.leaseSentAt = now
	r.core.LeaseGranted(until)
	return r.targetClock + (until - r.clockReadAt).Milliseconds(), true
}

// isCurrent reports whether t is the present incarnation of the target. The caller
// holds r.mu.
func (r *Runner) isCurrent(t Target) bool {
	current, known := r.core.Target()
	return known && current.sameIncarnation(t)
}

// setTargetClock records a reading of the clock of t, unless it is 0 or t is an earlier
// incarnation, whose clock was another. The caller holds r.mu.
func (r *Runner) setTargetClock(t Target, clock int64) {
	if clock != 0 && r.isCurrent(t) {
		r.targetClock, r.clockReadAt = clock, r.now()
	}
}

// errStartExpired means that a start was not sent, since it was decided too long ago or
// contact to its target was lost in between.
var errStartExpired = errors.New("the start was not sent: its decision no longer holds")

// startDeadline returns the time on the target's clock until which a start to t may take
// effect, and false if it must not be sent any more. The deadline of a start is one of the
// target's lease too. The caller holds r.mu.
func (r *Runner) startDeadline(t Target, s Start) (int64, bool) {
	if _, pending := r.core.Candidate(); pending || !r.isCurrent(t) || !r.core.target.mayRun(s) {
		return 0, false
	}
	return r.grantLease(r.now(), s.ValidUntil)
}

// confirmedFor is the time after the request of a poll that the target has answered in
// which it is taken to run on. The answer itself may have waited while this process was
// suspended.
const confirmedFor = 2 * time.Millisecond

// confirmTarget asks the target for its incarnation before a start that requires a label,
// unless it has just answered. A target may be back under its id as another kind before a
// call without an answer or a heartbeat tells of it, and it takes a start that names its id.
func (r *Runner) confirmTarget(ctx context.Context, t Target, s Start) error {
	if s.RequiredLabel == "" {
		return nil
	}
	r.mu.Lock()
	confirmed := r.now()-r.lastPollRequest <= confirmedFor
	r.mu.Unlock()
	if confirmed {
		return nil
	}
	return r.poll(ctx, t, 0)
}

// startUnconfirmed handles a start that was not sent, since the target has not confirmed
// its incarnation.
func (r *Runner) startUnconfirmed(s Start, err error) {
	events.RunNotAccepted.Log(r.log).Stringer("task", s.Task).Int("attempt", s.Attempt).Int("result", int(StartUndelivered)).Err(err).Send()
	r.apply(func(c *Core, now time.Duration) {
		// Nothing starts until the target has listed its runs again.
		c.CallFailed(now)
		c.StartAnswered(now, Attempt{s.Task, s.Attempt}, StartUndelivered)
	})
}

// start sends a start, unless its decision no longer holds.
func (r *Runner) start(ctx context.Context, t Target, s Start) {
	if err := r.confirmTarget(ctx, t, s); err != nil {
		r.startUnconfirmed(s, err)
		return
	}
	sentAt := r.now()
	result, clock, err := StartUndelivered, int64(0), errStartExpired
	r.mu.Lock()
	token := r.token
	deadline, valid := r.startDeadline(t, s)
	r.mu.Unlock()
	if valid {
		call, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
		defer cancel()
		result, clock, err = r.client.Start(call, t, s, token, deadline)
	}
	a := Attempt{s.Task, s.Attempt}
	if result != StartAccepted {
		events.RunNotAccepted.Log(r.log).Stringer("task", s.Task).Int("attempt", s.Attempt).Int("result", int(result)).Err(err).Send()
	}
	r.apply(func(c *Core, now time.Duration) {
		if result == StartAccepted {
			// The call may have been held up, and the target counts from its arrival.
			r.leaseSentAt = now
		}
		r.setTargetClock(t, clock)
		r.raiseTokenIfFenced(token, err)
		c.StartAnswered(now, a, result)
		switch {
		case errors.Is(err, ErrNotListening):
			r.connectionRefused(now, t, sentAt, err)
		case result == StartUnanswered:
			c.CallFailed(now)
		}
	})
	if result == StartUnanswered {
		// The list tells whether the start has to be repeated. If this poll fails, the next
		// regular one shows the same.
		_ = r.poll(ctx, t, 0)
	}
}

// stop sends a stop. Without an answer it is repeated after StopInterval, while the
// first call may still be answered.
func (r *Runner) stop(ctx context.Context, t Target, a Attempt) {
	r.mu.Lock()
	token := r.token
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	repetition := time.AfterFunc(r.opts.StopInterval, func() {
		r.apply(func(c *Core, _ time.Duration) { c.StopFailed(a, false) })
		r.stopUnanswered(a)
	})
	clock, err := r.client.Stop(call, t, a, token)
	repeated := !repetition.Stop()
	if err != nil {
		r.apply(func(c *Core, _ time.Duration) {
			r.raiseTokenIfFenced(token, err)
			c.StopFailed(a, errors.Is(err, ErrNotListening))
		})
		if !repeated {
			wait.For(ctx, r.opts.RetryDelay)
			r.stopUnanswered(a)
		}
		return
	}
	r.apply(func(c *Core, now time.Duration) {
		r.setTargetClock(t, clock)
		c.StopAnswered(now, a, r.isCurrent(t))
	})
	// A waiting poll does not return for a stopped run that had not begun, so poll now.
	// If this poll fails, the next regular one shows the same.
	_ = r.poll(ctx, t, 0)
}

func (r *Runner) stopUnanswered(a Attempt) {
	r.apply(func(c *Core, now time.Duration) { c.StopAnswered(now, a, false) })
}

// fencingTokenStep is added to a fencing token that the target refuses. That
// happens if an earlier agent of this VM derived its token from a clock that was
// ahead of the present one.
const fencingTokenStep = 10_000

// raiseTokenIfFenced raises the fencing token if a call with the present one has failed
// with ErrFenced. A call with an earlier one may have been overtaken by later calls. The
// caller holds r.mu.
func (r *Runner) raiseTokenIfFenced(token int64, err error) {
	if token == r.token && errors.Is(err, ErrFenced) {
		r.token += fencingTokenStep
		events.FencingTokenRaised.Log(r.log).Int64("token", r.token).Send()
	}
}

// maxTokenRaise bounds how far the start of a target's process may raise the fencing token,
// in milliseconds: the target's clock may be wrong.
const maxTokenRaise = 24 * 60 * 60 * 1000

// fenceCallsBefore raises the fencing token to the time at which an incarnation of the target
// has started, before its list is applied. Calls of an earlier process of this agent may
// carry higher tokens than the present ones if the clock of the VM was set back since, but
// those that were sent before that start had earlier times. The caller holds r.mu.
func (r *Runner) fenceCallsBefore(incarnation int64) {
	if incarnation <= r.token || incarnation-r.token > maxTokenRaise {
		return
	}
	r.token = incarnation
	r.core.Resync(r.now())
	events.FencingTokenRaised.Log(r.log).Int64("token", r.token).Send()
}

// fenceEarlierCalls makes the target refuse the calls that were sent before, from the
// next call on. Some of them may be executed seconds late, by an incarnation that
// started meanwhile under the same ID and on whose clock their deadlines lie far ahead.
// The caller holds r.mu.
func (r *Runner) fenceEarlierCalls() { r.token++ }

func (r *Runner) poll(ctx context.Context, t Target, wait time.Duration) error {
	r.mu.Lock()
	q := PollRequest{Token: r.token, Deadline: r.leaseDeadline(), Wait: wait}
	if r.mayAcknowledge && r.now()-r.lastPollAnswer <= r.opts.PollWait {
		q.LastEndSeq = r.lastEndSeq
	}
	requestedAt := r.now()
	number := r.openPolls.begin(requestedAt)
	r.mu.Unlock()
	timeout := q.Wait + r.opts.CallTimeout
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := r.client.Poll(call, t, q)
	if err != nil {
		r.apply(func(_ *Core, now time.Duration) {
			r.openPolls.end(number)
			r.mayAcknowledge = false
			r.raiseTokenIfFenced(q.Token, err)
			r.checkFailedPoll(now, requestedAt, err)
			if errors.Is(err, ErrNotListening) {
				r.connectionRefused(now, t, requestedAt, err)
			}
		})
		return err
	}
	r.apply(func(c *Core, now time.Duration) {
		r.openPolls.end(number)
		if reply.Incarnation == c.target.Incarnation {
			r.fenceCallsBefore(reply.Incarnation)
		}
		applied := c.ApplySnapshot(now, reply.snapshot(requestedAt))
		if applied && now-requestedAt > timeout {
			// This process was suspended, and no poll was waiting since the target answered.
			c.EndsMissed()
		}
		if applied {
			r.setTargetClock(t, reply.Clock)
			r.lastPollAnswer, r.lastPollRequest, r.mayAcknowledge = now, requestedAt, true
			r.lastEndSeq = max(r.lastEndSeq, reply.LastEndSeq)
		} else {
			err = errors.Errorf("the poll was answered by another incarnation of the target: %d", reply.Incarnation)
			r.mayAcknowledge = false
			r.fenceEarlierCalls()
		}
	})
	return err
}

// pollFailed marks the target as unreachable if no poll has been answered for
// UnreachableAfter. A single failed poll may only have lost its answer.
func (r *Runner) pollFailed(err error) {
	select {
	case r.pollUnanswered <- struct{}{}:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.mayAcknowledge = false
	r.core.CallFailed(now)
	if now-r.lastPollAnswer >= r.opts.UnreachableAfter {
		r.loseContact(err, func(c *Core) { c.Unreachable(now, now-r.leaseSentAt > r.opts.LeaseMax) })
	}
	r.execute(r.core.Take())
}

// connectionRefused handles a call to target t, sent at sentAt, whose connection was
// refused. It says nothing of a target that has restarted or answered since. The
// caller holds r.mu and carries out the core's actions.
func (r *Runner) connectionRefused(now time.Duration, t Target, sentAt time.Duration, err error) {
	if !r.isCurrent(t) || r.lastPollAnswer > sentAt {
		return
	}
	r.checkOpenPolls(now)
	r.loseContact(err, func(c *Core) { c.TargetDown(now, sentAt) })
}

// loseContact calls change, which makes the target unreachable, and tells the
// gateways if it was reachable before. The caller holds r.mu.
func (r *Runner) loseContact(err error, change func(c *Core)) {
	wasReachable := r.core.reachable
	change(r.core)
	if wasReachable {
		r.fenceEarlierCalls()
		events.TargetUnanswering.Log(r.log).Err(err).Send()
		r.notifyLoadChanged()
	}
}
