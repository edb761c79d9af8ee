package telemetry

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
)

// Process holds the log, metrics and traces of one daemon.
type Process struct {
	Log     zerolog.Logger
	Metrics *Metrics
	Tracer  trace.TracerProvider
	stop    func(context.Context) error
}

// Outputs are the destinations of log lines and spans.
type Outputs struct {
	// Logs receives the log lines, Spans the spans of the stdout exporter.
	Logs, Spans io.Writer
	// Exporter, if set, replaces the exporter in the settings and receives every
	// span.
	Exporter sdktrace.SpanExporter
}

// Start sets up the log, metrics and traces of a daemon.
func Start(ctx context.Context, s settings.Telemetry, process, id string, out Outputs) (*Process, error) {
	log, err := events.NewLogger(out.Logs, s.LogLevel, process, id)
	if err != nil {
		return nil, err
	}
	c := TraceConfig{
		Exporter: Exporter(s.TraceExporter), Endpoint: s.TraceEndpointURL, Ratio: s.TraceRatio,
		Process: process, ID: id, Out: out.Spans,
	}
	if out.Exporter != nil {
		c.Ratio = 1
		p := NewSyncTracer(c, out.Exporter)
		return &Process{Log: log, Metrics: NewMetrics(process, id, log), Tracer: p, stop: p.Shutdown}, nil
	}
	tracer, stop, err := NewTracer(ctx, c)
	if err != nil {
		return nil, err
	}
	// The SDK reports failed exports only to this global handler.
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		events.TraceExportFailed.Log(log).Err(err).Send()
	}))
	return &Process{Log: log, Metrics: NewMetrics(process, id, log), Tracer: tracer, stop: stop}, nil
}

// Stop exports the remaining spans and metrics. It returns when ctx is done at the
// latest.
func (p *Process) Stop(ctx context.Context) error {
	err := p.stop(ctx)
	if err != nil {
		events.TraceExportFailed.Log(p.Log).Err(err).Send()
	}
	return errors.Join(err, p.Metrics.Close())
}
