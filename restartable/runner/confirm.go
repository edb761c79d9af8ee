package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

// confirmTimeout is how long a candidate may leave polls unanswered until it is
// dropped. It is longer than the interval of heartbeats, since a new process may send one
// before it serves calls.
const confirmTimeout = 2 * time.Second

// confirmCandidate polls the candidate until it has confirmed that it is the present
// incarnation of the target, or has been dropped. The target itself decides: it listens
// at one address, and a call that names another incarnation is refused.
func (r *Runner) confirmCandidate(ctx context.Context) {
	began := r.now()
	for pending := true; pending; {
		pending = r.pollCandidate(ctx, began)
	}
}

// pollCandidate polls the candidate once. It returns false once there is none any more.
func (r *Runner) pollCandidate(ctx context.Context, began time.Duration) bool {
	r.mu.Lock()
	t, pending := r.core.Candidate()
	if !pending || ctx.Err() != nil {
		r.confirming = false
		r.mu.Unlock()
		return false
	}
	r.fenceEarlierCalls()
	q := PollRequest{Token: r.token}
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	requestedAt := r.now()
	reply, err := r.client.Poll(call, t, q)
	r.apply(func(c *Core, now time.Duration) {
		r.raiseTokenIfFenced(q.Token, err)
		switch {
		case err == nil:
			r.candidateAnswered(now, t, requestedAt, reply)
		case errors.Is(err, ErrOtherIncarnation), now-began > confirmTimeout:
			events.TargetUnconfirmed.Log(r.log).Str("target", t.ID).Int64("born", t.Incarnation).Err(err).Send()
			c.DropCandidate(now, t)
		}
	})
	if err != nil {
		wait.For(ctx, r.opts.RetryDelay)
	}
	return true
}

// candidateAnswered applies the list that a candidate has answered with. The caller
// holds r.mu and carries out the core's actions.
func (r *Runner) candidateAnswered(now time.Duration, t Target, requestedAt time.Duration, reply PollReply) {
	r.checkOpenPolls(now)
	if reply.Incarnation == t.Incarnation {
		r.fenceCallsBefore(reply.Incarnation)
	}
	if !r.core.ConfirmCandidate(now, t, reply.snapshot(requestedAt)) {
		events.TargetUnconfirmed.Log(r.log).Str("target", t.ID).Int64("born", t.Incarnation).Int64("answered_by", reply.Incarnation).Send()
		return
	}
	r.targetChanged(now, t)
	r.setTargetClock(t, reply.Clock)
	r.lastEndSeq, r.mayAcknowledge = reply.LastEndSeq, true
	r.notifyLoadChanged()
}
