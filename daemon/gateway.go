// Package daemon wires settings to the gateway and agent packages: it opens
// listeners, sets up logs, metrics and traces, and runs a gateway or an agent
// until its context is done.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/gateway"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/logservice"
	"github.com/rhubarbsail/rhubarbsail/ownership"
)

// Env holds the outputs and listeners that a daemon uses, so that tests and
// in-process deployments can replace them.
type Env struct {
	telemetry.Outputs
	// Listen opens a listener. If nil, net.Listen is used.
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

// Gateway runs a gateway until ctx is done and the graceful shutdown is complete.
func Gateway(ctx context.Context, s *settings.Gateway, env Env) error {
	t, err := telemetry.Start(ctx, s.Telemetry, "gateway", s.ID, env.Outputs)
	if err != nil {
		return err
	}
	defer stopTelemetry(t)
	l, err := listenGateway(s, env)
	if err != nil {
		events.ListenFailed.Log(t.Log).Err(err).Send()
		return err
	}
	g, err := gateway.New(gatewayOptions(s), gateway.Deps{
		Log: logservice.NewHTTP(s.PlatformLogURL, &http.Client{}), Lease: leaseService(s),
		Logger: t.Log, Scope: t.Metrics.Scope, Tracer: t.Tracer,
	})
	if err != nil {
		return err
	}
	return g.Serve(ctx, l, gateway.ServeOptions{
		Limits: httpapi.LimitsFromSettings(*s),
		Server: httpapi.ServerLimitsFromSettings(*s),
		Notice: s.Shutdown.Notice.Duration(),
		Budget: newBudget(s.HeldBytes(), t.Log, t.Metrics),
		API:    httpapi.Options{Scope: t.Metrics.Scope, Tracer: t.Tracer, Log: t.Log, Metrics: t.Metrics.Handler},
	})
}

// leaseService returns a client of the lease service, or nil if the settings
// name none.
func leaseService(s *settings.Gateway) logservice.Lease {
	if s.PlatformLeaseURL == "" {
		return nil
	}
	return logservice.NewHTTP(s.PlatformLeaseURL, &http.Client{})
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
		ZoneDelay:       time.Duration(s.Probing.ZoneDelay) * time.Microsecond,
		RemoveAfter:     s.Probing.RemoveAfter.Duration(),
		MaxJobs:         int(s.Limits.JobsMax),
		RetainedBytes:   int(s.Limits.RetainedBytes),
		MaxAnswerBytes:  int(s.Limits.AnswerBytes),
		AppendTimeout:   s.Log.AppendTimeout.Duration(),
		ShutdownTimeout: s.Shutdown.Notice.Duration() + s.Shutdown.Timeout.Duration(),
		LogRetention:    s.Log.Retention.Duration(),
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

// flushTimeout limits the export of the remaining spans at shutdown.
const flushTimeout = 2 * time.Second

// stopTelemetry exports the remaining spans and metrics. Process.Stop logs
// failures.
func stopTelemetry(t *telemetry.Process) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.Stop(ctx)
}
