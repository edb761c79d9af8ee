package gateway

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/gateway/wire"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
	"github.com/rhubarbsail/rhubarbsail/state"
)

const (
	// maxInternalMessageBytes bounds one message between gateways. The largest is a
	// job table with its retained answers.
	maxInternalMessageBytes = 256 << 20
	// announceTimeout bounds the append of an agent's announcement to the log.
	announceTimeout = 3 * time.Second
)

// service implements GatewayService, the calls of other gateways and of agents.
type service struct{ g *Gateway }

var _ rhubarbsailv1connect.GatewayServiceHandler = service{}

// InternalHandler returns the handler for calls of other gateways and of agents. Its
// server must support HTTP/2 without TLS.
func (g *Gateway) InternalHandler() (http.Handler, error) {
	interceptor, err := telemetry.Interceptor(g.deps.Tracer)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(rhubarbsailv1connect.NewGatewayServiceHandler(service{g},
		connect.WithReadMaxBytes(maxInternalMessageBytes), connect.WithInterceptors(interceptor),
		// Compression is disabled: within a cell it takes longer than sending the
		// bytes that it saves.
		connect.WithCompression("gzip", nil, nil)))
	return mux, nil
}

// Submit runs a job whose partition this gateway owns. Otherwise it replies moved.
func (s service) Submit(ctx context.Context, req *connect.Request[rhubarbsailv1.SubmitRequest]) (*connect.Response[rhubarbsailv1.SubmitResponse], error) {
	j := wire.JobFromProto(req.Msg)
	rep, err := s.g.router.submitLocally(ctx, submission{job: j, digest: j.Digest(), ctx: ctx})
	if err != nil {
		return nil, err
	}
	if rep.moved {
		return connect.NewResponse(&rhubarbsailv1.SubmitResponse{Moved: true}), nil
	}
	return connect.NewResponse(wire.AnswerToProto(rep.answer)), nil
}

// Cancel cancels a job that this gateway owns.
func (s service) Cancel(ctx context.Context, req *connect.Request[rhubarbsailv1.CancelRequest]) (*connect.Response[rhubarbsailv1.CancelResponse], error) {
	key := model.JobKey{Client: req.Msg.Client, Key: req.Msg.Key}
	resp, err := callEngine(ctx, s.g.engine, func(e *engine, now time.Time) *rhubarbsailv1.CancelResponse {
		known := e.cancelJob(now, key)
		return &rhubarbsailv1.CancelResponse{Known: known, Moved: !known && e.notOwned(key)}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Lookup describes a job that this gateway owns.
func (s service) Lookup(ctx context.Context, req *connect.Request[rhubarbsailv1.LookupRequest]) (*connect.Response[rhubarbsailv1.LookupResponse], error) {
	key := model.JobKey{Client: req.Msg.Client, Key: req.Msg.Key}
	resp, err := callEngine(ctx, s.g.engine, func(e *engine, _ time.Time) *rhubarbsailv1.LookupResponse { return e.lookup(key) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Explain returns the decision trace of a job that this gateway owns.
func (s service) Explain(ctx context.Context, req *connect.Request[rhubarbsailv1.ExplainRequest]) (*connect.Response[rhubarbsailv1.ExplainResponse], error) {
	key := model.JobKey{Client: req.Msg.Client, Key: req.Msg.Key}
	resp, err := callEngine(ctx, s.g.engine, func(e *engine, _ time.Time) *rhubarbsailv1.ExplainResponse { return e.explain(key) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Announce records in the log that an agent joined or is leaving.
func (s service) Announce(ctx context.Context, req *connect.Request[rhubarbsailv1.AnnounceRequest]) (*connect.Response[rhubarbsailv1.AnnounceResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m := req.Msg
	var err error
	if m.Leaving {
		err = s.g.control.AgentLeft(ctx, state.AgentLeft{ID: m.Agent, Incarnation: model.Incarnation(m.Incarnation)})
	} else {
		err = s.g.control.AgentJoined(ctx, state.Agent{
			ID: m.Agent, Incarnation: model.Incarnation(m.Incarnation), Address: m.Address,
			Worker: m.Worker, Rack: m.Rack, AvailabilityZone: m.AvailabilityZone,
			Target: m.Target, Service: m.Service, Slots: int(m.Slots), Connections: int(m.Connections),
		}, m.Verify)
	}
	var rejected *state.RejectedError
	if errors.As(err, &rejected) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil && ctx.Err() == nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&rhubarbsailv1.AnnounceResponse{Recorded: err == nil}), nil
}

// State returns this gateway's snapshot of the control state.
func (s service) State(_ context.Context, _ *connect.Request[rhubarbsailv1.StateRequest]) (*connect.Response[rhubarbsailv1.StateResponse], error) {
	v := s.g.control.Snapshot()
	b, err := v.Encode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&rhubarbsailv1.StateResponse{AppliedOffset: v.Applied, Snapshot: b}), nil
}

// Handover stores the job table of partitions that another gateway is handing over.
// It does not accept the table while this gateway is leaving.
func (s service) Handover(ctx context.Context, req *connect.Request[rhubarbsailv1.HandoverRequest]) (*connect.Response[rhubarbsailv1.HandoverResponse], error) {
	accepted, err := callEngine(ctx, s.g.engine, func(e *engine, _ time.Time) bool {
		if s.g.leaving.Load() {
			return false
		}
		return e.storeTable(req.Msg)
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rhubarbsailv1.HandoverResponse{Accepted: accepted}), nil
}

// Ping answers the health check of another gateway.
func (s service) Ping(_ context.Context, _ *connect.Request[rhubarbsailv1.PingRequest]) (*connect.Response[rhubarbsailv1.PingResponse], error) {
	return connect.NewResponse(&rhubarbsailv1.PingResponse{
		Gateway: s.g.opts.ID, Incarnation: uint64(s.g.opts.Incarnation),
		Leaving: s.g.leaving.Load(), AppliedOffset: s.g.control.Snapshot().Applied,
	}), nil
}
