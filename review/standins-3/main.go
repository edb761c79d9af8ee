// Command standins-3 runs the cases of the third review: it starts the project's programs
// for the users' platform as separate processes on loopback addresses, with small stand-ins
// of the platform's store, its executors and its clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cases are the cases by the name of their folder. Each returns what broke the rule.
var cases = map[string]struct {
	options
	play func(d *deployment, trouble bool) ([]string, error)
}{
	"11": {options{agents: 8}, lateStartOfEarlierTry},
	"12": {options{agents: 8}, lateStartsExceedCapacity},
	"13": {options{agents: 4}, cancelledBeforeRestart},
	"14": {options{agents: 4, links: true}, cancelledAtCutGateway},
	"15": {options{agents: 4}, cancelledWithoutRoute},
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case of the folder that it is given, and returns the exit code.
func run(args []string) int {
	if len(args) != 1 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 FOLDER")
		return exitCannot
	}
	folder := args[0]
	name := filepath.Base(folder)
	c, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %s\n", name)
		return exitCannot
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %t", name, trouble)
	d, err := newDeployment(record, c.options)
	if err != nil {
		record.line("the case could not run: %v", err)
		return exitCannot
	}
	defer d.close()
	broken, err := c.play(d, trouble)
	if err != nil {
		record.line("the case could not run: %v", err)
		return exitCannot
	}
	for _, b := range broken {
		record.line("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		record.line("result: the rule is broken, %d times", len(broken))
		return exitBroken
	}
	record.line("result: the rule is kept")
	return exitHeld
}
