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
	// routeRetryMin and routeRetryMax bound the wait before a submission is
	// sent again when the owner did not take it and the log shows no other.
	routeRetryMin = 20 * time.Millisecond
	routeRetryMax = 500 * time.Millisecond
	// answerGrace is how long a handler waits past the deadline for the
	// owner's own answer, which knows what ran: a network round trip.
	answerGrace = 250 * time.Millisecond
	// tableFullRetry is the time after which a job is worth another attempt
	// when the job table is full; entries leave it all the time.
	tableFullRetry = time.Second
)

// router takes a submission to the owner of its partition and repeats that when
// the owner changes. The handler of the caller's request runs it, so that the
// request survives the owner.
type router struct {
	opts   Options
	view   viewSource
	engine *engine
	peers  *peers.Clients
}

// viewSource gives the control snapshot and tells of its changes.
type viewSource interface {
	Snapshot() *state.Snapshot
	Subscribe() (<-chan struct{}, func())
	// Ready is closed once the state was read to the end of the log.
	Ready() <-chan struct{}
}

var errNotReady = errors.New("the control state has not been read yet")

// route returns the job's answer. It ends at the job's deadline.
func (r *router) route(ctx context.Context, j *model.Job) model.Answer {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline.Add(answerGrace))
	defer cancel()
	select {
	case <-r.view.Ready():
	case <-ctx.Done():
		// The state may be older than a configuration that is in force.
		return r.undecided(ctx, errNotReady)
	}
	changed, unsubscribe := r.view.Subscribe()
	defer unsubscribe()
	s := submission{job: j, digest: j.Digest(), ctx: ctx}
	p := model.PartitionOf(j.Key, r.opts.Partitions)
	var copies ownership.Submission
	wait := routeRetryMin
	for {
		rep, err := r.ask(ctx, p, s, &copies)
		if err == nil && !rep.moved {
			return checkNotRun(rep.answer, &copies)
		}
		select {
		case <-ctx.Done():
			return r.undecided(ctx, err)
		case <-changed:
			wait = routeRetryMin
		case <-time.After(wait):
			wait = min(2*wait, routeRetryMax)
		}
	}
}

// checkNotRun passes not_run on only if no other copy of the request can still
// reach an owner.
func checkNotRun(a model.Answer, copies *ownership.Submission) model.Answer {
	if a.State == model.RunNotRun && !copies.MayAnswerNotRun() {
		a.State = model.RunMayHaveRun
	}
	return a
}

// undecided is the answer when no owner gave one in time. The key may have run
// through an earlier submission, so it cannot be not_run.
func (r *router) undecided(ctx context.Context, cause error) model.Answer {
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

// ask submits to the owner that the log shows now.
func (r *router) ask(ctx context.Context, p model.Partition, s submission, copies *ownership.Submission) (reply, error) {
	v := r.view.Snapshot()
	o, ok := v.Owners[p]
	if !ok {
		return reply{moved: true}, nil
	}
	copies.Sent()
	if o.Gateway == r.opts.ID && o.Incarnation == r.opts.Incarnation {
		rep, err := r.askSelf(ctx, s)
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

// askSelf submits to this gateway's engine.
func (r *router) askSelf(ctx context.Context, s submission) (reply, error) {
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

// neverSent reports whether the request certainly did not leave this process.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// forOwner runs call at the owner of the key: local for this gateway, remote
// for another. It follows one change of owner.
func forOwner[T any](ctx context.Context, r *router, key model.JobKey,
	local func(ctx context.Context) (T, error),
	remote func(ctx context.Context, g state.Gateway) (T, bool, error),
) (T, error) {
	var zero T
	p := model.PartitionOf(key, r.opts.Partitions)
	wait := routeRetryMin
	for {
		v := r.view.Snapshot()
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

// call runs fn on the engine and returns its result.
func call[T any](ctx context.Context, e *engine, fn func(e *engine, now time.Time) T) (T, error) {
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
