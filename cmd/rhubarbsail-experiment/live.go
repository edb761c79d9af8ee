package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"

	"github.com/rhubarbsail/rhubarbsail/experiment"
)

// liveCommand sends load to running gateways.
type liveCommand struct {
	Gateways []string      `long:"gateway" required:"true" description:"Base URL of a gateway's callers' API, such as http://127.0.0.1:8080; may be repeated"`
	Service  string        `long:"service" default:"work" description:"Service of the jobs"`
	Slots    int           `long:"slots" default:"8" description:"Slots of a target"`
	Load     loadOptions   `group:"Load"`
	Output   outputOptions `group:"Output"`
}

// Execute runs the command.
func (c *liveCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = c.Load.MaxInFlight
	result, err := experiment.RunLive(ctx, experiment.LiveOptions{
		Gateways: c.Gateways, Service: c.Service, Seed: c.Load.Seed, MaxInFlight: c.Load.MaxInFlight,
		Fleet: experiment.NewFleet(c.Load.Targets, c.Slots, c.Load.Spread), Load: c.Load.workload(),
		Client: &http.Client{Transport: transport},
	})
	if err != nil {
		return err
	}
	return c.Output.write([]experiment.Result{result})
}
