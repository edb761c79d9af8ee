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
	gatewayCount = 3
	agentCount   = 4
	// zoneCount is the number of availability zones of the agents.
	zoneCount = 2
	// seedsMax bounds the number of seed gateways in the settings of a process.
	seedsMax = 3
	// targetCPU is the CPU capacity of a target, enough for eight concurrent tasks.
	targetCPU = 8000
	// slowClock is the lowest rate that the platform allows for a target's clock.
	slowClock         = 0.98
	heartbeatInterval = 100 * time.Millisecond
	startTimeout      = 20 * time.Second
	// grace is the time that a process has to exit after SIGTERM, as in
	// production deployments.
	grace = 6 * time.Second
	// slack is added to time limits, since a loaded machine with the race detector
	// is slower than a production deployment.
	slack     = 1500 * time.Millisecond
	storeName = "store"
	// logTail is the number of bytes of its stdout that are shown for a process
	// with a data race or a panic.
	logTail = 2000
)

var jobQueue = queues.Queue{
	Name: "r", Host: "h", PathPrefix: "/p/", Service: "s", MaxAttempts: 3, Timeout: 1500 * time.Millisecond,
	TargetLatency: 500 * time.Millisecond, StretchFactor: 2,
}

// system is one deployment under test: gateways and agents as separate processes,
// with stand-ins for the platform's store and targets.
type system struct {
	t        *testing.T
	dir      string
	net      *harness.Network
	store    *standin.Store
	gateways []*node
	agents   []*node

	mu      sync.Mutex // owns the fields below
	created []*harness.Process
	version uint64
	queues  []queues.Queue
	// zoneDrains are the drains of zones so far, storeOutages the times in which the
	// store answered nobody.
	zoneDrains   []zoneDrain
	storeOutages []interval
	// published holds the time after which each version of the configuration is in the
	// store.
	published map[uint64]time.Time

	// rejectGateways is set while the store answers gateways with 503, but not agents.
	rejectGateways atomic.Bool
}

// node is a gateway or an agent with its addresses and its faults.
type node struct {
	*harness.Process
	clientAddr, readinessAddr, internalAddr string
	// zone, target, targetServer and calls are set for agents only.
	zone         string
	target       *standin.Target
	targetServer *standin.TargetServer
	calls        *callFaults
	// lifecycle is held while the process is stopped and restarted.
	lifecycle sync.Mutex
	// inRotation tells whether callers open new connections to the gateway.
	inRotation atomic.Bool

	mu sync.Mutex // owns the fields below
	// faultIntervals are the times in which callers may see missing or late answers,
	// stopIntervals those from SIGTERM to the exit of the process.
	faultIntervals, stopIntervals []interval
	// storeCuts are the times in which the process is cut off from the store.
	storeCuts []interval
}

type interval struct{ from, to time.Time }

// zoneDrain is one drain of an availability zone, from the store's acknowledgment of
// its start to just before its end is written; to is zero while it lasts.
type zoneDrain struct {
	zone string
	interval
}

// beginFault marks the process as affected by a fault. The returned function marks
// the end of the fault; the process counts as affected for slack after it.
func (n *node) beginFault() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.faultIntervals)
	n.faultIntervals = append(n.faultIntervals, interval{time.Now(), time.Now().Add(time.Hour)})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.faultIntervals[i].to = time.Now().Add(slack)
	}
}

// beginStop marks the process as stopping as planned until the returned function is
// called.
func (n *node) beginStop() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.stopIntervals)
	n.stopIntervals = append(n.stopIntervals, interval{time.Now(), time.Now().Add(time.Hour)})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.stopIntervals[i].to = time.Now()
	}
}

// hadFault reports whether a fault affected the process between from and to.
func (n *node) hadFault(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return overlapsAny(n.faultIntervals, from, to)
}

// wasStopping reports whether the process was stopping as planned between from and to.
func (n *node) wasStopping(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return overlapsAny(n.stopIntervals, from, to)
}

// beginStoreCut marks the process as cut off from the store until the returned function
// is called, and for slack after it.
func (n *node) beginStoreCut() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.storeCuts)
	n.storeCuts = append(n.storeCuts, interval{time.Now(), time.Now().Add(time.Hour)})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.storeCuts[i].to = time.Now().Add(slack)
	}
}

// wasCutFromStore reports whether the process was cut off from the store between from
// and to.
func (n *node) wasCutFromStore(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return overlapsAny(n.storeCuts, from, to)
}

func overlapsAny(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool { return i.from.Before(to) && from.Before(i.to) })
}

func startSystem(t *testing.T, size int, seed uint64) *system {
	s := &system{t: t, dir: t.TempDir(), store: standin.NewStore(), published: map[uint64]time.Time{}}
	s.net = harness.NewNetwork(s.processes)
	t.Cleanup(s.close)
	s.newConfig(0)
	store := s.serve(s.store.Handler())
	storeRelay := s.relay(storeName, store)
	gatewayStoreRelay := s.relay(storeName, s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.rejectGateways.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.Handler().ServeHTTP(w, r)
	})))
	var seeds []string
	for i := range gatewayCount * size {
		n := platform.Node{
			Name: fmt.Sprintf("gateway-%d", i), ClientAddr: s.freeAddress(), ReadinessAddr: s.freeAddress(), LinkAddr: s.freeAddress(), StoreAddr: gatewayStoreRelay,
		}
		relay := s.relay(n.Name, n.LinkAddr)
		seeds = append(seeds, relay)
		n.Seeds = seeds[:min(len(seeds), seedsMax)]
		n.FairShares = fairSharesOf(seed, i)
		g := &node{clientAddr: n.ClientAddr, readinessAddr: n.ReadinessAddr}
		g.Process = s.newProcess("platform-gateway", n, "--advertise-link", relay)
		s.gateways = append(s.gateways, g)
	}
	for i := range agentCount * size {
		a := &node{
			zone: fmt.Sprintf("z%d", i%zoneCount), internalAddr: s.freeAddress(), target: standin.NewTarget(fmt.Sprintf("i-%d", i), targetCPU),
			calls: &callFaults{random: rand.New(rand.NewPCG(seed, uint64(i)+callsStream))},
		}
		a.target.Fault, a.target.FaultDelay, a.target.LongFaultDelay = a.calls.draw, lateCallDelay, a.calls.longDelay
		a.targetServer = s.serveTarget(a.target)
		if i%2 == 0 {
			a.target.ClockRate = slowClock
		}
		a.Process = s.newProcess("platform-agent", platform.Node{
			Name: fmt.Sprintf("agent-%d", i), Zone: a.zone, InternalAddr: a.internalAddr, StoreAddr: storeRelay, TargetAddr: a.targetServer.Address(),
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
		s.startHeartbeats(a)
	}
	began := time.Now()
	for _, g := range s.gateways {
		s.await(startTimeout, g.Name+" is ready", func() bool { return standin.Ready(t.Context(), g.readinessAddr) })
	}
	if t.Failed() {
		s.writeLogs(began)
		t.FailNow()
	}
	return s
}

func (s *system) nodes() []*node { return append(append([]*node(nil), s.gateways...), s.agents...) }

func (s *system) processes() []*harness.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.created)
}

func (s *system) freeAddress() string {
	a, err := harness.FreeAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return a
}

func (s *system) relay(name, address string) string {
	a, err := s.net.Relay(name, address)
	if err != nil {
		s.t.Fatal(err)
	}
	return a
}

// serve serves a stand-in until the test ends and returns its address.
func (s *system) serve(h http.Handler) string {
	l, err := net.Listen("tcp", s.freeAddress())
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// serveTarget serves a target until the test ends.
func (s *system) serveTarget(x *standin.Target) *standin.TargetServer {
	server, err := standin.ServeTargetAt(x, s.freeAddress())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	return server
}

// newProcess writes the settings file of a process and returns the process, which
// has not been started.
func (s *system) newProcess(program string, n platform.Node, args ...string) *harness.Process {
	n.Zone, n.Bounds = cmp.Or(n.Zone, "z0"), platform.Bounds{GracePeriod: grace, RemoteFactor: 1.5}
	n.MetricsAddr = s.metricsAddress(cmp.Or(n.LinkAddr, n.InternalAddr))
	environment, err := standin.WriteSettings(filepath.Join(s.dir, n.Name+".json"), n)
	if err != nil {
		s.t.Fatal(err)
	}
	p := harness.NewProcess(n.Name, program, args, environment)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.created = append(s.created, p)
	return p
}

// metricsAddress returns the metrics address for the process that listens at
// address. Its loopback host is unique to the process, since the metrics port is
// the same for all processes.
func (s *system) metricsAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		s.t.Fatal(err)
	}
	host := netip.AddrFrom4([4]byte{127, byte(a.Port() >> 8), byte(a.Port()), 1})
	return netip.AddrPortFrom(host, a.Port()).String()
}

func (s *system) startHeartbeats(a *node) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { a.target.SendHeartbeats(ctx, a.internalAddr, jobQueue.Service, heartbeatInterval) })
	s.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// await fails the test if the condition does not become true within the limit.
func (s *system) await(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Errorf("not true after %v: %s", limit, what)
			return
		}
	}
}

// newConfig writes the next version of the configuration to the store. It contains
// jobQueue, whose timeout is extended by timeoutChange, and a queue named after
// each version up to this one, by which a gateway's version can be observed.
func (s *system) newConfig(timeoutChange time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	main := jobQueue
	main.Timeout += timeoutChange
	s.queues = append(s.queues, versionQueue(s.version))
	s.store.PutQueues(s.version, append([]queues.Queue{main, chainQueue}, s.queues...))
	s.published[s.version] = time.Now()
}

// isOverdue reports whether a gateway has to have applied a version by now: the version
// was published longer ago than users allow, and meanwhile the gateway ran, had a path to
// the store, and the store was not down.
func (s *system) isOverdue(g *node, version uint64) bool {
	s.mu.Lock()
	from := s.published[version]
	storeDown := overlapsAny(s.storeOutages, from, time.Now())
	s.mu.Unlock()
	return time.Since(from) > configApplyMax+slack && !storeDown && !g.hadFault(from, time.Now()) &&
		!g.wasStopping(from, time.Now()) && !g.wasCutFromStore(from, time.Now())
}

func (s *system) newestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func versionQueue(version uint64) queues.Queue {
	q := jobQueue
	q.Name, q.PathPrefix = fmt.Sprintf("v%d", version), fmt.Sprintf("/v%d/", version)
	return q
}

func (s *system) caller(g *node, q queues.Queue) standin.Client {
	return standin.Client{Address: g.clientAddr, Queue: q}
}

// close kills all processes and reports data races and panics in their logs.
func (s *system) close() {
	for _, p := range s.processes() {
		p.Resume()
		p.Kill()
		if out, log := p.Output(); harness.ContainsRace(log) || strings.Contains(log, "panic:") {
			s.t.Errorf("%s: %s\n%s", p.Name, log, out[max(0, len(out)-logTail):])
		}
	}
	s.net.Close()
}

// writeLogs writes what all processes wrote to stdout and stderr to a directory that
// the test log names.
func (s *system) writeLogs(began time.Time) {
	dir, err := os.MkdirTemp("", "rhubarbsail-soak-")
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, n := range s.nodes() {
		out, errOut := n.Output()
		for name, text := range map[string]string{n.Name + ".log": out, n.Name + ".stderr": errOut} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				s.t.Error(err)
			}
		}
	}
	s.t.Logf("started at %s; process logs are in %s", began.Format(time.RFC3339Nano), dir)
}
