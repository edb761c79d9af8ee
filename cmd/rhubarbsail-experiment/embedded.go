package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/rhubarbsail/rhubarbsail/experiment"
	"github.com/rhubarbsail/rhubarbsail/local"
)

// embeddedCommand measures a whole deployment in this process: real gateways,
// agents and stand-in targets on loopback.
type embeddedCommand struct {
	Gateways      int           `long:"gateways" default:"3" description:"Number of gateways"`
	Targets       int           `long:"targets" default:"11" description:"Number of targets"`
	Spread        float64       `long:"spread" default:"8" description:"Speed of the fastest target relative to the slowest"`
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

const (
	embeddedSlots = 8
	startTimeout  = 30 * time.Second
)

// Execute runs the command.
func (c *embeddedCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fleet := experiment.NewFleet(c.Targets, embeddedSlots, c.Spread)
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
	opts := local.Options{Gateways: c.Gateways, Targets: c.Targets, Service: "work", LogLevel: "warn", Log: os.Stderr}
	for _, n := range fleet {
		opts.Speeds = append(opts.Speeds, n.Speed)
	}
	for i := range c.Clients {
		opts.MoreClients = append(opts.MoreClients, fmt.Sprintf("client-%02d", i))
	}
	return local.Start(ctx, opts)
}

func (c *embeddedCommand) measure(ctx context.Context, d *local.Deployment, fleet experiment.Fleet) error {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = c.MaxInFlight
	client := &http.Client{Transport: transport}
	before, err := experiment.ScrapeFrames(ctx, client, d.Operators)
	if err != nil {
		return err
	}
	started := experiment.ProcessCPU()
	result, err := experiment.RunLive(ctx, experiment.LiveOptions{
		Gateways: d.Callers, Service: "work", Seed: c.Seed, MaxInFlight: c.MaxInFlight, Fleet: fleet,
		Load: experiment.Workload{
			Load: c.Load, Duration: c.Length, Clients: c.Clients, DeclaredError: c.DeclaredError,
			Timeout: c.Timeout, Sizes: []experiment.Size{{Tasks: c.Tasks, Weight: 1}},
		},
		Client: client,
	})
	if err != nil {
		return err
	}
	used := experiment.ProcessCPU() - started
	// Counters reach the scrape endpoint once a second.
	time.Sleep(metricsDelay)
	after, err := experiment.ScrapeFrames(ctx, client, d.Operators)
	if err != nil {
		return err
	}
	frames := after.Minus(before)
	starts := startsOf(d)
	if starts > 0 {
		result.MessagesPerTask = float64(frames.Requests()) / float64(starts)
		result.Wasted = float64(frames.Wasted) / float64(max(frames.Requests(), 1))
	}
	result.Messages = frames.ByKind
	if err := c.Output.write([]experiment.Result{result}); err != nil {
		return err
	}
	printFrames(os.Stdout, frames, starts, used)
	return nil
}

// metricsDelay is longer than the interval at which counters are passed on.
const metricsDelay = 1500 * time.Millisecond

// startsOf counts the starts in the targets' own records.
func startsOf(d *local.Deployment) int {
	n := 0
	for _, t := range d.Targets {
		n += t.Record(true).Starts
	}
	return n
}

func printFrames(w io.Writer, f experiment.Frames, starts int, cpu time.Duration) {
	kinds := make([]string, 0, len(f.ByKind))
	for k := range f.ByKind {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	fmt.Fprintf(w, "\nstarts at targets %d, processor time of the whole process %v (%v a start)\n",
		starts, cpu.Round(time.Millisecond), (cpu / time.Duration(max(starts, 1))).Round(time.Microsecond))
	for _, k := range kinds {
		fmt.Fprintf(w, "%-22s %8d\n", k, f.ByKind[k])
	}
	fmt.Fprintf(w, "%-22s %8d\n", "wasted", f.Wasted)
}
