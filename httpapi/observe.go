package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

// withDefaults returns the options with defaults for unset dependencies.
func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider()
	}
	return o
}

// unmatchedRoute is the route label of requests that match no route. Their paths
// are not used as labels, since callers choose them without bound.
const unmatchedRoute = "unmatched"

// observe returns middleware that traces each request and records its metrics.
func observe(o Options, api string) echo.MiddlewareFunc {
	tracer := o.Tracer.Tracer("github.com/rhubarbsail/rhubarbsail/httpapi")
	inProgress := telemetry.HTTPInProgress.Gauge(o.Scope, api)
	var requests atomic.Int64
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			start := o.Now()
			inProgress.Update(float64(requests.Add(1)))
			defer func() { inProgress.Update(float64(requests.Add(-1))) }()
			route := routeLabel(c)
			r := c.Request()
			ctx := telemetry.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
			ctx, span := tracer.Start(ctx, api+" "+route, trace.WithSpanKind(trace.SpanKindServer))
			defer span.End()
			c.SetRequest(r.WithContext(ctx))
			if err := next(c); err != nil {
				// The error handler writes the response and with it the status below.
				c.Error(err)
			}
			code := c.Response().Status
			span.SetAttributes(attribute.Int("http.response.status_code", code))
			if code >= 500 {
				span.SetStatus(codes.Error, "")
			}
			telemetry.HTTPRequests.Counter(o.Scope, api, route, strconv.Itoa(code)).Inc(1)
			telemetry.Observe(telemetry.HTTPDuration.Histogram(o.Scope, api, route), o.Now().Sub(start))
			return nil
		}
	}
}

// routeLabel returns the method and route of a request, as in "GET /v1/status".
func routeLabel(c echo.Context) string {
	switch m := c.Request().Method; m {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodHead:
		if p := c.Path(); strings.HasPrefix(p, "/v1/") || operationalPaths[p] {
			return m + " " + p
		}
	}
	return unmatchedRoute
}

var operationalPaths = map[string]bool{"/live": true, "/ready": true, "/metrics": true}

func logInternalError(o Options, c echo.Context, err error) {
	e := events.RequestFault.Log(o.Log).Err(err).Str("route", routeLabel(c))
	var p *panicError
	if errors.As(err, &p) {
		e = e.Bytes("stack", p.stack)
	}
	e.Send()
}
