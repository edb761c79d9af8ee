package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

const (
	targetCPU         = 8000
	heartbeatInterval = 100 * time.Millisecond
	startTimeout      = 30 * time.Second
	grace             = 6 * time.Second
	// metricsPort is the port on which the platform's programs serve their metrics.
	metricsPort = "9464"
	// submissions is how often an ordinary caller submits its job at most, resendAfter
	// the time after which it submits again.
	submissions = 3
	resendAfter = 1300 * time.Millisecond
)

var jobQueue = queues.Queue{
	Name: "r", Host: "h", PathPrefix: "/p/", Service: "s", MaxAttempts: 3, Timeout: 20 * time.Second,
	TargetLatency: 500 * time.Millisecond, StretchFactor: 2,
}

// deployment is a gateway and an agent of restartable jobs as processes, with stand-ins
// for the platform's store and target.
type deployment struct {
	t              *testing.T
	store          *standin.Store
	gateway, agent *harness.Process
	gatewayNode    platform.Node
	agentNode      platform.Node
	bound          resources
}

func startDeployment(t *testing.T, r resources) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(), bound: r}
	d.store.PutQueue(1, jobQueue)
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: d.store.Handler()}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	target := standin.NewTarget("i-0", targetCPU)
	targetServer, err := standin.ServeTargetAt(target, freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(targetServer.Close)
	bounds := platform.Bounds{GracePeriod: grace, RemoteFactor: 1.5}
	link := freeAddress(t)
	d.gatewayNode = platform.Node{
		Name: "gateway", Zone: "z", ClientAddr: freeAddress(t), ReadinessAddr: freeAddress(t), LinkAddr: link, MetricsAddr: "127.0.96.1:" + metricsPort,
		Seeds: []string{link}, StoreAddr: l.Addr().String(), Bounds: bounds,
	}
	d.agentNode = platform.Node{
		Name: "agent", Zone: "z", InternalAddr: freeAddress(t), MetricsAddr: "127.0.96.2:" + metricsPort, Seeds: []string{link},
		StoreAddr: l.Addr().String(), TargetAddr: targetServer.Address(), Bounds: bounds,
	}
	d.gateway = d.start("platform-gateway", d.gatewayNode)
	d.agent = d.start("platform-agent", d.agentNode)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { target.SendHeartbeats(ctx, d.agentNode.InternalAddr, jobQueue.Service, heartbeatInterval) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	d.await("the gateway is ready", func() bool { return standin.Ready(t.Context(), d.gatewayNode.ReadinessAddr) })
	return d
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := harness.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (d *deployment) start(program string, n platform.Node) *harness.Process {
	d.t.Helper()
	env, err := standin.WriteSettingsOn(filepath.Join(d.t.TempDir(), n.Name+".json"), n,
		standin.Machine{MemoryMB: d.bound.memoryMB, Descriptors: d.bound.descriptors})
	if err != nil {
		d.t.Fatal(err)
	}
	p := harness.NewProcess(n.Name, program, nil, env)
	if err := p.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(p.Kill)
	return p
}

// await fails the test if the condition does not become true. The limit is only reached
// if the test fails.
func (d *deployment) await(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(startTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not true after %v: %s", startTimeout, what)
		}
	}
}

// checkJob fails the test if the job of an ordinary caller is not completed, also if it
// is submitted again as callers do.
func (d *deployment) checkJob(when string) {
	d.t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := standin.Client{Address: d.gatewayNode.ClientAddr, Queue: jobQueue, HTTPClient: &http.Client{Transport: transport}}
	var status int
	var state string
	for range submissions {
		if status, state = client.Submit(d.t.Context(), standin.Job{ID: "1", Spec: "ms=20", Tasks: 1}); status == http.StatusOK {
			return
		}
		time.Sleep(resendAfter)
	}
	d.t.Errorf("%s: a job is answered with %d %s", when, status, state)
}

// answers reports whether a GET is answered with 200.
func answers(t *testing.T, url string) bool {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkAnswers fails the test if a GET is not answered with 200.
func (d *deployment) checkAnswers(when, url string) {
	d.t.Helper()
	for range submissions {
		if answers(d.t, url) {
			return
		}
		time.Sleep(resendAfter)
	}
	d.t.Errorf("%s: %s is not answered", when, url)
}

// callersPath is the path of a submission.
const callersPath = "/p/1"

// Guards against a gateway whose memory or descriptors are exhausted by callers that
// send most of a request of legal size and stay open.
func TestCallersOfGateway(t *testing.T) {
	kinds := []struct {
		name    string
		clients int
		on      resources
		request request
	}{
		{"short header lines", headerClients, machine, shortHeaderLines(callersPath)},
		{"short header lines of a second request", headerClients, machine, secondHeader(callersPath)},
		{"odd header lines", headerClients, machine, oddHeaderLines(callersPath)},
		{"whole bodies", bodyClients, machine, wholeBody(callersPath, bodyBytes)},
		{"bodies in pieces", bodyClients, machine, bodyInPieces(callersPath, bodyBytes)},
		{"large chunks", bodyClients, machine, chunkedBody(callersPath, bodyBytes, largeChunkBytes)},
		{"small chunks", bodyClients, machine, chunkedBody(callersPath, bodyBytes, smallChunkBytes)},
		{"complete bodies of many steps", stepClients, machine, manySteps(callersPath)},
		{"connections", headerClients, machineWithFewFD, request{parts: [][]byte{[]byte("POST ")}}},
		{"few bytes of a body", headerClients, machineWithFewFD, chunkedBody(callersPath, smallChunkBytes, smallChunkBytes)},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			d := startDeployment(t, k.on)
			d.checkJob("before the crowd")
			w := startWatch(t, d.gateway, k.on)
			c := startCrowd(t, d.gatewayNode.ClientAddr, k.clients, k.request)
			d.checkJob("while the crowd is there")
			c.leave()
			d.checkJob("after the crowd")
			w.check()
		})
	}
}

// Guards against other listeners of the gateway, and those of the agent, that have no
// limits: a client that may reach callers' listeners may reach them too.
func TestOtherListeners(t *testing.T) {
	const (
		rpcPath       = "/rhubarbsail.restart.v1.DispatchService/Introduce"
		heartbeatPath = "/api/instances/i-9/heartbeat"
	)
	listeners := []struct {
		name    string
		agent   bool
		address func(*deployment) string
		clients int
		on      resources
		request request
	}{
		{"link, headers", false, func(d *deployment) string { return d.gatewayNode.LinkAddr }, headerClients, machine, oddHeaderLines(rpcPath)},
		{"link, connections", false, func(d *deployment) string { return d.gatewayNode.LinkAddr }, headerClients, machineWithFewFD, chunkedBody(rpcPath, smallChunkBytes, smallChunkBytes)},
		{"readiness", false, func(d *deployment) string { return d.gatewayNode.ReadinessAddr }, headerClients, machineWithFewFD, oddHeaderLines("/api/readyz")},
		{"metrics of the gateway", false, func(d *deployment) string { return d.gatewayNode.MetricsAddr }, headerClients, machineWithFewFD, oddHeaderLines("/metrics")},
		{"heartbeats, bodies", true, func(d *deployment) string { return d.agentNode.InternalAddr }, heartbeatClients, machine, wholeBody(heartbeatPath, heartbeatBytes)},
		{"heartbeats, headers", true, func(d *deployment) string { return d.agentNode.InternalAddr }, headerClients, machineWithFewFD, shortHeaderLines(heartbeatPath)},
		{"metrics of the agent", true, func(d *deployment) string { return d.agentNode.MetricsAddr }, headerClients, machineWithFewFD, oddHeaderLines("/metrics")},
	}
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			d := startDeployment(t, l.on)
			process, metrics := d.gateway, d.gatewayNode.MetricsAddr
			if l.agent {
				process, metrics = d.agent, d.agentNode.MetricsAddr
			}
			checkAll := func(when string) {
				t.Helper()
				d.checkJob(when)
				d.checkAnswers(when, fmt.Sprintf("http://%s/api/readyz", d.gatewayNode.ReadinessAddr))
				d.checkAnswers(when, fmt.Sprintf("http://%s/metrics", metrics))
			}
			checkAll("before the crowd")
			w := startWatch(t, process, l.on)
			c := startCrowd(t, l.address(d), l.clients, l.request)
			checkAll("while the crowd is there")
			c.leave()
			checkAll("after the crowd")
			w.check()
		})
	}
}
