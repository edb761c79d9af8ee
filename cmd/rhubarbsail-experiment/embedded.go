package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/experiment"
	"github.com/rhubarbsail/rhubarbsail/local"
)

// embeddedCommand measures a complete deployment in this process: gateways, agents
// and stand-in targets on loopback.
type embeddedCommand struct {
	Gateways int           `long:"gateways" default:"3" description:"Number of gateways"`
	Load     loadOptions   `group:"Load"`
	Output   outputOptions `group:"Output"`
}

const (
	slotsPerTarget = 8
	startTimeout   = 30 * time.Second
)

// Execute runs the command.
func (c *embeddedCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fleet := experiment.NewFleet(c.Load.Targets, slotsPerTarget, c.Load.Spread)
	d, err := c.start(ctx, fleet)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := d.Stop(); err == nil {
			err = stopErr
		}
	}()
	return c.measure(ctx, d, fleet)
}

func (c *embeddedCommand) start(ctx context.Context, fleet experiment.Fleet) (*local.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	opts := local.Options{Gateways: c.Gateways, Targets: c.Load.Targets, Service: "work", LogLevel: "warn", Log: os.Stderr}
	for _, n := range fleet {
		opts.Speeds = append(opts.Speeds, n.Speed)
	}
	for i := range c.Load.Clients {
		opts.MoreClients = append(opts.MoreClients, fmt.Sprintf("client-%02d", i))
	}
	return local.Start(ctx, opts)
}

func (c *embeddedCommand) measure(ctx context.Context, d *local.Deployment, fleet experiment.Fleet) error {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = c.Load.MaxInFlight
	client := &http.Client{Transport: transport}
	before, err := experiment.ScrapeFrames(ctx, client, d.Operators)
	if err != nil {
		return err
	}
	cpuBefore := experiment.ProcessCPU()
	result, err := experiment.RunLive(ctx, experiment.LiveOptions{
		Gateways: d.Callers, Service: "work", Seed: c.Load.Seed, MaxInFlight: c.Load.MaxInFlight, Fleet: fleet,
		Load:   c.Load.workload(),
		Client: client,
	})
	if err != nil {
		return err
	}
	cpuUsed := experiment.ProcessCPU() - cpuBefore
	// Counters are reported to the scrape endpoint once a second.
	time.Sleep(metricsReportDelay)
	after, err := experiment.ScrapeFrames(ctx, client, d.Operators)
	if err != nil {
		return err
	}
	frames := after.Minus(before)
	starts := countStarts(d)
	if starts > 0 {
		result.MessagesPerTask = float64(frames.TaskFrames()) / float64(starts)
		result.Wasted = float64(frames.Wasted()) / float64(max(frames.TaskFrames(), 1))
	}
	result.Messages = frames.ByKind
	if err := c.Output.write([]experiment.Result{result}); err != nil {
		return err
	}
	printFrames(os.Stdout, frames, starts, cpuUsed)
	return nil
}

// metricsReportDelay is longer than the interval at which counters are reported.
const metricsReportDelay = 1500 * time.Millisecond

// countStarts returns the number of task starts that the targets recorded.
func countStarts(d *local.Deployment) int {
	n := 0
	for _, t := range d.Targets {
		n += t.Record(true).Starts
	}
	return n
}

func printFrames(w io.Writer, f experiment.Frames, starts int, cpu time.Duration) {
	fmt.Fprintf(w, "\nstarts at targets %d, processor time of the whole process %v (%v a start)\n",
		starts, cpu.Round(time.Millisecond), (cpu / time.Duration(max(starts, 1))).Round(time.Microsecond))
	printCounts(w, "", f.ByKind)
	printCounts(w, "wasted/", f.ByCause)
}

func printCounts(w io.Writer, prefix string, counts map[string]int) {
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%-40s %8d\n", prefix+k, counts[k])
	}
}
