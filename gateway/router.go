package gateway

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/peers"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// routeRetryMin and routeRetryMax bound the backoff between attempts to reach
	// the owner of a partition while the log shows no other owner.
	routeRetryMin = 20 * time.Millisecond
	routeRetryMax = 500 * time.Millisecond
	// answerGrace is the time past the deadline for which a handler waits for the
	// owner's answer, which states what ran. It covers a network round trip.
	answerGrace = 250 * time.Millisecond
	// tableFullRetry is the retry-after time for a job that was refused because the
	// job table is full or the gateway is shutting down. Entries leave a full table
	// all the time.
	tableFullRetry = time.Second
)

// router sends a submission to the owner of its partition and repeats that when the
// owner changes. It runs in the gateway that received the caller's request, so that
// the request survives the failure of the owner.
type router struct {
	opts      Options
	snapshots snapshotSource
	engine    *engine
	peers     *peers.Clients
}

// snapshotSource provides snapshots of the control state and notifies of changes.
type snapshotSource interface {
	Snapshot() *state.Snapshot
	Subscribe() (<-chan struct{}, func())
	// Ready returns a channel that is closed once the log has been read to its end.
	Ready() <-chan struct{}
}

var errNotReady = errors.New("the control state has not been read yet")

// route returns the job's answer. It returns by answerGrace after the deadline.
func (r *router) route(ctx context.Context, j *model.Job) model.Answer {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline.Add(answerGrace))
	defer cancel()
	select {
	case <-r.snapshots.Ready():
	case <-ctx.Done():
		// The state read so far may be older than the configuration in force.
		return r.noAnswer(ctx, errNotReady)
	}
	changed, unsubscribe := r.snapshots.Subscribe()
	defer unsubscribe()
	s := submission{job: j, digest: j.Digest(), ctx: ctx}
	p := model.PartitionOf(j.Key, r.opts.Partitions)
	var copies ownership.Submission
	wait := routeRetryMin
	for {
		rep, err := r.submitToOwner(ctx, p, s, &copies)
		if err == nil && !rep.moved {
			return checkNotRun(rep.answer, &copies)
		}
		select {
		case <-ctx.Done():
			return r.noAnswer(ctx, err)
		case <-changed:
			wait = routeRetryMin
		case <-time.After(wait):
			wait = min(2*wait, routeRetryMax)
		}
	}
}

// checkNotRun turns not_run into may_have_run if another copy of the request may
// still reach an owner and run the job.
func checkNotRun(a model.Answer, copies *ownership.Submission) model.Answer {
	if a.State == model.RunNotRun && !copies.MayAnswerNotRun() {
		a.State = model.RunMayHaveRun
	}
	return a
}

// noAnswer returns the answer for a submission that no owner answered in time. The
// job may have run after an earlier submission, so the state cannot be not_run.
func (r *router) noAnswer(ctx context.Context, cause error) model.Answer {
	reason, msg := model.ReasonNoOwner, "no gateway that owns the key answered in time; submit the same key again"
	if errors.Is(ctx.Err(), context.Canceled) {
		reason, msg = model.ReasonDeadline, "the caller went away before the answer"
	}
	if cause != nil {
		msg += ": " + cause.Error()
	}
	a := model.Failed(model.RunMayHaveRun, reason, msg)
	a.RetryAfter = r.opts.Ownership.SuspectAfter
	return a
}

// submitToOwner submits to the owner in the current snapshot and tracks in copies
// whether that copy of the request may still run.
func (r *router) submitToOwner(ctx context.Context, p model.Partition, s submission, copies *ownership.Submission) (reply, error) {
	v := r.snapshots.Snapshot()
	o, ok := v.Owners[p]
	if !ok {
		return reply{moved: true}, nil
	}
	copies.Sent()
	if o.Gateway == r.opts.ID && o.Incarnation == r.opts.Incarnation {
		rep, err := r.submitLocally(ctx, s)
		if err == nil {
			copies.Closed()
		}
		return rep, err
	}
	g, ok := v.Member(o.Gateway, o.Incarnation)
	if !ok {
		copies.Closed()
		return reply{moved: true}, nil
	}
	resp, err := r.peers.Client(g.Address).Submit(ctx, connect.NewRequest(wire.JobToProto(s.job)))
	if err == nil || neverSent(err) {
		copies.Closed()
	}
	if err != nil {
		return reply{}, errors.Wrapf(err, "submit to gateway %s", g.ID)
	}
	return reply{moved: resp.Msg.Moved, answer: wire.AnswerFromProto(resp.Msg)}, nil
}

// submitLocally submits to the engine of this gateway.
func (r *router) submitLocally(ctx context.Context, s submission) (reply, error) {
	to := make(chan reply, 1)
	if err := r.engine.post(ctx, func(e *engine, now time.Time) { e.submit(now, s, to) }); err != nil {
		return reply{}, err
	}
	select {
	case rep := <-to:
		return rep, nil
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

// neverSent reports whether the request failed while connecting, so that it cannot
// have reached the owner.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callOwner calls local if this gateway owns the key, and remote with the owner
// otherwise. It retries with backoff while there is no owner, and when remote reports
// that the partition has moved.
func callOwner[T any](ctx context.Context, r *router, key model.JobKey,
	local func(ctx context.Context) (T, error),
	remote func(ctx context.Context, g state.Gateway) (T, bool, error),
) (T, error) {
	var zero T
	p := model.PartitionOf(key, r.opts.Partitions)
	wait := routeRetryMin
	for {
		v := r.snapshots.Snapshot()
		o, ok := v.Owners[p]
		if ok && o.Gateway == r.opts.ID && o.Incarnation == r.opts.Incarnation {
			return local(ctx)
		}
		if g, member := v.Member(o.Gateway, o.Incarnation); ok && member {
			out, moved, err := remote(ctx, g)
			if err != nil || !moved {
				return out, err
			}
		}
		select {
		case <-ctx.Done():
			return zero, errors.Wrap(ctx.Err(), "no owner answered")
		case <-time.After(wait):
			wait = min(2*wait, routeRetryMax)
		}
	}
}

// callEngine runs fn on the engine goroutine and returns its result.
func callEngine[T any](ctx context.Context, e *engine, fn func(e *engine, now time.Time) T) (T, error) {
	out := make(chan T, 1)
	var zero T
	if err := e.post(ctx, func(e *engine, now time.Time) { out <- fn(e, now) }); err != nil {
		return zero, err
	}
	select {
	case v := <-out:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
