package httpapi

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
)

// Options holds the optional dependencies of the handlers. The zero value uses
// the system clock, no metrics, no traces and no log.
type Options struct {
	// Now is the wall clock.
	Now func() time.Time
	// Scope receives the metrics of the handlers.
	Scope tally.Scope
	// Tracer starts one span for each request. The span continues the trace of the
	// request's traceparent header.
	Tracer trace.TracerProvider
	// Log receives events about operators' changes, overload, failed jobs and
	// internal errors of the handlers.
	Log zerolog.Logger
	// Metrics serves /metrics on the operators' API; if it is nil, there is no such
	// route. A telemetry.Handler also gets the gauges of the status.
	Metrics http.Handler
}
