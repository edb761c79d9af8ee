package main

import (
	"time"

	"github.com/rhubarbsail/rhubarbsail/experiment"
)

// loadOptions are the load flags of the commands that send jobs over HTTP.
type loadOptions struct {
	Targets       int           `long:"targets" default:"11" description:"Targets behind the gateways"`
	Spread        float64       `long:"spread" default:"8" description:"Speed of the fastest target relative to the slowest; speeds are spread geometrically from 1 down"`
	Load          float64       `long:"load" default:"0.8" description:"Offered work relative to the capacity of the targets"`
	Length        time.Duration `long:"length" default:"1m" description:"Time during which jobs are sent"`
	Clients       int           `long:"clients" default:"12" description:"Number of clients"`
	Tasks         int           `long:"tasks" default:"1" description:"Tasks of a job"`
	DeclaredError float64       `long:"declared-error" default:"10" description:"Largest factor between declared and real run time"`
	Timeout       time.Duration `long:"timeout" default:"30s" description:"Timeout of a job"`
	Seed          uint64        `long:"seed" default:"1" description:"Seed of the load"`
	MaxInFlight   int           `long:"max-in-flight" default:"5000" description:"Open requests above which jobs are not sent"`
}

func (o loadOptions) workload() experiment.Workload {
	return experiment.Workload{
		Load: o.Load, Duration: o.Length, Clients: o.Clients, DeclaredError: o.DeclaredError,
		Timeout: o.Timeout, Sizes: []experiment.Size{{Tasks: o.Tasks, Weight: 1}},
	}
}
