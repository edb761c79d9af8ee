package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/agent"
	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

// Agent runs an agent until ctx ends and its running tasks are delivered.
func Agent(ctx context.Context, s *settings.Agent, out Output) error {
	t, err := newTelemetry(ctx, "agent", s.ID, s.Telemetry, out)
	if err != nil {
		return err
	}
	defer t.close()
	a, err := agent.New(agentOptions(s), agent.Dependencies{
		Lease:   platform.NewHTTP(s.PlatformLeaseURL, &http.Client{}),
		Log:     t.log,
		Tracer:  t.tracer.Tracer("github.com/rhubarbsail/rhubarbsail/agent"),
		Metrics: newAgentMetrics(t.metrics.Scope),
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.OperatorsAddress)
	if err != nil {
		events.ListenFailed.Log(t.log).Err(err).Send()
		return errors.Wrap(err, "listen")
	}
	var leaving atomic.Bool
	stopNotice := context.AfterFunc(ctx, func() { leaving.Store(true) })
	defer stopNotice()
	health := httpapi.NewServer(healthHandler(t.metrics.Handler, &leaving), httpapi.DefaultServerLimits())
	served := make(chan error, 1)
	go func() { served <- health.Serve(listener) }()
	events.ProcessStarted.Log(t.log).Str("id", s.ID).Str("link", s.LinkAddress).Send()
	err = a.Run(ctx)
	_ = health.Close()
	<-served
	events.ProcessStopped.Log(t.log).Send()
	return err
}

func agentOptions(s *settings.Agent) agent.Options {
	return agent.Options{
		Agent: s.ID, Listen: s.LinkAddress, Advertise: s.Advertised(), TargetListen: s.AnnounceAddress,
		Gateways: s.Gateways, Worker: s.Worker, Rack: s.Rack, AvailabilityZone: s.AvailabilityZone,
		Ledger: ledger.Options{
			PermitLifetime: s.Timing.PermitLifetime.Duration(),
			Retention:      s.Timing.Retention.Duration(),
			MaxEntries:     int(s.Ledger.EntriesMax),
			MaxBytes:       s.Ledger.BytesMax,
			ResultLimit:    int(s.Ledger.ResultBytes),
		},
		QueueLimit:      int(s.Target.QueueTasks),
		LeaseTTL:        s.Lease.TTL.Duration(),
		HeartbeatExpiry: s.Target.HeartbeatTimeout.Duration(),
		StopTimeout:     s.Shutdown.Timeout.Duration(),
	}
}

// healthHandler serves metrics and health of a process without an operators'
// API of its own.
func healthHandler(metrics http.Handler, leaving *atomic.Bool) http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/live", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/ready", func(c echo.Context) error {
		if leaving.Load() {
			return c.String(http.StatusServiceUnavailable, "the agent is leaving")
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}
