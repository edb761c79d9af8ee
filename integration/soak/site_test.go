package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

const (
	gatewaysOfSite = 3
	agentsOfSite   = 4
	// seedsMax is the number of gateways that a process is told of.
	seedsMax = 3
	// targetCPU has room for eight tasks.
	targetCPU = 8000
	// slowClock is the slowest that the platform allows for a target's clock.
	slowClock      = 0.98
	heartbeatEvery = 100 * time.Millisecond
	startTimeout   = 20 * time.Second
	// grace is the time between SIGTERM and the end of a process, as in the
	// deployments.
	grace = 6 * time.Second
	// slack is added to the times that processes are allowed, since a loaded
	// machine with the race detector is slower than the deployments.
	slack   = 1500 * time.Millisecond
	storeAs = "store"
	// logTail is how much of the log of a process with a race is shown, in bytes.
	logTail = 2000
)

var jobQueue = queues.Queue{
	Name: "r", Host: "h", PathPrefix: "/p/", Service: "s", MaxAttempts: 3, Timeout: 1500 * time.Millisecond,
	TargetLatency: 500 * time.Millisecond, StretchFactor: 2,
}

// site is one deployment of separate processes with the platform's stand-ins.
type site struct {
	t        *testing.T
	dir      string
	net      *harness.Network
	store    *standin.Store
	gateways []*node
	agents   []*node

	mu      sync.Mutex // owns the fields below
	started []*harness.Process
	version uint64
	queues  []queues.Queue
}

// node is one process with what belongs to it.
type node struct {
	*harness.Process
	callers, readiness, internal string
	// target and calls belong to an agent.
	target *standin.Target
	calls  *callFaults
	// lifecycle is held while the process is stopped and started.
	lifecycle sync.Mutex
	// inRotation gateways get new connections.
	inRotation atomic.Bool

	mu sync.Mutex // owns the fields below
	// disturbed are the times in which callers may see broken or late answers.
	disturbed []interval
}

type interval struct{ from, to time.Time }

// disturb marks the time from now on until the end of the fault and a while
// after it. The function returned ends the fault.
func (n *node) disturb() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.disturbed)
	n.disturbed = append(n.disturbed, interval{time.Now(), time.Now().Add(time.Hour)})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disturbed[i].to = time.Now().Add(slack)
	}
}

// wasDisturbed tells whether a fault touched the process in the time given.
func (n *node) wasDisturbed(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.disturbed {
		if d.from.Before(to) && from.Before(d.to) {
			return true
		}
	}
	return false
}

func startSite(t *testing.T, size int, seed uint64) *site {
	s := &site{t: t, dir: t.TempDir(), store: standin.NewStore()}
	s.net = harness.NewNetwork(s.processes)
	t.Cleanup(s.close)
	s.newConfig(0)
	store := s.serve(s.store.Handler())
	storeRelay := s.relay(storeAs, store)
	var seeds []string
	for i := range gatewaysOfSite * size {
		n := platform.Node{
			Name: fmt.Sprintf("gateway-%d", i), ClientAddr: s.address(), ReadinessAddr: s.address(), LinkAddr: s.address(), StoreAddr: storeRelay,
		}
		relay := s.relay(n.Name, n.LinkAddr)
		seeds = append(seeds, relay)
		n.Seeds = seeds[:min(len(seeds), seedsMax)]
		g := &node{callers: n.ClientAddr, readiness: n.ReadinessAddr}
		g.Process = s.process("platform-gateway", n, "--advertise-link", relay)
		s.gateways = append(s.gateways, g)
	}
	for i := range agentsOfSite * size {
		a := &node{
			internal: s.address(), target: standin.NewTarget(fmt.Sprintf("i-%d", i), targetCPU),
			calls: &callFaults{random: rand.New(rand.NewPCG(seed, uint64(i)+callsStream))},
		}
		a.target.Fault, a.target.FaultDelay = a.calls.draw, lateAfter
		if i%2 == 0 {
			a.target.ClockRate = slowClock
		}
		a.Process = s.process("platform-agent", platform.Node{
			Name: fmt.Sprintf("agent-%d", i), InternalAddr: a.internal, StoreAddr: storeRelay, TargetAddr: s.serve(a.target.Handler()),
			Seeds: seeds[:min(len(seeds), seedsMax)],
		})
		s.agents = append(s.agents, a)
	}
	for _, n := range s.nodes() {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range s.agents {
		s.announce(a)
	}
	began := time.Now()
	for _, g := range s.gateways {
		s.await(startTimeout, g.Name+" is ready", func() bool { return standin.Ready(t.Context(), g.readiness) })
	}
	if t.Failed() {
		s.keepLogs(began)
		t.FailNow()
	}
	return s
}

func (s *site) nodes() []*node { return append(append([]*node(nil), s.gateways...), s.agents...) }

func (s *site) processes() []*harness.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.started)
}

func (s *site) address() string {
	a, err := harness.FreeAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return a
}

func (s *site) relay(name, address string) string {
	a, err := s.net.Relay(name, address)
	if err != nil {
		s.t.Fatal(err)
	}
	return a
}

// serve serves a stand-in until the test ends.
func (s *site) serve(h http.Handler) string {
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// process writes the settings file of a process.
func (s *site) process(program string, n platform.Node, args ...string) *harness.Process {
	n.Zone, n.Bounds = "z", platform.Bounds{GracePeriod: grace, RemoteFactor: 1.5}
	n.MetricsAddr = s.ownHost(cmp.Or(n.LinkAddr, n.InternalAddr))
	environment, err := standin.WriteSettings(filepath.Join(s.dir, n.Name+".json"), n)
	if err != nil {
		s.t.Fatal(err)
	}
	p := harness.NewProcess(n.Name, program, args, environment)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = append(s.started, p)
	return p
}

// ownHost returns an address on a loopback host that only the process with the
// given address uses. The port of metrics is the same for all processes.
func (s *site) ownHost(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		s.t.Fatal(err)
	}
	host := netip.AddrFrom4([4]byte{127, byte(a.Port() >> 8), byte(a.Port()), 1})
	return netip.AddrPortFrom(host, a.Port()).String()
}

func (s *site) announce(a *node) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { a.target.SendHeartbeats(ctx, a.internal, jobQueue.Service, heartbeatEvery) })
	s.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// await fails the test if the condition does not hold in time.
func (s *site) await(limit time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Errorf("after %v not yet: %s", limit, what)
			return
		}
	}
}

// newConfig writes the next configuration. It has all queues of the earlier
// ones, and one more that is named after its version.
func (s *site) newConfig(timeoutChange time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	main := jobQueue
	main.Timeout += timeoutChange
	s.queues = append(s.queues, versionQueue(s.version))
	s.store.PutQueues(s.version, append([]queues.Queue{main}, s.queues...))
}

func (s *site) newestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func versionQueue(version uint64) queues.Queue {
	q := jobQueue
	q.Name, q.PathPrefix = fmt.Sprintf("v%d", version), fmt.Sprintf("/v%d/", version)
	return q
}

func (s *site) caller(g *node, q queues.Queue) standin.Client {
	return standin.Client{Address: g.callers, Queue: q}
}

// close kills what still runs.
func (s *site) close() {
	for _, p := range s.processes() {
		p.Resume()
		p.Kill()
		if out, log := p.Output(); harness.ContainsRace(log) || strings.Contains(log, "panic:") {
			s.t.Errorf("%s: %s\n%s", p.Name, log, out[max(0, len(out)-logTail):])
		}
	}
	s.net.Close()
}

// keepLogs writes the logs of a failed seed where the test's output says.
func (s *site) keepLogs(began time.Time) {
	dir, err := os.MkdirTemp("", "rhubarbsail-soak-")
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, n := range s.nodes() {
		out, _ := n.Output()
		if err := os.WriteFile(filepath.Join(dir, n.Name+".log"), []byte(out), 0o600); err != nil {
			s.t.Error(err)
		}
	}
	s.t.Logf("began at %s; logs are in %s", began.Format(time.RFC3339Nano), dir)
}
