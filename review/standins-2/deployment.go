package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	clockFormat = "15:04:05.000"
	service     = "svc-1"
	host        = "jobs.example"
)

// deployment is a small deployment on loopback addresses: the project's programs as
// processes of their own, with stand-ins for the platform.
type deployment struct {
	repository, dir string
	store           *store
	storeAddress    string
	gateways        []*process
	agents          []*process
	executors       []*executor
	stop            chan struct{}
	version         int
}

// process is one of the project's programs.
type process struct {
	name, program, settings, ip string
	listen                      map[string]string
	cmd                         *exec.Cmd
	ended                       chan struct{}
}

// ipOf returns a loopback address for the n-th machine: the metrics port is the same on
// all machines.
func ipOf(n int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256, n) }

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// cannot ends the program because the case cannot be run.
func cannot(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot be run:", err)
	cleanUp()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		cannot(err)
	}
}

var present *deployment

// cleanUp ends all processes that were started.
func cleanUp() {
	if present == nil {
		return
	}
	for _, p := range append(present.gateways, present.agents...) {
		p.kill()
	}
	_ = os.RemoveAll(present.dir)
}

// newDeployment starts gateways and, for each executor, its agent.
func newDeployment(repository string, gateways int, executors ...*executor) *deployment {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	d := &deployment{repository: repository, dir: dir, store: newStore(), stop: make(chan struct{}), executors: executors}
	present = d
	l, err := net.Listen("tcp", ipOf(250)+":0")
	check(err)
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	zones := []string{"zone-a", "zone-b"}
	var seeds []string
	for i := range gateways {
		p := &process{name: "gateway-" + strconv.Itoa(i+1), program: "platform-gateway", ip: ipOf(1 + i), listen: map[string]string{}}
		for _, k := range []string{"frontend", "readiness", "control"} {
			p.listen[k] = freeAddress(p.ip)
		}
		seeds = append(seeds, p.listen["control"])
		d.gateways = append(d.gateways, p)
	}
	for i, p := range d.gateways {
		d.writeSettings(p, "frontend", zones[i%2], "", seeds)
		p.start(d)
	}
	for i, x := range executors {
		p := &process{name: "side-" + strconv.Itoa(i+1), program: "platform-agent", ip: ipOf(101 + i), listen: map[string]string{}}
		p.listen["control"] = freeAddress(p.ip)
		x.agent, x.zone = p.listen["control"], zones[i%2]
		l, err := net.Listen("tcp", p.ip+":0")
		check(err)
		x.address = l.Addr().String()
		go x.serve(l)
		d.writeSettings(p, "side", x.zone, x.address, seeds)
		d.agents = append(d.agents, p)
		p.start(d)
		go x.beatUntil(d.stop)
	}
	return d
}

// writeSettings writes the settings file of a process, as DEPLOY.md shows it.
func (d *deployment) writeSettings(p *process, class, zone, app string, seeds []string) {
	p.settings = filepath.Join(d.dir, p.name+".json")
	m := map[string]any{
		"node_name": p.name, "role": p.program, "machine_class": class, "ip": p.ip, "zone": zone, "region": "region-1",
		"zones": map[string]string{"zone-a": "region-1", "zone-b": "region-1"}, "listen": p.listen, "seeds": seeds, "bootstrap": true,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "local", "entry": "vip", "heartbeat_ms": 1500, "control_mode": "invoke",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_skew_ms": 5000, "max_hold_ms": 1000,
			"kill_grace_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "remote_factor": 1.5, "fencing": true, "lease_ms": 3000, "retransmit_ms": 1300,
		},
		"platform": map[string]any{"address": d.storeAddress, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "keep_s": 300},
	}
	if app != "" {
		m["app"] = app
	}
	data, err := json.Marshal(m)
	check(err)
	check(os.WriteFile(p.settings, data, 0o600))
}

// start starts the program as the deploy file does.
func (p *process) start(d *deployment) {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("target/" + p.program)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = d.repository, log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "RHUBARBSAIL_NODE_FILE=" + p.settings}
	check(p.cmd.Start())
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	if p.cmd != nil {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// queue is a route of the configuration.
type queue struct{ name, prefix string }

// publish writes a configuration with these queues.
func (d *deployment) publish(queues ...queue) {
	d.version++
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path_prefix": q.prefix, "service": service, "timeout_ms": 1500, "priority": 1,
			"max_attempts": 4, "stretch_factor": 1.6, "target_latency_ms": 60,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "services": []any{map[string]any{"name": service, "rejects_overload": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	check(err)
	d.store.put("keyed.op", "config", data)
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, p := range d.gateways {
		for {
			resp, err := http.Get("http://" + p.listen["readiness"] + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				cannot(fmt.Errorf("%s is not ready", p.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// All agents have their links a moment later.
	time.Sleep(time.Second)
}
