// Command agent runs the agent of a target with the settings of a JSON file.
package main

import (
	"os"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/daemon"
)

func main() {
	os.Exit(daemon.Main("agent", &settings.Agent{}, daemon.Agent))
}
