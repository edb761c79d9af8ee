package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/agent"
	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/httplimit"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/logservice"
)

// Agent runs an agent until ctx is done and the results of its running tasks
// have been delivered.
func Agent(ctx context.Context, s *settings.Agent, env Env) error {
	t, err := telemetry.Start(ctx, s.Telemetry, "agent", s.ID, env.Outputs)
	if err != nil {
		return err
	}
	defer stopTelemetry(t)
	l, err := listenAgent(s, env)
	if err != nil {
		events.ListenFailed.Log(t.Log).Err(err).Send()
		return err
	}
	budget := newBudget(s.Clients.HeldBytes, t.Log, t.Metrics)
	a, err := agent.New(agentOptions(s), agent.Dependencies{
		Lease:          logservice.NewHTTP(s.PlatformLeaseURL, &http.Client{}),
		Log:            t.Log,
		Tracer:         t.Tracer.Tracer("github.com/rhubarbsail/rhubarbsail/agent"),
		Metrics:        newAgentMetrics(t.Metrics.Scope),
		LinkListener:   l.link,
		TargetListener: l.target,
		LimitRequests: func(name string, server *http.Server, listener net.Listener) net.Listener {
			return httplimit.Apply(server, listener, httplimit.Options{Group: budget.NewGroup(name, int(s.Clients.Connections))})
		},
	})
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	cancelNotify := context.AfterFunc(ctx, func() { stopping.Store(true) })
	defer cancelNotify()
	limits := httpapi.DefaultServerLimits()
	limits.Connections = int(s.Clients.Connections)
	health := httpapi.NewServer("operators", healthHandler(t.Metrics.Handler, &stopping), limits, budget)
	served := make(chan error, 1)
	go func() { served <- health.Serve(l.operators) }()
	events.ProcessStarted.Log(t.Log).Str("id", s.ID).Str("link", s.LinkAddress).Send()
	err = a.Run(ctx)
	_ = health.Close()
	<-served
	events.ProcessStopped.Log(t.Log).Send()
	return err
}

type agentListeners struct{ link, target, operators net.Listener }

func listenAgent(s *settings.Agent, env Env) (l agentListeners, err error) {
	if l.link, err = env.listen(s.LinkAddress); err != nil {
		return l, err
	}
	if l.target, err = env.listen(s.AnnounceAddress); err != nil {
		return l, err
	}
	l.operators, err = env.listen(s.OperatorsAddress)
	return l, err
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
		LeaseRenew:      s.Lease.Renew.Duration(),
		HeartbeatExpiry: s.Target.HeartbeatTimeout.Duration(),
		StopTimeout:     s.Shutdown.Timeout.Duration(),
	}
}

// healthHandler serves the metrics and health endpoints of a process that has no
// operators' API.
func healthHandler(metrics http.Handler, stopping *atomic.Bool) http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/live", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/ready", func(c echo.Context) error {
		if stopping.Load() {
			return c.String(http.StatusServiceUnavailable, "the agent is leaving")
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}
