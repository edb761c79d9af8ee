// Command standin-log runs the stand-in for the platform's log and lease services
// on one address. It keeps its records in memory only.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/daemon"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

const (
	stopTimeout   = 2 * time.Second
	headerTimeout = 10 * time.Second
)

func main() {
	os.Exit(daemon.Main("standin-log", &settings.LogStandin{}, run))
}

// run serves until ctx is done.
func run(ctx context.Context, s *settings.LogStandin, env daemon.Env) error {
	log, err := events.NewLogger(env.Logs, s.Telemetry.LogLevel, "standin-log", s.ListenAddress)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	events.ListenStarted.Log(log).Str("address", listener.Addr().String()).Send()
	store := memlog.New(memlog.Options{
		RetainCount: int(s.RetainCount), RetainFor: s.RetainFor.Duration(), AppendsPerSecond: s.AppendsPerSecond,
	})
	server := &http.Server{
		Handler: logserver.New(store), ReadHeaderTimeout: headerTimeout,
		// Cancels long polls at shutdown.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return errors.Wrap(err, "stop")
	}
	return nil
}
