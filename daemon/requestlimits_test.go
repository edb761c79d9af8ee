package daemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/platform"
)

func newTestMetrics(t *testing.T) *telemetry.Metrics {
	m := telemetry.NewMetrics("gateway", "g", zerolog.Nop())
	t.Cleanup(func() { _ = m.Close() })
	return m
}

// Guards against limits that together exceed the descriptors of a process, or leave none
// to a listener or to the process's own connections.
func TestConnectionLimitsFitTheDescriptors(t *testing.T) {
	// ownConnections are those of a gateway or an agent to agents, gateways and the store.
	const ownConnections = 20
	for descriptors := 300; descriptors <= 20_000; descriptors++ {
		l := limitsFor(descriptors)
		if l.callers < 1 || l.internal < 1 || l.checks < 1 {
			t.Fatalf("%d descriptors: %+v", descriptors, l)
		}
		if sum := l.callers + l.internal + 2*l.checks + fileDescriptors + ownConnections; sum > descriptors {
			t.Fatalf("%d descriptors: %+v and others are %d", descriptors, l, sum)
		}
	}
}

// Guards against a client within the documented bounds that is closed although the
// settings state neither memory nor descriptors: hundreds of callers may send a header
// and a body of the largest size at the same time.
func TestDefaultsAffectNoOrdinaryClient(t *testing.T) {
	const (
		callers        = 1000
		connection     = 20 << 10
		largestHeader  = 16<<10 + 600*160
		largestBody    = 2 * (256 << 10)
		smallestVM     = 32 << 20
		busyRequests   = 100
		ordinaryHeader = 4 << 10
		ordinaryBody   = 2 * (4 << 10)
	)
	fill := func(n *platform.Node, callers int, bytes int64) {
		t.Helper()
		g := newNodeBudget(n, zerolog.Nop(), newTestMetrics(t)).NewGroup("callers", limitsFor(n.Descriptors).callers)
		for range callers {
			h, ok := g.Open("a", connection, func() { t.Error("a client was closed") })
			if !ok || !h.Receive(bytes) {
				t.Fatal("a client was refused")
			}
		}
	}
	fill(&platform.Node{}, callers, largestHeader+largestBody)
	// The largest request is served in the smallest VM beside ordinary load.
	fill(&platform.Node{MemoryBytes: smallestVM}, busyRequests, ordinaryHeader+ordinaryBody)
	fill(&platform.Node{MemoryBytes: smallestVM}, 1, 16<<10+5461*160+largestBody)
}

// Guards against a log that the lines about a crowd fill.
func TestClosedConnectionsAreLoggedRarely(t *testing.T) {
	var out bytes.Buffer
	b := newBudget(1<<20, zerolog.New(&out), newTestMetrics(t))
	g := b.NewGroup("callers", 10)
	for range 10_000 {
		g.Open("a", 16<<10, func() {})
	}
	// One line, and another one if the test takes longer than the interval.
	if lines := strings.Count(out.String(), "\n"); lines < 1 || lines > 2 {
		t.Errorf("%d lines: %s", lines, out.String())
	}
}
