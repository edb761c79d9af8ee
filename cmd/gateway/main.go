// Command gateway runs a gateway with the settings of a JSON file.
package main

import (
	"os"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/daemon"
)

func main() {
	os.Exit(daemon.Main("gateway", &settings.Gateway{}, daemon.Gateway))
}
