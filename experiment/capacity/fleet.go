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
	// stopGrace is the time for a planned stop before a process is killed.
	stopGrace = 20 * time.Second
	readyPoll = 50 * time.Millisecond
)

// fleet is a deployment of separate processes; the platform's log and the
// targets are stand-ins in this process.
type fleet struct {
	dir       string
	logURL    string
	server    *http.Server
	gateways  []*exec.Cmd
	agents    []*exec.Cmd
	callers   []string
	operators []string
	internal  []string
	cancel    context.CancelFunc
	config    uint64
	// port is the next one to try.
	port int
}

// startFleet starts the processes from the binaries gateway and agent in bin.
func startFleet(ctx context.Context, bin string, gateways, agents int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, errors.Wrap(err, "settings directory")
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
	standins, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range agents {
		if err := f.startAgent(standins, bin, i); err != nil {
			return err
		}
	}
	if err := poll(ctx, func() error { return f.putConfig(ctx, agents) }); err != nil {
		return errors.Wrap(err, "load configuration")
	}
	for _, o := range f.operators {
		if err := poll(ctx, func() error { return ready(ctx, o, agents) }); err != nil {
			return errors.Wrap(err, "wait for gateway")
		}
	}
	return nil
}

func (f *fleet) startLog() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	f.logURL = "http://" + l.Addr().String()
	f.server = &http.Server{Handler: logserver.New(memlog.New(memlog.Options{})), ReadHeaderTimeout: stopGrace}
	go func() { _ = f.server.Serve(l) }()
	return nil
}

func (f *fleet) startGateway(bin string, i int) error {
	var s settings.Gateway
	settings.SetDefaults(&s)
	s.ID, s.AvailabilityZone, s.PlatformLogURL = fmt.Sprintf("gateway-%d", i), "zone-0", f.logURL
	s.Shutdown.Notice, s.Telemetry.LogLevel, s.Peers = 0, "error", []string{}
	if err := f.addresses(&s.CallersAddress, &s.OperatorsAddress, &s.InternalAddress); err != nil {
		return err
	}
	f.callers = append(f.callers, "http://"+s.CallersAddress)
	f.operators = append(f.operators, "http://"+s.OperatorsAddress)
	f.internal = append(f.internal, s.InternalAddress)
	cmd, err := f.launch(filepath.Join(bin, "gateway"), s.ID, s)
	f.gateways = append(f.gateways, cmd)
	return err
}

func (f *fleet) startAgent(ctx context.Context, bin string, i int) error {
	var s settings.Agent
	settings.SetDefaults(&s)
	s.ID, s.Worker, s.Rack, s.AvailabilityZone = fmt.Sprintf("agent-%d", i), workerName(i), "rack-0", "zone-0"
	s.PlatformLeaseURL, s.Gateways, s.Telemetry.LogLevel = f.logURL, f.internal, "error"
	if err := f.addresses(&s.LinkAddress, &s.AnnounceAddress, &s.OperatorsAddress); err != nil {
		return err
	}
	cmd, err := f.launch(filepath.Join(bin, "agent"), s.ID, s)
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

// launch writes the settings and starts a process with them.
func (f *fleet) launch(binary, id string, s any) (*exec.Cmd, error) {
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

// stop ends all processes of the fleet.
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
	if f.cancel != nil {
		f.cancel()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }
func targetName(i int) string { return fmt.Sprintf("target-%d", i) }

// putConfig publishes the inventory; each call changes the configuration.
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
		Clients:  []inventory.Client{{ID: client, Share: 1, MaxQueued: 100_000 + int(f.config%2)}},
		Services: []inventory.Service{{ID: service, Repeatable: true}},
	}
	var reply struct{ Version uint64 }
	body := map[string]any{"base": f.config, "operator": "capacity", "inventory": inv, "rules": rules}
	if err := call(ctx, http.MethodPut, f.operators[0]+"/v1/config", body, &reply); err != nil {
		return err
	}
	f.config = reply.Version
	return nil
}

func ready(ctx context.Context, operators string, targets int) error {
	var st struct {
		Ready               bool
		Partitions, Serving int
		Targets             []struct{ Connected, Accepting bool }
	}
	if err := call(ctx, http.MethodGet, operators+"/v1/status", nil, &st); err != nil {
		return err
	}
	up := 0
	for _, t := range st.Targets {
		if t.Connected && t.Accepting {
			up++
		}
	}
	if !st.Ready || st.Serving < st.Partitions || up < targets {
		return errors.Errorf("ready %t, %d of %d partitions, %d of %d targets", st.Ready, st.Serving, st.Partitions, up, targets)
	}
	return nil
}

func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
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

// call sends a JSON request and decodes the reply.
func call(ctx context.Context, method, url string, body, reply any) error {
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

// firstPort and lastPort are below the range from which the kernel takes the
// ports of outgoing connections, which could take an address that is free now.
const (
	firstPort = 20000
	lastPort  = 32000
)

// addresses fills in free loopback addresses; each port is used once.
func (f *fleet) addresses(to ...*string) error {
	for _, a := range to {
		for *a == "" {
			if f.port == 0 {
				f.port = firstPort
			}
			if f.port > lastPort {
				return errors.New("no free port is left")
			}
			address := fmt.Sprintf("127.0.0.1:%d", f.port)
			f.port++
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
