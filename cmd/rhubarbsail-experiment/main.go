// Command rhubarbsail-experiment measures scheduling policies in simulations, and
// gateways over HTTP.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

type commands struct {
	Policy   policyCommand   `command:"policy" description:"Compare policies in a discrete-event model of targets"`
	Fleet    fleetCommand    `command:"fleet" description:"Play many gateways of restartable jobs that share targets, in virtual time"`
	Embedded embeddedCommand `command:"embedded" description:"Start a deployment in this process and send load to it"`
	Capacity capacityCommand `command:"capacity" description:"Measure the cost of gateways and agents as separate processes"`
	Live     liveCommand     `command:"live" description:"Send load to running gateways over HTTP"`
}

func main() {
	var c commands
	if _, err := flags.Parse(&c); err != nil {
		os.Exit(1)
	}
}
