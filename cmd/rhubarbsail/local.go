package main

import (
	"context"
	"os"

	"github.com/rhubarbsail/rhubarbsail/command"
	"github.com/rhubarbsail/rhubarbsail/local"
)

// startLocal starts the deployment of the local subcommand.
func startLocal(ctx context.Context, o command.LocalOptions) (*command.Deployment, error) {
	opts := local.Options{
		Gateways: o.Gateways, Targets: o.Targets, Client: o.Client, Service: o.Service,
		Spans: o.Spans, Log: os.Stderr, LogLevel: o.LogLevel,
	}
	if o.FixedPorts {
		opts.CallersAddress, opts.OperatorsAddress = command.DefaultCallersAddress, command.DefaultOperatorsAddress
	}
	d, err := local.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	return &command.Deployment{
		Callers: d.Callers, Operators: d.Operators,
		// Nothing to flush: each span is exported when it ends.
		Flush: func(context.Context) error { return nil },
		Stop: func(ctx context.Context) error {
			stopped := make(chan error, 1)
			go func() { stopped <- d.Stop() }()
			select {
			case err := <-stopped:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	}, nil
}
