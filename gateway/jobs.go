package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/state"
)

var _ httpapi.Jobs = (*Gateway)(nil)

// Submit implements httpapi.Jobs.
func (g *Gateway) Submit(ctx context.Context, j model.Job) model.Answer {
	if refused, ok := checkSubmissionTime(time.Now(), g.opts.Ownership, &j); ok {
		return refused
	}
	ctx, span := g.engine.tracer.Start(ctx, "route")
	defer span.End()
	return g.router.route(ctx, &j)
}

// Cancel implements httpapi.Jobs.
func (g *Gateway) Cancel(ctx context.Context, key model.JobKey) (bool, error) {
	return callOwner(ctx, g.router, key,
		func(ctx context.Context) (bool, error) {
			return callEngine(ctx, g.engine, func(e *engine, now time.Time) bool { return e.cancelJob(now, key) })
		},
		func(ctx context.Context, to state.Gateway) (bool, bool, error) {
			resp, err := g.peers.Client(to.Address).Cancel(ctx, connect.NewRequest(&rhubarbsailv1.CancelRequest{Client: key.Client, Key: key.Key}))
			if err != nil {
				return false, false, err
			}
			return resp.Msg.Known, resp.Msg.Moved, nil
		})
}

// Lookup implements httpapi.Jobs.
func (g *Gateway) Lookup(ctx context.Context, key model.JobKey) (httpapi.JobView, bool, error) {
	resp, err := callOwner(ctx, g.router, key,
		func(ctx context.Context) (*rhubarbsailv1.LookupResponse, error) {
			return callEngine(ctx, g.engine, func(e *engine, _ time.Time) *rhubarbsailv1.LookupResponse { return e.lookup(key) })
		},
		func(ctx context.Context, to state.Gateway) (*rhubarbsailv1.LookupResponse, bool, error) {
			resp, err := g.peers.Client(to.Address).Lookup(ctx, connect.NewRequest(&rhubarbsailv1.LookupRequest{Client: key.Client, Key: key.Key}))
			if err != nil {
				return nil, false, err
			}
			return resp.Msg, resp.Msg.Moved, nil
		})
	if err != nil || !resp.Known {
		return httpapi.JobView{}, false, err
	}
	return jobView(resp), true, nil
}

// jobView converts the owner's description of a job to that of the API.
func jobView(r *rhubarbsailv1.LookupResponse) httpapi.JobView {
	out := httpapi.JobView{
		State: httpapi.JobQueued, Service: r.Service,
		SubmittedAt: time.Unix(0, r.SubmittedUnixNanos), Deadline: time.Unix(0, r.DeadlineUnixNanos),
		Tasks: int(r.Tasks), Started: int(r.Started), Finished: int(r.Finished),
	}
	if r.Started > 0 {
		out.State = httpapi.JobRunning
	}
	if r.Answer != nil {
		a := wire.AnswerFromProto(r.Answer)
		out.State, out.Answer = httpapi.JobFinished, &a
	}
	return out
}

// Explain implements httpapi.Jobs.
func (g *Gateway) Explain(ctx context.Context, key model.JobKey) (httpapi.Explanation, bool, error) {
	resp, err := callOwner(ctx, g.router, key,
		func(ctx context.Context) (*rhubarbsailv1.ExplainResponse, error) {
			return callEngine(ctx, g.engine, func(e *engine, _ time.Time) *rhubarbsailv1.ExplainResponse { return e.explain(key) })
		},
		func(ctx context.Context, to state.Gateway) (*rhubarbsailv1.ExplainResponse, bool, error) {
			resp, err := g.peers.Client(to.Address).Explain(ctx, connect.NewRequest(&rhubarbsailv1.ExplainRequest{Client: key.Client, Key: key.Key}))
			if err != nil {
				return nil, false, err
			}
			return resp.Msg, resp.Msg.Moved, nil
		})
	if err != nil || !resp.Known {
		return httpapi.Explanation{}, false, err
	}
	return explanation(resp), true, nil
}

// explanation converts the owner's decision trace to that of the API.
func explanation(r *rhubarbsailv1.ExplainResponse) httpapi.Explanation {
	out := httpapi.Explanation{
		Owner: r.Owner, Partition: model.Partition(r.Partition), Epoch: model.Epoch(r.Epoch), TraceID: r.TraceId,
		Steps: make([]httpapi.Step, len(r.Steps)),
	}
	for i, s := range r.Steps {
		out.Steps[i] = httpapi.Step{At: time.Unix(0, s.UnixNanos), Kind: s.Kind, Task: int(s.Task), Target: s.Target, Detail: s.Detail}
	}
	return out
}

// lookup describes the progress or the answer of a job.
func (e *engine) lookup(key model.JobKey) *rhubarbsailv1.LookupResponse {
	j := e.jobs[key]
	if j == nil {
		return &rhubarbsailv1.LookupResponse{Moved: e.notOwned(key)}
	}
	out := &rhubarbsailv1.LookupResponse{
		Known: true, Service: j.service, SubmittedUnixNanos: j.submittedAt.UnixNano(),
		DeadlineUnixNanos: j.deadline.UnixNano(), Tasks: uint32(j.taskCount),
	}
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			out.Started++
		}
		if j.tasks[i].phase > taskSent {
			out.Finished++
		}
	}
	if j.answered() {
		out.Answer = wire.AnswerToProto(*j.answer)
		if j.answer.State == model.RunComplete {
			out.Started, out.Finished = out.Tasks, out.Tasks
		}
	}
	return out
}

// explain returns the decision trace of a job.
func (e *engine) explain(key model.JobKey) *rhubarbsailv1.ExplainResponse {
	j := e.jobs[key]
	if j == nil {
		return &rhubarbsailv1.ExplainResponse{Moved: e.notOwned(key)}
	}
	out := &rhubarbsailv1.ExplainResponse{
		Known: true, Owner: e.opts.ID, Partition: uint32(j.partition),
		Epoch: uint64(e.partitions[j.partition].epoch), TraceId: j.traceID,
	}
	for _, s := range j.trace.steps {
		out.Steps = append(out.Steps, &rhubarbsailv1.ExplainStep{
			UnixNanos: s.at.UnixNano(), Kind: s.kind, Task: int32(s.task), Target: s.target, Detail: s.detail,
		})
	}
	return out
}

// notOwned reports whether this gateway does not own the key's partition.
func (e *engine) notOwned(key model.JobKey) bool {
	p := e.partitions[model.PartitionOf(key, len(e.partitions))]
	return p.epoch == 0
}
