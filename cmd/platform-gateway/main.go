// Command platform-gateway runs a gateway of restartable jobs on the users' platform,
// with the settings file that the platform provides.
package main

import (
	"os"

	"github.com/rhubarbsail/rhubarbsail/daemon"
)

func main() {
	os.Exit(daemon.PlatformMain("gateway", &daemon.PlatformGatewayArguments{}, daemon.RunPlatformGateway))
}
