package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

// PlatformArguments holds the command-line flags of a daemon on the platform. An
// implementation is a pointer to a struct with go-flags tags.
type PlatformArguments interface {
	// Apply overrides the platform's settings with the flags.
	Apply(n *platform.Node)
}

// PlatformGatewayArguments holds the flags of platform-gateway.
type PlatformGatewayArguments struct {
	AdvertiseLink string `long:"advertise-link" value-name:"IP:PORT" description:"address at which agents and other gateways reach this gateway's link, if it differs from the one it listens on"`
}

// Apply implements PlatformArguments.
func (a *PlatformGatewayArguments) Apply(n *platform.Node) { n.AdvertisedAddr = a.AdvertiseLink }

// PlatformAgentArguments holds the flags of platform-agent, which has none of its
// own.
type PlatformAgentArguments struct{}

// Apply implements PlatformArguments.
func (*PlatformAgentArguments) Apply(*platform.Node) {}

// PlatformMain runs a daemon with the platform's settings until SIGTERM or
// SIGINT and returns the exit code. SIGHUP, by which the platform announces changed
// settings, is ignored unless run handles it.
func PlatformMain(process string, args PlatformArguments, run func(context.Context, *platform.Node, zerolog.Logger) error) int {
	// First, since the platform may send SIGHUP as soon as the process exists.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if exit, done := settings.ParseArgs(process, os.Args[1:], args, os.Stdout, os.Stderr); done {
		return exit
	}
	node, err := platform.LoadNode()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", process, err)
		return exitFailed
	}
	args.Apply(node)
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(node.MemoryBytes / 100 * memoryLimitPercent)
	}
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

// RunPlatformGateway runs a gateway until ctx is done.
func RunPlatformGateway(ctx context.Context, n *platform.Node, log zerolog.Logger) error {
	return NewPlatformGateway(n, log).Run(ctx, Env{})
}

// RunPlatformAgent runs an agent until ctx is done.
func RunPlatformAgent(ctx context.Context, n *platform.Node, log zerolog.Logger) error {
	return NewPlatformAgent(n, log).Run(ctx, Env{})
}
