package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/httplimit"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

// Listeners are the listeners of a gateway's three HTTP servers.
type Listeners struct {
	Callers, Operators, Internal net.Listener
}

// ServeOptions configures the HTTP servers of a gateway.
type ServeOptions struct {
	Limits httpapi.Limits
	Server httpapi.ServerLimits
	API    httpapi.Options
	// Notice is the time for which the callers' listener stays open after the gateway
	// has become not ready, so that the load balancer stops sending requests first.
	Notice time.Duration
	// Budget limits what the connections of all servers hold; nil for limits of their own.
	Budget *requestlimit.Budget
}

// internalShutdownGrace is the time for the internal server to finish requests of
// gateways and agents after the gateway has stopped.
const internalShutdownGrace = time.Second

// internalIdleTimeout is the time after which idle internal connections are closed,
// such as those of gateways and agents that no longer exist.
const internalIdleTimeout = 2 * time.Minute

// Serve runs the gateway until ctx ends and then shuts it down gracefully: partitions
// are handed over and requests in progress are answered.
func (g *Gateway) Serve(ctx context.Context, l Listeners, o ServeOptions) error {
	internal, err := g.InternalHandler()
	if err != nil {
		return err
	}
	if o.Budget == nil {
		o.Budget = requestlimit.New(requestlimit.Options{Bytes: o.Server.HeldBytes, Now: boottime.Now})
	}
	callers := httpapi.NewServer("callers", httpapi.NewCallersHandler(g, o.Limits, o.API), o.Server, o.Budget)
	operators := httpapi.NewServer("operators", httpapi.NewOperatorsHandler(g, o.API), o.Server, o.Budget)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	internalServer := &http.Server{
		Handler: internal, Protocols: protocols,
		ReadHeaderTimeout: o.Server.HeaderTimeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: o.Server.HeaderBytes,
	}
	internalListener := httplimit.Apply(internalServer, l.Internal, httplimit.Options{
		Group: o.Budget.NewGroup("internal", o.Server.Connections), BodyTimeout: o.Server.ReadTimeout,
	})
	var running errgroup.Group
	running.Go(func() error { return callers.Serve(l.Callers) })
	running.Go(func() error { return operators.Serve(l.Operators) })
	running.Go(func() error { return ignoreClosed(internalServer.Serve(internalListener)) })
	g.Start()
	g.goRun(func(ctx context.Context) { httpapi.Watch(ctx, g, g.deps.Logger) })
	events.ProcessStarted.Log(g.deps.Logger).Str("id", g.opts.ID).Str("callers", l.Callers.Addr().String()).
		Str("operators", l.Operators.Addr().String()).Str("internal", l.Internal.Addr().String()).Send()

	<-ctx.Done()
	g.BeginStop()
	stopCtx, cancel := context.WithTimeout(context.Background(), g.opts.ShutdownTimeout)
	defer cancel()
	drained := g.WaitDrained(stopCtx)
	stopped := callers.Stop(stopCtx, o.Notice)
	if drained != nil || stopped != nil {
		events.ShutdownForced.Log(g.deps.Logger).AnErr("drain", drained).AnErr("callers", stopped).Send()
	}
	g.Close(stopCtx)
	_ = operators.Stop(stopCtx, 0)
	internalCtx, cancelInternal := context.WithTimeout(context.Background(), internalShutdownGrace)
	defer cancelInternal()
	_ = internalServer.Shutdown(internalCtx)
	_ = internalServer.Close()
	_ = callers.Close()
	if err := running.Wait(); err != nil {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
