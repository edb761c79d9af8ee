package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/rhubarbsail/rhubarbsail/experiment"
)

type liveCommand struct {
	Gateways      []string      `long:"gateway" required:"true" description:"Base URL of a gateway's callers' API, such as http://127.0.0.1:8080; may be repeated"`
	Service       string        `long:"service" default:"work" description:"Service of the jobs"`
	Targets       int           `long:"targets" default:"11" description:"Targets behind the gateways"`
	Slots         int           `long:"slots" default:"8" description:"Slots of a target"`
	Spread        float64       `long:"spread" default:"8" description:"Speed of the fastest target relative to the slowest; speeds are spread geometrically from 1 down"`
	Load          float64       `long:"load" default:"0.8" description:"Offered work relative to the capacity of the targets"`
	Length        time.Duration `long:"length" default:"1m" description:"Time during which jobs are sent"`
	Clients       int           `long:"clients" default:"12" description:"Number of clients"`
	Tasks         int           `long:"tasks" default:"1" description:"Tasks of a job"`
	DeclaredError float64       `long:"declared-error" default:"10" description:"Largest factor between declared and real run time"`
	Timeout       time.Duration `long:"timeout" default:"30s" description:"Timeout of a job"`
	Seed          uint64        `long:"seed" default:"1" description:"Seed of the load"`
	MaxInFlight   int           `long:"max-in-flight" default:"5000" description:"Open requests above which jobs are not sent"`
	Output        output        `group:"Output"`
}

// Execute runs the command.
func (c *liveCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = c.MaxInFlight
	result, err := experiment.RunLive(ctx, experiment.LiveOptions{
		Gateways: c.Gateways, Service: c.Service, Seed: c.Seed, MaxInFlight: c.MaxInFlight,
		Fleet: experiment.NewFleet(c.Targets, c.Slots, c.Spread),
		Load: experiment.Workload{
			Load: c.Load, Duration: c.Length, Clients: c.Clients, DeclaredError: c.DeclaredError,
			Timeout: c.Timeout, Sizes: []experiment.Size{{Tasks: c.Tasks, Weight: 1}},
		},
		Client: &http.Client{Transport: transport},
	})
	if err != nil {
		return err
	}
	return c.Output.write([]experiment.Result{result})
}
