// Package crowd tests that many unfinished requests of untrusted clients exhaust
// neither the memory nor the descriptors of a process. The programs run as separate
// processes, built without the race detector, whose memory would not be that of the
// programs. The tests run one after the other.
package crowd

import (
	"os"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

func TestMain(m *testing.M) {
	os.Exit(harness.MainWithoutRace(m, "platform-gateway", "platform-agent", "gateway", "agent", "standin-log", "standin-target"))
}

const (
	// memoryMB is the memory of the VM that the settings state, and the bound of the
	// peak memory of each process.
	memoryMB = 80
	// descriptors is the number of descriptors that the settings state, and the bound of
	// the open ones.
	descriptors = 3000
	// fewDescriptors replaces descriptors in the tests of connections that hold little
	// memory.
	fewDescriptors = 600

	// headerClients is the number of clients that send large headers or only connect,
	// bodyClients that of clients that send large bodies.
	headerClients = 800
	bodyClients   = 400
	// headerBytes is close to the largest header, 16 KiB; bodyBytes is the largest body
	// of a submission if the configuration sets no limit.
	headerBytes = 15 << 10
	bodyBytes   = 256 << 10
	// heartbeatBytes is the largest body of a heartbeat, heartbeatClients the number of
	// clients that send one.
	heartbeatBytes   = 4 << 20
	heartbeatClients = 60
	// stepClients is the number of clients that send a complete body of many steps.
	stepClients = 60
)

// The VMs that the settings describe.
var (
	machine = resources{memoryMB: memoryMB, descriptors: descriptors}
	// machineOfOwnAgent has the descriptors of its three listeners and as many for files
	// and connections to others.
	machineOfOwnAgent = resources{memoryMB: memoryMB, descriptors: 6 * ownConnections}
	machineWithFewFD  = resources{memoryMB: memoryMB, descriptors: fewDescriptors}
)

// resources are those of a VM.
type resources struct{ memoryMB, descriptors int }
