package telemetry

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
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

// Start returns the telemetry of a daemon. Log lines go to logs, spans of the
// stdout exporter to spans.
func Start(ctx context.Context, s settings.Telemetry, process, id string, logs, spans io.Writer) (*Process, error) {
	log, err := events.NewLogger(logs, s.LogLevel, process, id)
	if err != nil {
		return nil, err
	}
	tracer, stop, err := NewTracer(ctx, TraceConfig{
		Exporter: Exporter(s.TraceExporter), Endpoint: s.TraceEndpointURL, Ratio: s.TraceRatio,
		Process: process, ID: id, Out: spans,
	})
	if err != nil {
		return nil, err
	}
	// The SDK reports failed exports only to this process-wide handler.
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		events.TraceExportFailed.Log(log).Err(err).Send()
	}))
	return &Process{Log: log, Metrics: NewMetrics(process, id, log), Tracer: tracer, stop: stop}, nil
}

// Stop exports what is left. It returns at the latest when ctx ends.
func (p *Process) Stop(ctx context.Context) error {
	err := p.stop(ctx)
	if err != nil {
		events.TraceExportFailed.Log(p.Log).Err(err).Send()
	}
	return errors.Join(err, p.Metrics.Close())
}
