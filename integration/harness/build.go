// Package harness runs a deployment of separate daemons on loopback for
// integration tests. It builds and starts the daemons, cuts and delays the
// connections between them, submits jobs, and checks the answers against the
// targets' records of what ran.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
)

// deploymentsMax bounds the deployments that run concurrently: each has about 12
// processes.
const deploymentsMax = 3

var (
	// binaries is the directory of the built daemons; set before the tests run.
	binaries string
	// deploymentSemaphore holds one token for each running deployment.
	deploymentSemaphore = make(chan struct{}, deploymentsMax)
)

// Main builds the daemons with the race detector into a temporary directory,
// runs the tests and removes the directory. It returns the exit code.
func Main(m *testing.M, daemons ...string) int {
	return runWith(m, daemons, "-race")
}

// MainWithoutRace does the same as Main without the race detector, for tests of the
// memory that a daemon uses: the race detector multiplies it.
func MainWithoutRace(m *testing.M, daemons ...string) int {
	return runWith(m, daemons)
}

func runWith(m *testing.M, daemons []string, flags ...string) int {
	dir, err := build(daemons, flags)
	if dir != "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = dir
	return m.Run()
}

func build(daemons, flags []string) (string, error) {
	dir, err := os.MkdirTemp("", "rhubarbsail-integration-")
	if err != nil {
		return "", errors.Wrap(err, "create temporary directory")
	}
	args := append([]string{"build", "-buildvcs=false", "-o", dir + string(filepath.Separator)}, flags...)
	for _, d := range daemons {
		args = append(args, "github.com/rhubarbsail/rhubarbsail/cmd/"+d)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return dir, errors.Wrapf(err, "build daemons: %s", out)
	}
	return dir, nil
}
