package main

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/restartable/fleet"
)

// fleetCommand simulates gateways of restartable jobs that share targets.
type fleetCommand struct {
	Gateways int           `long:"gateways" default:"55" description:"Number of gateways"`
	Targets  int           `long:"targets" default:"240" description:"Number of targets, each with its agent"`
	Links    []int         `long:"links" description:"Gateways that an agent links to; may be repeated; the agents' own number if it is left out"`
	Mix      string        `long:"mix" choice:"mixed" choice:"long" default:"mixed" description:"Jobs: equal shares of the load for three kinds, or more of the long kind"`
	Load     float64       `long:"load" description:"Share of the targets' processors that the jobs need; that of the mix if it is left out"`
	LoadGap  time.Duration `long:"load-gap" default:"50ms" description:"Least time between two loads of an agent"`
	Length   time.Duration `long:"length" default:"3s" description:"Virtual time during which jobs arrive"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of everything"`
}

// Execute runs the command. The last line of the output is for a single gateway
// that places all tasks, as a bound for comparison.
func (c *fleetCommand) Execute([]string) error {
	if c.Gateways < 1 || c.Targets < 1 || c.Load < 0 || c.Length <= 0 {
		return errors.New("gateways, targets and length have to be above zero, the load not below")
	}
	opts := fleet.MixedOptions(c.Gateways, c.Targets)
	if c.Mix == "long" {
		opts = fleet.LongJobsOptions(c.Gateways, c.Targets)
	}
	if c.Load > 0 {
		opts.Load = c.Load
	}
	opts.MinLoadInterval, opts.Duration, opts.Seed = c.LoadGap, c.Length, c.Seed
	links := c.Links
	if len(links) == 0 {
		links = []int{0}
	}
	for _, n := range links {
		if n < 0 {
			return errors.Errorf("%d links", n)
		}
		opts.Links = n
		fmt.Printf("gateways %d, targets %d, links %d: %v\n", opts.Gateways, opts.Targets, n, fleet.Run(opts))
	}
	opts.Gateways, opts.Links = 1, 1
	fmt.Printf("one gateway: %v\n", fleet.Run(opts))
	return nil
}
