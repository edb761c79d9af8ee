package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

// platformArguments are the command line of the daemons on the platform.
type platformArguments struct {
	AdvertiseLink string `long:"advertise-link" value-name:"IP:PORT" description:"address at which agents and other gateways reach this gateway's link, if it differs from the one it listens on"`
}

// PlatformMain runs a daemon with the platform's settings until SIGTERM or
// SIGINT and returns the exit code. SIGHUP tells of changed settings; none of
// those that are used changes during the life of a process.
func PlatformMain(process string, run func(context.Context, *platform.Node, zerolog.Logger) error) int {
	var args platformArguments
	if exit, done := settings.ParseArgs(process, os.Args[1:], &args, os.Stdout, os.Stderr); done {
		return exit
	}
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	node, err := platform.LoadNode()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", process, err)
		return exitFailed
	}
	if args.AdvertiseLink != "" && node.Callers == "" {
		fmt.Fprintf(os.Stderr, "%s: --advertise-link applies to gateways only\n", process)
		return settings.ExitInvalid
	}
	node.Advertised = args.AdvertiseLink
	out, closeLog := events.NewBoundedWriter(os.Stdout)
	defer func() { _ = closeLog() }()
	log, err := events.NewLogger(out, "info", process, node.Name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", process, err)
		return exitFailed
	}
	out.ReportTo(log)
	if err := run(ctx, node, log); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", process, err)
		return exitFailed
	}
	return settings.ExitOK
}

// RunPlatformGateway runs a gateway until ctx ends.
func RunPlatformGateway(ctx context.Context, n *platform.Node, log zerolog.Logger) error {
	return NewPlatformGateway(n, log).Run(ctx, Env{})
}

// RunPlatformAgent runs an agent until ctx ends.
func RunPlatformAgent(ctx context.Context, n *platform.Node, log zerolog.Logger) error {
	return NewPlatformAgent(n, log).Run(ctx, Env{})
}
