package main

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/experiment"
)

// policyCommand compares scheduling policies in a simulation.
type policyCommand struct {
	Cases    string            `long:"cases" default:".*" description:"Regular expression for the names of cases"`
	Policies string            `long:"policies" default:".*" description:"Regular expression for the names of policies"`
	Seed     uint64            `long:"seed" default:"1" description:"Seed of load and policies"`
	Length   time.Duration     `long:"length" default:"4m" description:"Virtual time during which jobs arrive"`
	Parallel int               `long:"parallel" default:"4" description:"Runs at the same time"`
	Variants map[string]string `long:"variant" description:"Further instance of the policy, as name:JSON of scheduler.Options"`
	Output   outputOptions     `group:"Output"`
}

// outputOptions are the flags for the destination of results.
type outputOptions struct {
	Out string `long:"out" description:"Directory for table.txt and results.json; empty prints the table only"`
}

// Execute runs the command.
func (c *policyCommand) Execute([]string) error {
	results, err := experiment.RunPolicies(experiment.PolicyOptions{
		Cases: c.Cases, Policies: c.Policies, Seed: c.Seed, Length: c.Length, Parallel: c.Parallel, Variants: c.Variants,
	})
	if err != nil {
		return err
	}
	return c.Output.write(results)
}

func (o outputOptions) write(results []experiment.Result) error {
	if err := experiment.WriteTable(os.Stdout, results); err != nil || o.Out == "" {
		return err
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errors.Wrap(err, "create results directory")
	}
	if err := writeFile(filepath.Join(o.Out, "table.txt"), results, experiment.WriteTable); err != nil {
		return err
	}
	return writeFile(filepath.Join(o.Out, "results.json"), results, experiment.WriteJSON)
}

func writeFile(name string, results []experiment.Result, write func(io.Writer, []experiment.Result) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create result file")
	}
	if err := write(f, results); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close result file")
	}
	return nil
}
