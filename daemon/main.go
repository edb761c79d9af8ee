package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
)

// exitFailed is the exit code of a daemon that could not run.
const exitFailed = 1

// Main loads the settings named on the command line, runs the daemon until
// SIGTERM or SIGINT and returns the exit code.
func Main[S settings.Settings](name string, s S, run func(context.Context, S, Env) error) int {
	if exit, done := settings.FromArgs(name, os.Args[1:], s, os.Stdout, os.Stderr); done || exit != 0 {
		return exit
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s, Env{Outputs: telemetry.Outputs{Logs: os.Stderr, Spans: os.Stdout}}); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitFailed
	}
	return settings.ExitOK
}
