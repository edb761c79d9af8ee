package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and bounds of the deployment, which are those of a small site.
const (
	gatewayCount = 4
	graceS       = 6
	cancelMS     = 3000
	contactMS    = 3000
	retransmitMS = 1300
	// restartDelay is the time after which the platform starts a process again that has
	// ended.
	restartDelay = 500 * time.Millisecond
	queueHost    = "nony24.example"
	queuePrefix  = "/lohu930/"
	// readyTimeout limits the start of the deployment.
	readyTimeout = 20 * time.Second
)

// Ports, which are the same on all machines, and the metrics port of the deploy file.
const (
	frontendPort, readinessPort, controlPort, appPort, storePort, metricsPort = 8161, 8167, 8166, 8145, 8169, 9464
)

// deployment is a small deployment with stand-ins for the store and the executors.
type deployment struct {
	record    *record
	dir       string
	net       int // the second number of all loopback addresses
	store     *store
	gateways  []*process
	agents    []*process
	executors []*executor
	options   options
	stopped   chan struct{}
	servers   []*http.Server
	// links holds the proxies in front of the gateways' control addresses and of the store,
	// or nil if there are none.
	links *network
}

// linkAddress returns the address at which other processes reach a gateway.
func (d *deployment) linkAddress(gateway int) string {
	if d.links == nil {
		return d.address(classGateway, gateway, controlPort)
	}
	return d.address(classProxy, gateway, controlPort)
}

// storeAddress returns the address at which a process reaches the store.
func (d *deployment) storeAddress(class, machine int) string {
	if d.links == nil {
		return d.address(classStore, 0, storePort)
	}
	return d.address(classProxy, 10*class+machine, storePort)
}

// startProxies starts the proxies of a deployment with links.
func (d *deployment) startProxies() error {
	if d.links == nil {
		return nil
	}
	for i := range gatewayCount {
		name := processName("gateway", i)
		if err := d.links.proxy(d.linkAddress(i), d.address(classGateway, i, controlPort), "", name); err != nil {
			return err
		}
		if err := d.links.proxy(d.storeAddress(classGateway, i), d.address(classStore, 0, storePort), name, "store"); err != nil {
			return err
		}
	}
	for i := range d.options.agents {
		if err := d.links.proxy(d.storeAddress(classAgent, i), d.address(classStore, 0, storePort), processName("agent", i), "store"); err != nil {
			return err
		}
	}
	return nil
}

func processName(role string, machine int) string { return fmt.Sprintf("%s-%d", role, machine+1) }

// address returns a loopback address of a machine.
func (d *deployment) address(class, machine, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.net, class, machine+1, port)
}

// options select what a deployment has.
type options struct {
	// agents is the number of agents and executors.
	agents int
	// links is set if there are proxies between the processes.
	links bool
}

// Classes of machines.
const (
	classGateway = 1
	classAgent   = 2
	classStore   = 3
	classProxy   = 4
)

func newDeployment(r *record, o options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, options: o, store: newStore(), stopped: make(chan struct{})}
	if o.links {
		d.links = newNetwork(d)
	}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
	if err := d.findNet(); err != nil {
		return err
	}
	d.putConfig(1, batchScanRoute, drumLookupRoute)
	if err := d.serve(d.address(classStore, 0, storePort), d.store.handler()); err != nil {
		return err
	}
	if err := d.startProxies(); err != nil {
		return err
	}
	for i := range gatewayCount {
		p, err := d.newProcess("gateway", classGateway, i, "target/platform-gateway")
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, p)
	}
	for i := range d.options.agents {
		app := d.address(classAgent, i, appPort)
		x := newExecutor(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("r1-%d", i), d.address(classAgent, i, controlPort), d.record)
		if err := d.serve(app, x.handler()); err != nil {
			return err
		}
		d.executors = append(d.executors, x)
		p, err := d.newProcess("agent", classAgent, i, "target/platform-agent")
		if err != nil {
			return err
		}
		d.agents = append(d.agents, p)
		go x.watchLease(d.stopped)
	}
	for _, p := range append(append([]*process{}, d.gateways...), d.agents...) {
		if err := p.start(); err != nil {
			return err
		}
		go p.keepRunning()
	}
	time.Sleep(200 * time.Millisecond)
	for i, x := range d.executors {
		go x.sendHeartbeats(d.address(classAgent, i, appPort), d.stopped)
	}
	return d.awaitReady()
}

// findNet chooses loopback addresses of which no port is in use.
func (d *deployment) findNet() error {
	for range 50 {
		d.net = 64 + rand.IntN(180)
		if d.isFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (d *deployment) isFree() bool {
	for _, class := range []int{classGateway, classAgent, classStore} {
		for machine := range max(gatewayCount, d.options.agents) {
			for _, port := range []int{frontendPort, readinessPort, controlPort, appPort, storePort, metricsPort} {
				l, err := net.Listen("tcp", d.address(class, machine, port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// putConfig writes a configuration as the operator does, with the given routes.
func (d *deployment) putConfig(version int, names ...string) {
	var routes []string
	for _, name := range names {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"timeout_ms":1500,"target_latency_ms":60,"priority":2,`+
			`"service":%q,"max_attempts":4,"stretch_factor":1.6}`, name, queueHost, routePrefixes[name], serviceName))
	}
	d.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q}],"limits":{"max_body_bytes":262144}}`,
		version, strings.Join(routes, ","), serviceName))
}

// Names of routes.
const (
	batchScanRoute  = "batch-scan"
	drumLookupRoute = "drum-lookup"
)

var routePrefixes = map[string]string{batchScanRoute: queuePrefix, drumLookupRoute: "/volo102/"}

// serve serves a stand-in.
func (d *deployment) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// awaitReady waits until all gateways have been ready for two seconds.
func (d *deployment) awaitReady() error {
	since := time.Now()
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		for i := range d.gateways {
			if !d.ready(i) {
				since = time.Now()
			}
		}
		if time.Since(since) > 2*time.Second {
			d.record.line("all gateways are ready")
			return nil
		}
	}
	return errors.New("the gateways do not become ready")
}

var checkClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks a gateway whether it is ready, as the platform does.
func (d *deployment) ready(gateway int) bool {
	resp, err := checkClient.Get("http://" + d.address(classGateway, gateway, readinessPort) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// starts returns all starts of all executors.
func (d *deployment) starts() []taskStart {
	var all []taskStart
	for _, x := range d.executors {
		all = append(all, x.started()...)
	}
	return all
}

func (d *deployment) close() {
	close(d.stopped)
	for _, p := range append(append([]*process{}, d.gateways...), d.agents...) {
		p.end()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.links != nil {
		d.links.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// process is one of the project's programs, which the platform starts again whenever it
// ends.
type process struct {
	name, program, settings, log string
	args                         []string
	record                       *record

	mu  sync.Mutex // guards the fields below
	cmd *exec.Cmd
	// ended is closed when the present process has ended. startedAt is when it was
	// started.
	ended     chan struct{}
	startedAt time.Time
	closing   bool
}

func (d *deployment) newProcess(role string, class, machine int, program string) (*process, error) {
	name := processName(role, machine)
	ip := fmt.Sprintf("127.%d.%d.%d", d.net, class, machine+1)
	listen := map[string]string{"control": d.address(class, machine, controlPort)}
	cpu, memory, fds := 0.24, 152, 4096
	serves := []string{"side"}
	if class == classGateway {
		listen["frontend"], listen["readiness"] = d.address(class, machine, frontendPort), d.address(class, machine, readinessPort)
		cpu, memory, fds = 0.4, 284, 4100
		serves = []string{"frontend", "control_plane"}
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, d.linkAddress(i))
	}
	settings := map[string]any{
		"node_name": name, "role": role, "serves": serves, "ip": ip, "zone": "bkk-a", "region": "th-central",
		"zones": map[string]string{"bkk-a": "th-central"}, "listen": listen, "seeds": seeds, "bootstrap": true,
		"limits":   map[string]any{"cpu_share": cpu, "cores": 1, "memory_mb": memory, "max_fds": fds, "link_mbps": 1000, "disk_mb": 0},
		"data_dir": nil, "discovery": "local", "entry": "vip", "heartbeat_ms": heartbeatMS, "control_mode": "invoke",
		"bounds": map[string]any{
			"contact_ms": contactMS, "ack_ms": 4000, "drain_ms": 2000, "grace_s": graceS, "loss_slack_ms": 200, "config_apply_ms": 2000,
			"max_hold_ms": maxHoldMS, "kill_grace_ms": killGraceMS, "cancel_ms": cancelMS, "retransmit_ms": retransmitMS, "remote_factor": 1.5,
		},
		"platform": map[string]any{"address": d.storeAddress(class, machine), "form": "log", "writes_per_s": 800, "reads_per_s": 2000},
	}
	if class == classAgent {
		settings["app"] = d.address(class, machine, appPort)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, program: program, settings: filepath.Join(d.dir, name+".json"), log: filepath.Join(d.dir, name+".log"), record: d.record}
	if class == classGateway && d.links != nil {
		p.args = []string{"--advertise-link", d.linkAddress(machine)}
	}
	return p, os.WriteFile(p.settings, data, 0o600)
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Env = append(os.Environ(), "RHUBARBSAIL_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.startedAt, p.ended = time.Now(), make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(p.cmd, p.ended)
	p.record.line("%s is started", p.name)
	return nil
}

// present returns the channel that is closed when the present process has ended, and when
// it was started.
func (p *process) present() (ended chan struct{}, startedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended, p.startedAt
}

// keepRunning starts the process again whenever it has ended.
func (p *process) keepRunning() {
	for {
		ended, _ := p.present()
		<-ended
		p.mu.Lock()
		closing := p.closing
		p.mu.Unlock()
		if closing {
			return
		}
		p.record.line("%s has ended", p.name)
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			p.record.line("%s cannot be started: %v", p.name, err)
			return
		}
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// period.
func (p *process) terminate() {
	ended, _ := p.present()
	p.record.line("SIGTERM to %s", p.name)
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceS * time.Second):
		p.record.line("SIGKILL to %s", p.name)
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// pid returns the id of the present process, or 0.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end kills the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.closing = true
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
}
