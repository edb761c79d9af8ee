package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

const (
	service     = "work"
	client      = "load"
	slots       = 8
	connections = 64
	// stopGrace is how long a process may take to shut down before it is killed.
	stopGrace = 20 * time.Second
	// readyPoll is the interval of the attempts of poll.
	readyPoll = 50 * time.Millisecond
)

// fleet is a deployment with a process for each gateway and agent. The
// platform's log and the targets are stand-ins that run in this process.
type fleet struct {
	dir           string
	logURL        string
	logServer     *http.Server
	gateways      []*exec.Cmd
	agents        []*exec.Cmd
	callers       []string
	operators     []string
	internal      []string
	stopTargets   context.CancelFunc
	configVersion uint64
	// nextPort is the next port that assignAddresses tries; 0 before the first call.
	nextPort int
}

// startFleet starts the processes from the binaries gateway and agent in the
// directory bin and waits until all gateways are ready.
func startFleet(ctx context.Context, bin string, gateways, agents int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, errors.Wrap(err, "create settings directory")
	}
	f := &fleet{dir: dir}
	if err := f.start(ctx, bin, gateways, agents); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, bin string, gateways, agents int) error {
	if err := f.startLog(); err != nil {
		return err
	}
	for i := range gateways {
		if err := f.startGateway(bin, i); err != nil {
			return err
		}
	}
	targetCtx, cancel := context.WithCancel(context.Background())
	f.stopTargets = cancel
	for i := range agents {
		if err := f.startAgent(targetCtx, bin, i); err != nil {
			return err
		}
	}
	if err := poll(ctx, func() error { return f.putConfig(ctx, agents) }); err != nil {
		return errors.Wrap(err, "publish configuration")
	}
	for _, operatorsURL := range f.operators {
		if err := poll(ctx, func() error { return checkReady(ctx, operatorsURL, agents) }); err != nil {
			return errors.Wrap(err, "wait for gateway")
		}
	}
	return nil
}

func (f *fleet) startLog() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for log server")
	}
	f.logURL = "http://" + l.Addr().String()
	f.logServer = &http.Server{Handler: logserver.New(memlog.New(memlog.Options{})), ReadHeaderTimeout: stopGrace}
	go func() { _ = f.logServer.Serve(l) }()
	return nil
}

func (f *fleet) startGateway(bin string, i int) error {
	var s settings.Gateway
	settings.SetDefaults(&s)
	s.ID, s.AvailabilityZone, s.PlatformLogURL = fmt.Sprintf("gateway-%d", i), "zone-0", f.logURL
	s.Shutdown.Notice, s.Telemetry.LogLevel, s.Peers = 0, "error", []string{}
	if err := f.assignAddresses(&s.CallersAddress, &s.OperatorsAddress, &s.InternalAddress); err != nil {
		return err
	}
	f.callers = append(f.callers, "http://"+s.CallersAddress)
	f.operators = append(f.operators, "http://"+s.OperatorsAddress)
	f.internal = append(f.internal, s.InternalAddress)
	cmd, err := f.startProcess(filepath.Join(bin, "gateway"), s.ID, s)
	f.gateways = append(f.gateways, cmd)
	return err
}

func (f *fleet) startAgent(ctx context.Context, bin string, i int) error {
	var s settings.Agent
	settings.SetDefaults(&s)
	s.ID, s.Worker, s.Rack, s.AvailabilityZone = fmt.Sprintf("agent-%d", i), workerName(i), "rack-0", "zone-0"
	s.PlatformLeaseURL, s.Gateways, s.Telemetry.LogLevel = f.logURL, f.internal, "error"
	if err := f.assignAddresses(&s.LinkAddress, &s.AnnounceAddress, &s.OperatorsAddress); err != nil {
		return err
	}
	cmd, err := f.startProcess(filepath.Join(bin, "agent"), s.ID, s)
	f.agents = append(f.agents, cmd)
	if err != nil {
		return err
	}
	t, err := target.New(target.Options{
		Target: targetName(i), Service: service, Listen: "127.0.0.1:0", AgentURL: "http://" + s.AnnounceAddress,
		Slots: slots, Connections: connections, Log: zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	go func() { _ = t.Run(ctx) }()
	return nil
}

// startProcess writes the settings to a file and starts the binary with it.
func (f *fleet) startProcess(binary, id string, s any) (*exec.Cmd, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(f.dir, id+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	cmd := exec.Command(binary, "--settings", file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	return cmd, nil
}

// stop shuts down all processes of the fleet and deletes the settings files. It
// kills processes that still run after stopGrace.
func (f *fleet) stop() {
	var running []*exec.Cmd
	for _, c := range append(f.gateways, f.agents...) {
		if c != nil {
			running = append(running, c)
			_ = c.Process.Signal(syscall.SIGTERM)
		}
	}
	kill := time.AfterFunc(stopGrace, func() {
		for _, c := range running {
			_ = c.Process.Kill()
		}
	})
	defer kill.Stop()
	for _, c := range running {
		_ = c.Wait()
	}
	if f.stopTargets != nil {
		f.stopTargets()
	}
	if f.logServer != nil {
		_ = f.logServer.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }
func targetName(i int) string { return fmt.Sprintf("target-%d", i) }

// putConfig publishes the inventory and the rules. The queue limit differs
// between even and odd versions, so that each call changes the configuration.
func (f *fleet) putConfig(ctx context.Context, targets int) error {
	var inv inventory.Inventory
	for i := range targets {
		inv.Workers = append(inv.Workers, inventory.Worker{
			ID: workerName(i), Rack: "rack-0", AvailabilityZone: "zone-0", Processors: 16, MemoryMB: 32 << 10,
		})
		inv.Targets = append(inv.Targets, inventory.Target{
			ID: targetName(i), Worker: workerName(i), Rack: "rack-0", AvailabilityZone: "zone-0",
			Service: service, Slots: slots, Connections: connections,
		})
	}
	rules := inventory.Rules{
		Clients:  []inventory.Client{{ID: client, Share: 1, MaxQueued: 100_000 + int(f.configVersion%2)}},
		Services: []inventory.Service{{ID: service, Repeatable: true}},
	}
	var reply struct{ Version uint64 }
	body := map[string]any{"base": f.configVersion, "operator": "capacity", "inventory": inv, "rules": rules}
	if err := callJSON(ctx, http.MethodPut, f.operators[0]+"/v1/config", body, &reply); err != nil {
		return err
	}
	f.configVersion = reply.Version
	return nil
}

// checkReady returns an error unless the gateway is ready, serves all partitions
// that it owns and is connected to the given number of accepting targets.
func checkReady(ctx context.Context, operatorsURL string, targets int) error {
	var status struct {
		Ready               bool
		Partitions, Serving int
		Targets             []struct{ Connected, Accepting bool }
	}
	if err := callJSON(ctx, http.MethodGet, operatorsURL+"/v1/status", nil, &status); err != nil {
		return err
	}
	available := 0
	for _, t := range status.Targets {
		if t.Connected && t.Accepting {
			available++
		}
	}
	if !status.Ready || status.Serving < status.Partitions || available < targets {
		return errors.Errorf("ready %t, %d of %d partitions, %d of %d targets", status.Ready, status.Serving, status.Partitions, available, targets)
	}
	return nil
}

// poll calls check until it succeeds or the context ends.
func poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "not ready in time")
		case <-time.After(readyPoll):
		}
	}
}

// callJSON sends body as JSON, or no body if it is nil, and decodes the JSON
// reply. A status other than 2xx is an error.
func callJSON(ctx context.Context, method, url string, body, reply any) error {
	r, w := io.Pipe()
	go func() { _ = w.CloseWithError(json.NewEncoder(w).Encode(body)) }()
	defer func() { _ = r.Close() }()
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return err
	}
	if body == nil {
		req.Body = nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}

// firstPort and lastPort are below the kernel's ephemeral port range: an outgoing
// connection could otherwise take a port after it was found free.
const (
	firstPort = 20000
	lastPort  = 32000
)

// assignAddresses sets each empty address to a free loopback address. It uses
// each port at most once.
func (f *fleet) assignAddresses(addresses ...*string) error {
	for _, a := range addresses {
		for *a == "" {
			if f.nextPort == 0 {
				f.nextPort = firstPort
			}
			if f.nextPort > lastPort {
				return errors.New("no free port is left")
			}
			address := fmt.Sprintf("127.0.0.1:%d", f.nextPort)
			f.nextPort++
			l, err := net.Listen("tcp", address)
			if err != nil {
				continue
			}
			_ = l.Close()
			*a = address
		}
	}
	return nil
}
