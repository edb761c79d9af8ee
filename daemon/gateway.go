// Package daemon connects settings with the library: it opens listeners, logs,
// metrics and traces and runs a gateway or an agent until its context ends.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/gateway"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

// Env is the surroundings of a daemon.
type Env struct {
	// Log receives the log lines, Spans those of the stdout exporter.
	Log, Spans io.Writer
	// Exporter receives every span in place of the exporter in the settings.
	Exporter sdktrace.SpanExporter
	// Listen opens a listener; nil is net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

func (e Env) listen(address string) (net.Listener, error) {
	open := e.Listen
	if open == nil {
		open = net.Listen
	}
	l, err := open("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return l, nil
}

// Gateway runs a gateway until ctx ends and the planned stop is complete.
func Gateway(ctx context.Context, s *settings.Gateway, env Env) error {
	t, err := newTelemetry(ctx, "gateway", s.ID, s.Telemetry, env)
	if err != nil {
		return err
	}
	defer t.close()
	l, err := listenGateway(s, env)
	if err != nil {
		events.ListenFailed.Log(t.log).Err(err).Send()
		return err
	}
	service := platform.NewHTTP(s.PlatformLogURL, &http.Client{})
	g, err := gateway.New(gatewayOptions(s), gateway.Deps{
		Log: service, Lease: service, Logger: t.log, Scope: t.metrics.Scope, Tracer: t.tracer,
	})
	if err != nil {
		return err
	}
	return g.Serve(ctx, l, gateway.ServeOptions{
		Limits: gatewayLimits(s),
		Server: serverLimits(s.HTTP),
		Notice: s.Shutdown.Notice.Duration(),
		API:    httpapi.Options{Scope: t.metrics.Scope, Tracer: t.tracer, Log: t.log, Metrics: t.metrics.Handler},
	})
}

func gatewayOptions(s *settings.Gateway) gateway.Options {
	o := ownership.DefaultSettings()
	o.Validity = s.Timing.Validity.Duration()
	o.PermitLifetime = s.Timing.PermitLifetime.Duration()
	o.CallerSkew = s.Timing.CallerSkew.Duration()
	o.WallSkew = s.Timing.WallSkew.Duration()
	o.Retention = s.Timing.Retention.Duration()
	o.SuspectAfter = s.Probing.PingFailure.Duration()
	return gateway.Options{
		ID: s.ID, Address: s.Advertised(), AvailabilityZone: s.AvailabilityZone, Peers: s.Peers,
		Stream: s.ControlStream, Partitions: int(s.Partitions), Ownership: o,
		PingInterval:    s.Probing.PingInterval.Duration(),
		ProbeInterval:   s.Probing.ProbeInterval.Duration(),
		MaxAnswerBytes:  int(s.Limits.AnswerBytes),
		ShutdownTimeout: s.Shutdown.Notice.Duration() + s.Shutdown.Timeout.Duration(),
		LogRetention:    s.Log.Retention.Duration(),
	}
}

func gatewayLimits(s *settings.Gateway) httpapi.Limits {
	l := httpapi.DefaultLimits()
	l.TasksPerJob = int(s.Limits.TasksPerJob)
	l.BodyBytes, l.BodyBytesTotal = s.Limits.BodyBytes, s.Limits.BodyTotalBytes
	l.PayloadBytes = int(s.Limits.PayloadBytes)
	l.TimeoutMin, l.TimeoutMax = s.Limits.TimeoutMin.Duration(), s.Limits.TimeoutMax.Duration()
	l.TimeoutDefault = s.Limits.TimeoutDefault.Duration()
	l.SubmittedAhead = s.Timing.CallerSkew.Duration()
	l.Retention = s.Timing.Retention.Duration()
	return l
}

func serverLimits(h settings.HTTP) httpapi.ServerLimits {
	return httpapi.ServerLimits{
		HeaderBytes:   int(h.HeaderBytes),
		HeaderTimeout: h.HeaderTimeout.Duration(),
		ReadTimeout:   h.ReadTimeout.Duration(),
		WriteTimeout:  h.WriteTimeout.Duration(),
		IdleTimeout:   h.IdleTimeout.Duration(),
		Connections:   int(h.Connections),
	}
}

func listenGateway(s *settings.Gateway, env Env) (gateway.Listeners, error) {
	var l gateway.Listeners
	for _, a := range []struct {
		to      *net.Listener
		address string
	}{{&l.Callers, s.CallersAddress}, {&l.Operators, s.OperatorsAddress}, {&l.Internal, s.InternalAddress}} {
		opened, err := env.listen(a.address)
		if err != nil {
			return l, err
		}
		*a.to = opened
	}
	return l, nil
}

// flushTimeout bounds the export of the last spans.
const flushTimeout = 2 * time.Second

// processTelemetry is the log, metrics and traces of one process.
type processTelemetry struct {
	log     zerolog.Logger
	metrics *telemetry.Metrics
	tracer  trace.TracerProvider
	flush   func(context.Context) error
}

func newTelemetry(ctx context.Context, process, id string, s settings.Telemetry, env Env) (*processTelemetry, error) {
	log, err := events.NewLogger(env.Log, s.LogLevel, process, id)
	if err != nil {
		return nil, err
	}
	tracer, flush, err := newTracer(ctx, process, id, s, env)
	if err != nil {
		return nil, err
	}
	return &processTelemetry{log: log, metrics: telemetry.NewMetrics(process, id, log), tracer: tracer, flush: flush}, nil
}

func newTracer(ctx context.Context, process, id string, s settings.Telemetry, env Env) (trace.TracerProvider, func(context.Context) error, error) {
	c := telemetry.TraceConfig{
		Exporter: telemetry.Exporter(s.TraceExporter), Endpoint: s.TraceEndpointURL, Ratio: s.TraceRatio,
		Process: process, ID: id, Out: env.Spans,
	}
	if env.Exporter == nil {
		return telemetry.NewTracer(ctx, c)
	}
	c.Ratio = 1
	p := telemetry.NewSyncTracer(c, env.Exporter)
	return p, p.Shutdown, nil
}

func (t *processTelemetry) close() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := t.flush(ctx); err != nil {
		events.TraceExportFailed.Log(t.log).Err(err).Send()
	}
	_ = t.metrics.Close()
}
