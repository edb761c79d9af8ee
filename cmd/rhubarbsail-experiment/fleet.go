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
	Load     float64       `long:"load" default:"0.65" description:"Share of the targets' processors that the jobs need"`
	LoadGap  time.Duration `long:"load-gap" default:"50ms" description:"Least time between two loads of an agent"`
	Length   time.Duration `long:"length" default:"3s" description:"Virtual time during which jobs arrive"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of everything"`
}

// Execute runs the command. The last line of the output is for a single gateway
// that places all tasks, as a bound for comparison.
func (c *fleetCommand) Execute([]string) error {
	if c.Gateways < 1 || c.Targets < 1 || c.Load <= 0 || c.Length <= 0 {
		return errors.New("gateways, targets, load and length have to be above zero")
	}
	opts := fleet.MixedOptions(c.Gateways, c.Targets)
	opts.Load, opts.MinLoadInterval, opts.Duration, opts.Seed = c.Load, c.LoadGap, c.Length, c.Seed
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
