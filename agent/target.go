package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

// Headers of a request to the target. Client and key are escaped like a URL path
// segment, because a key may contain characters that are not allowed in a header.
const (
	HeaderClient  = "Rhubarbsail-Client"
	HeaderKey     = "Rhubarbsail-Key"
	HeaderIndex   = "Rhubarbsail-Index"
	HeaderAttempt = "Rhubarbsail-Attempt"
)

// targetDialTimeout bounds the dialing of a target, which is at most one network
// hop away.
const targetDialTimeout = time.Second

// targetIdleTimeout is the time after which idle connections are closed. Common
// servers close them after 2 to 5 s, and a request sent at that moment fails
// without proof that the target did not run it.
const targetIdleTimeout = time.Second

// maxErrorBodyBytes bounds the part of an error response that is put into the outcome.
const maxErrorBodyBytes = 200

// newTargetTransport returns an HTTP/1.1 transport that uses no proxy.
func newTargetTransport(connections int) http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: targetDialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     targetIdleTimeout,
		DisableCompression:  true,
	}
}

// targetClient sends tasks to one announced target.
type targetClient struct {
	url    string
	http   *http.Client
	limit  int
	tracer trace.Tracer
}

func (a *Agent) newTargetClient(address string, connections int) *targetClient {
	return &targetClient{
		url: (&url.URL{Scheme: "http", Host: address, Path: "/v1/run"}).String(),
		http: &http.Client{
			Transport: a.deps.Transport(connections),
			Timeout:   a.opts.RunTimeout,
			// Following a redirect would send the task a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		limit:  a.opts.Ledger.ResultLimit,
		tracer: a.deps.Tracer,
	}
}

// run sends one task to the target. The outcome is NotStarted only if the request
// headers were never written to a connection.
func (c *targetClient) run(ctx context.Context, q *queuedTask) ledger.Outcome {
	ctx, span := c.startSpan(ctx, q.start)
	defer span.End()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	out := c.exchange(ctx, q, &written)
	if out.State != ledger.Succeeded {
		span.SetStatus(codes.Error, out.Error)
	}
	return out
}

// startSpan starts a span as a child of the gateway's dispatch span.
func (c *targetClient) startSpan(ctx context.Context, s *pb.Start) (context.Context, trace.Span) {
	if s.GetTraceparent() == "" {
		return ctx, trace.SpanFromContext(ctx)
	}
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": s.GetTraceparent()})
	return c.tracer.Start(ctx, "agent.run", trace.WithSpanKind(trace.SpanKindClient))
}

func (c *targetClient) exchange(ctx context.Context, q *queuedTask, written *atomic.Bool) ledger.Outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(q.start.GetPayload()))
	if err != nil {
		return ledger.Outcome{State: ledger.NotStarted, Reason: ledger.NoTarget, Error: err.Error()}
	}
	id := q.attempt.Task
	// http.Transport may retry a request that has an Idempotency-Key or
	// X-Idempotency-Key header, so none of these headers may have such a name.
	req.Header.Set(HeaderClient, url.PathEscape(id.Job.Client))
	req.Header.Set(HeaderKey, url.PathEscape(id.Job.Key))
	req.Header.Set(HeaderIndex, strconv.Itoa(id.Index))
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(q.attempt.Number), 10))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	if err != nil {
		return failedRequest(ctx, err, written.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.limit)+1))
	switch {
	case err != nil:
		return failedRequest(ctx, err, true)
	case resp.StatusCode != http.StatusOK:
		text := body[:min(len(body), maxErrorBodyBytes)]
		return ledger.Outcome{State: ledger.Failed, Error: fmt.Sprintf("target answered %d: %q", resp.StatusCode, text)}
	case len(body) > c.limit:
		return ledger.Outcome{State: ledger.Failed, Error: fmt.Sprintf("result of the target is larger than %d bytes", c.limit)}
	}
	return ledger.Outcome{State: ledger.Succeeded, Result: body}
}

// failedRequest returns the outcome of a request that got no complete response.
func failedRequest(ctx context.Context, err error, written bool) ledger.Outcome {
	reason := ledger.NoTarget
	if cause := context.Cause(ctx); cause != nil {
		err, reason = cause, ledger.Cancelled
	}
	if !written {
		return ledger.Outcome{State: ledger.NotStarted, Reason: reason, Error: err.Error()}
	}
	return ledger.Outcome{State: ledger.Failed, Error: "target gave no answer: " + err.Error()}
}
