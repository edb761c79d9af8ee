// Command standin-log runs the stand-in of the platform's log and lease
// service on one address. Its records are in memory only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
)

const (
	stopTimeout   = 2 * time.Second
	headerTimeout = 10 * time.Second
)

type options struct {
	Listen           string        `long:"listen" default:"127.0.0.1:0" description:"host:port to serve on; port 0 takes a free one"`
	RetainCount      int           `long:"retain-count" description:"number of records that a stream keeps; 0 is no bound"`
	RetainFor        time.Duration `long:"retain-for" description:"time for which a stream keeps records; 0 is no bound"`
	AppendsPerSecond float64       `long:"appends-per-second" default:"300" description:"bound of the append rate; 0 is no bound"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "standin-log:", err)
		os.Exit(1)
	}
}

// run serves until the context ends. It prints the address, so that a test can
// use a free port.
func run(ctx context.Context, opts options) error {
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println("listening on", listener.Addr())
	store := memlog.New(memlog.Options{
		RetainCount: opts.RetainCount, RetainFor: opts.RetainFor, AppendsPerSecond: opts.AppendsPerSecond,
	})
	server := &http.Server{
		Handler: logserver.New(store), ReadHeaderTimeout: headerTimeout,
		// Ends long polls at the stop.
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
