package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/rhubarbsail/rhubarbsail/experiment/capacity"
)

// capacityCommand measures the cost of gateways and agents as separate processes.
type capacityCommand struct {
	Bin        string        `long:"bin" default:"bin" description:"Directory of the binaries gateway and agent (go build -o bin/ ./cmd/...)"`
	Gateways   int           `long:"gateways" default:"2" description:"Number of gateways"`
	Agents     []int         `long:"agents" default:"11" default:"50" default:"100" description:"Number of agents; may be repeated"`
	Rates      []int         `long:"rate" default:"200" default:"800" description:"Task starts a second; may be repeated"`
	Tasks      int           `long:"tasks" default:"1" description:"Tasks of a job"`
	ConfigRate int           `long:"config-rate" default:"2" description:"Configuration changes a second; 0 skips the window"`
	Window     time.Duration `long:"window" default:"10s" description:"Length of each measurement"`
}

// maxIdleConnsPerGateway limits the idle connections of the load generator.
const maxIdleConnsPerGateway = 500

// Execute runs the command.
func (c *capacityCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = maxIdleConnsPerGateway
	rows, err := capacity.Run(ctx, capacity.Options{
		Bin: c.Bin, Gateways: c.Gateways, Agents: c.Agents, Rates: c.Rates,
		ConfigRate: c.ConfigRate, Tasks: c.Tasks, Window: c.Window,
	})
	if err != nil {
		return err
	}
	return capacity.Write(os.Stdout, rows)
}
