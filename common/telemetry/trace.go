package telemetry

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter is the name of a span exporter.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// TraceConfig configures the exporter and the sampling of traces.
type TraceConfig struct {
	Exporter Exporter
	// Endpoint is the URL of an OTLP collector over HTTP, such as
	// http://10.0.0.9:4318/v1/traces.
	Endpoint string
	// Ratio is the share, from 0 to 1, of requests that are sampled if their caller
	// made no sampling decision.
	Ratio float64
	// Process and ID identify the process in its spans.
	Process, ID string
	// Out receives the spans of the stdout exporter.
	Out io.Writer
}

// NewTracer returns a tracer provider and a function that exports the remaining
// spans and shuts it down.
func NewTracer(ctx context.Context, c TraceConfig) (trace.TracerProvider, func(context.Context) error, error) {
	exporter, err := newExporter(ctx, c)
	if err != nil {
		return nil, nil, errors.Wrap(err, "trace exporter")
	}
	if exporter == nil {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	provider := NewTracerWith(c, exporter)
	return provider, provider.Shutdown, nil
}

// NewTracerWith returns a tracer provider that exports to the given exporter in
// batches.
func NewTracerWith(c TraceConfig, exporter sdktrace.SpanExporter) *sdktrace.TracerProvider {
	return newProvider(c, sdktrace.WithBatcher(exporter))
}

// NewSyncTracer returns a tracer provider that exports each span as soon as it
// ends. It is meant for in-memory exporters.
func NewSyncTracer(c TraceConfig, exporter sdktrace.SpanExporter) *sdktrace.TracerProvider {
	return newProvider(c, sdktrace.WithSyncer(exporter))
}

func newProvider(c TraceConfig, export sdktrace.TracerProviderOption) *sdktrace.TracerProvider {
	return sdktrace.NewTracerProvider(
		export,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "rhubarbsail-"+c.Process),
			attribute.String("service.instance.id", c.ID),
		)),
	)
}

func newExporter(ctx context.Context, c TraceConfig) (sdktrace.SpanExporter, error) {
	switch c.Exporter {
	case ExporterNone, "":
		return nil, nil
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(c.Out))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
	}
	return nil, errors.Errorf("unknown exporter %q", c.Exporter)
}

// Propagator injects and extracts the W3C trace context.
var Propagator = propagation.TraceContext{}

// Interceptor returns a connect interceptor that starts a span for each call as
// part of the caller's trace.
func Interceptor(p trace.TracerProvider) (connect.Interceptor, error) {
	i, err := otelconnect.NewInterceptor(
		otelconnect.WithTracerProvider(p),
		otelconnect.WithPropagator(Propagator),
		otelconnect.WithTrustRemote(),
		otelconnect.WithoutMetrics(),
	)
	if err != nil {
		return nil, errors.Wrap(err, "trace interceptor")
	}
	return i, nil
}

const traceparentKey = "traceparent"

// Traceparent returns the W3C traceparent of the span in ctx. It returns "" for a
// span that is not sampled, to keep frames small.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	Propagator.Inject(ctx, c)
	return c[traceparentKey]
}

// WithTraceparent returns ctx with the remote span of a frame's traceparent. It
// returns ctx unchanged if the value is empty or malformed.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return Propagator.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}
