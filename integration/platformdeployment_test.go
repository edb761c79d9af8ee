package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/daemon"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

// platformDeployment is a deployment that serves restartable jobs. Its gateways and
// agents run in the test process, with stand-ins for the platform's store and
// targets.
type platformDeployment struct {
	t         *testing.T
	store     *standin.Store
	storeAddr string
	// rejectGateways is set while the store answers gateways with 503. It serves agents
	// on.
	rejectGateways atomic.Bool
	gateways       []*platformDaemon
	agents         []*platformDaemon
	targets        []*standin.Target
	// servers serve the targets, in the same order.
	servers []*standin.TargetServer
}

// platformDaemon is one gateway or agent. stop starts its planned stop; done is closed
// when it has ended.
type platformDaemon struct {
	node *platform.Node
	run  func(ctx context.Context, n *platform.Node, log zerolog.Logger) error
	stop context.CancelFunc
	done chan struct{}
}

func (p *platformDaemon) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.done = cancel, make(chan struct{})
	go func() {
		defer close(p.done)
		if err := p.run(ctx, p.node, zerolog.Nop()); err != nil {
			t.Errorf("%s: %v", p.node.Name, err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-p.done
	})
}

var platformQueue = queues.Queue{
	Name: "r", Host: "h", PathPrefix: "/p/", Service: "s", MaxAttempts: 3, Timeout: 3 * time.Second,
	TargetLatency: 500 * time.Millisecond, StretchFactor: 2,
}

// targetZone returns the availability zone of the target with an index. Each target
// has its own.
func targetZone(i int) string { return fmt.Sprintf("z%d", i) }

// freeAddress returns an address on loopback that no outgoing connection can take
// before the daemon listens on it.
func freeAddress(t *testing.T) string {
	a, err := harness.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// serve serves a stand-in until the test ends and returns its address.
func serve(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func newPlatformDeployment(t *testing.T, gateways, targets int, adjust ...func(x *standin.Target)) *platformDeployment {
	s := &platformDeployment{t: t, store: standin.NewStore()}
	s.storeAddr = serve(t, s.store.Handler())
	gatewayStoreAddr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.rejectGateways.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.Handler().ServeHTTP(w, r)
	}))
	s.store.PutQueue(1, platformQueue)
	bounds := platform.Bounds{GracePeriod: 4 * time.Second, RemoteFactor: 1.5}
	var seeds []string
	for i := range gateways {
		n := &platform.Node{
			Name: fmt.Sprintf("gateway-%d", i), Zone: "z", ClientAddr: freeAddress(t), ReadinessAddr: freeAddress(t),
			LinkAddr: freeAddress(t), InternalAddr: "x", MetricsAddr: freeAddress(t), StoreAddr: gatewayStoreAddr, Bounds: bounds,
		}
		seeds = append(seeds, n.LinkAddr)
		n.Seeds = seeds
		p := &platformDaemon{node: n, run: daemon.RunPlatformGateway}
		s.gateways = append(s.gateways, p)
		p.start(t)
	}
	for i := range targets {
		x := standin.NewTarget(fmt.Sprintf("i-%d", i), 4000)
		for _, a := range adjust {
			a(x)
		}
		s.targets = append(s.targets, x)
		server, err := standin.ServeTarget(x)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		s.servers = append(s.servers, server)
		n := &platform.Node{
			Name: fmt.Sprintf("agent-%d", i), Zone: targetZone(i), InternalAddr: freeAddress(t), MetricsAddr: freeAddress(t),
			StoreAddr: s.storeAddr, Seeds: seeds[:1], TargetAddr: server.Address(), Bounds: bounds,
		}
		p := &platformDaemon{node: n, run: daemon.RunPlatformAgent}
		s.agents = append(s.agents, p)
		p.start(t)
		s.startHeartbeats(n.InternalAddr, x)
	}
	for _, g := range s.gateways {
		s.awaitReady(g)
	}
	return s
}

// startHeartbeats sends the target's heartbeats to its agent until the test ends.
func (s *platformDeployment) startHeartbeats(agent string, x *standin.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { x.SendHeartbeats(ctx, agent, platformQueue.Service, 50*time.Millisecond) })
	s.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (s *platformDeployment) awaitReady(p *platformDaemon) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if standin.Ready(s.t.Context(), p.node.ReadinessAddr) {
			return
		}
	}
	s.t.Fatalf("%s is not ready", p.node.Name)
}

func (s *platformDeployment) client(gateway int) standin.Client {
	return standin.Client{Address: s.gateways[gateway].node.ClientAddr, Queue: platformQueue}
}

// submit submits a job to a gateway and returns the HTTP status and the job's state.
func (s *platformDeployment) submit(gateway int, id, spec string, tasks int) (int, string) {
	return s.client(gateway).Submit(s.t.Context(), standin.Job{ID: id, Spec: spec, Tasks: tasks})
}

// crashes returns the number of crashes of all targets.
func (s *platformDeployment) crashes() int {
	n := 0
	for _, x := range s.targets {
		n += x.Crashes()
	}
	return n
}

func (s *platformDeployment) checkNoViolations() {
	s.t.Helper()
	for _, x := range s.targets {
		for _, v := range x.Violations() {
			s.t.Errorf("%s: %s", x.ID, v)
		}
	}
}

// awaitJobs submits jobs of three tasks to both gateways in turn until ten in a row are
// answered with a status and the number of tasks that they start on a target is as
// wanted. The time limit is only reached if the test fails.
func (s *platformDeployment) awaitJobs(what string, status, target int, wanted func(starts int) bool) {
	s.t.Helper()
	const jobs = 10
	deadline := time.Now().Add(30 * time.Second)
	for n, inRow, before := 0, 0, len(s.targets[target].Starts()); time.Now().Before(deadline); n++ {
		got, _ := s.submit(n%2, fmt.Sprintf("%s-%d", what, n), "ms=20", 3)
		starts := len(s.targets[target].Starts())
		inRow++
		if got != status || !wanted(starts-before) {
			inRow, before = 0, starts
		}
		if inRow == jobs {
			return
		}
	}
	s.t.Fatalf("%s: not seen for %d jobs in a row within 30 s", what, jobs)
}

// awaitQueueVersion waits until all gateways have applied a version of the
// configuration.
func (s *platformDeployment) awaitQueueVersion(version int) {
	s.t.Helper()
	want := regexp.MustCompile(fmt.Sprintf(`queues_version(\{.*\})? %d\b`, version))
	for _, g := range s.gateways {
		for end := time.Now().Add(30 * time.Second); !want.MatchString(s.metrics(g)); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				s.t.Fatalf("%s has not applied version %d within 30 s", g.node.Name, version)
			}
		}
	}
}

// metrics returns what a daemon serves on its metrics address, or nothing if that
// fails.
func (s *platformDeployment) metrics(p *platformDaemon) string {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+p.node.MetricsAddr+"/metrics", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(data)
}

// checkNoOverlap requires that no two runs of a task overlap, on all targets.
func (s *platformDeployment) checkNoOverlap() {
	s.t.Helper()
	byTask := map[string][]standin.Run{}
	for _, x := range s.targets {
		for _, r := range x.Runs() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for _, runs := range byTask {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
		for i, r := range runs[1:] {
			if before := runs[i]; before.Ended.IsZero() || r.Started.Before(before.Ended) {
				s.t.Errorf("two runs at a time: %+v and %+v", before, r)
			}
		}
	}
}

// awaitRun waits until a task runs and returns the index of its target.
func (s *platformDeployment) awaitRun() int {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for i, x := range s.targets {
			if x.Running() > 0 {
				return i
			}
		}
	}
	s.t.Fatal("no task runs")
	return 0
}
