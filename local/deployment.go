// Package local runs a whole deployment in one process on loopback: gateways,
// agents, and stand-ins for the platform's log and the targets. It serves the
// embedded default of the command, experiments and tests.
package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/daemon"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/memlog"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// Options sizes a deployment. Zero values take the sizes of one deployment of
// docs/design.md, section 1.6.
type Options struct {
	Gateways, Targets int
	// Speeds are the speeds of the targets, repeated as needed; default 1.
	Speeds []float64
	// Service and Client are the one service and client of the rules.
	Service, Client string
	// MoreClients are further clients of the rules with the same share.
	MoreClients []string
	// Spans receives the spans of all processes; nil records none.
	Spans sdktrace.SpanExporter
	// Log receives the log lines of all processes; nil writes none.
	Log io.Writer
	// LogLevel is the least level of the log lines; default info.
	LogLevel string
	// CallersAddress and OperatorsAddress fix those of the first gateway.
	CallersAddress, OperatorsAddress string
	// Run is the run time of a task whose payload gives none; default 200 ms.
	Run time.Duration
	// AdjustGateway and AdjustAgent may change settings before the start.
	AdjustGateway func(*settings.Gateway)
	AdjustAgent   func(*settings.Agent)
}

const (
	slots             = 8
	connections       = 64
	workersPerRack    = 3
	availabilityZones = 4
	readyPoll         = 20 * time.Millisecond
)

// Deployment is a running deployment.
type Deployment struct {
	// Callers and Operators are the base URLs of the gateways.
	Callers, Operators []string
	Targets            []*target.Target
	Log                *memlog.Store
	opts               Options
	cancel             context.CancelFunc
	wg                 sync.WaitGroup
	gateways           []settings.Gateway
	agents             []*settings.Agent
	logURL             string
	// listeners are the reserved ones by address; they do not change once a
	// daemon has started.
	listeners map[string]net.Listener
	// mu guards err.
	mu  sync.Mutex
	err error
}

// Start starts a deployment, loads its configuration and waits until each
// gateway is ready and all targets are connected, or ctx ends.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	o = o.withDefaults()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &Deployment{opts: o, cancel: cancel, Log: memlog.New(memlog.Options{}), listeners: make(map[string]net.Listener)}
	if err := d.start(ctx, runCtx); err != nil {
		_ = d.Stop()
		return nil, err
	}
	return d, nil
}

func (o Options) withDefaults() Options {
	if o.Gateways <= 0 {
		o.Gateways = 3
	}
	if o.Targets <= 0 {
		o.Targets = 11
	}
	if len(o.Speeds) == 0 {
		o.Speeds = []float64{1}
	}
	if o.Service == "" {
		o.Service = "grade-check"
	}
	if o.Client == "" {
		o.Client = "demo"
	}
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
	if o.Run <= 0 {
		o.Run = 200 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	return o
}

// Stop stops all processes as planned and waits for them. It returns the first
// error of a process.
func (d *Deployment) Stop() error {
	d.cancel()
	d.wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

func (d *Deployment) run(name string, f func() error) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := f(); err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.err == nil {
				d.err = errors.Wrap(err, name)
			}
		}
	}()
}

func (d *Deployment) start(ctx, runCtx context.Context) error {
	if err := d.startLog(runCtx); err != nil {
		return err
	}
	if err := d.prepareGateways(); err != nil {
		return err
	}
	if err := d.prepareAgents(); err != nil {
		return err
	}
	d.startGateways(runCtx)
	if err := d.startTargets(runCtx); err != nil {
		return err
	}
	if err := d.loadConfig(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

func (d *Deployment) startLog(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.logURL = "http://" + l.Addr().String()
	server := &http.Server{Handler: logserver.New(d.Log), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	d.run("log", func() error {
		<-ctx.Done()
		return nil
	})
	// The log ends last: gateways record their departure in it.
	context.AfterFunc(ctx, func() {
		d.wg.Wait()
		_ = server.Close()
	})
	return nil
}

func (d *Deployment) prepareGateways() error {
	var internal []string
	for i := range d.opts.Gateways {
		var s settings.Gateway
		settings.SetDefaults(&s)
		s.ID = fmt.Sprintf("gateway-%d", i)
		s.AvailabilityZone = zoneName(i)
		s.PlatformLogURL, s.PlatformLeaseURL = d.logURL, d.logURL
		s.Shutdown.Notice = 0
		s.Telemetry = d.telemetry()
		for _, a := range []*string{&s.CallersAddress, &s.OperatorsAddress, &s.InternalAddress} {
			address, err := d.reserve()
			if err != nil {
				return err
			}
			*a = address
		}
		if i == 0 && d.opts.CallersAddress != "" {
			if err := d.useFixed(&s); err != nil {
				return err
			}
		}
		internal = append(internal, s.InternalAddress)
		d.Callers = append(d.Callers, "http://"+s.CallersAddress)
		d.Operators = append(d.Operators, "http://"+s.OperatorsAddress)
		d.gateways = append(d.gateways, s)
	}
	for i := range d.gateways {
		d.gateways[i].Peers = internal
		if d.opts.AdjustGateway != nil {
			d.opts.AdjustGateway(&d.gateways[i])
		}
	}
	return nil
}

func (d *Deployment) startGateways(ctx context.Context) {
	for i := range d.gateways {
		s := &d.gateways[i]
		d.run(s.ID, func() error { return daemon.Gateway(ctx, s, d.env()) })
	}
}

func (d *Deployment) prepareAgents() error {
	for i := range d.opts.Targets {
		s, err := d.agentSettings(i)
		if err != nil {
			return err
		}
		d.agents = append(d.agents, s)
	}
	return nil
}

func (d *Deployment) startTargets(ctx context.Context) error {
	for i, s := range d.agents {
		t, err := target.New(target.Options{
			Target: targetName(i), Service: d.opts.Service, Listen: "127.0.0.1:0", AgentURL: "http://" + s.AnnounceAddress,
			Slots: slots, Connections: connections, Run: d.opts.Run, Speed: d.opts.Speeds[i%len(d.opts.Speeds)], Log: zerolog.Nop(),
		})
		if err != nil {
			return err
		}
		d.Targets = append(d.Targets, t)
		d.run(s.ID, func() error { return daemon.Agent(ctx, s, d.env()) })
		// A target outlives its agent's stop, so that running tasks finish.
		targetCtx, stopTarget := context.WithCancel(context.WithoutCancel(ctx))
		context.AfterFunc(ctx, func() { time.AfterFunc(targetLinger, stopTarget) })
		go func() { _ = t.Run(targetCtx) }()
	}
	return nil
}

// targetLinger is the time that targets go on after the stop began.
const targetLinger = 5 * time.Second

func (d *Deployment) agentSettings(i int) (*settings.Agent, error) {
	var s settings.Agent
	settings.SetDefaults(&s)
	s.ID = fmt.Sprintf("agent-%d", i)
	s.Worker, s.Rack, s.AvailabilityZone = workerName(i), rackName(i), zoneName(i)
	s.PlatformLeaseURL = d.logURL
	s.Telemetry = d.telemetry()
	for j := range d.gateways {
		s.Gateways = append(s.Gateways, d.gateways[(i+j)%len(d.gateways)].InternalAddress)
	}
	for _, a := range []*string{&s.LinkAddress, &s.AnnounceAddress, &s.OperatorsAddress} {
		address, err := d.reserve()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	if d.opts.AdjustAgent != nil {
		d.opts.AdjustAgent(&s)
	}
	return &s, nil
}

func (d *Deployment) telemetry() settings.Telemetry {
	return settings.Telemetry{LogLevel: d.opts.LogLevel, TraceExporter: "none"}
}

func (d *Deployment) env() daemon.Env {
	return daemon.Env{Outputs: telemetry.Outputs{Logs: d.opts.Log, Exporter: d.opts.Spans}, Listen: d.listen}
}

func targetName(i int) string { return fmt.Sprintf("target-%d", i) }
func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }
func rackName(i int) string   { return fmt.Sprintf("rack-%d", i/workersPerRack) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i/workersPerRack%availabilityZones) }

// Config returns the inventory and the rules of the deployment.
func (d *Deployment) Config() (inventory.Inventory, inventory.Rules) {
	var inv inventory.Inventory
	for i := range d.opts.Targets {
		inv.Workers = append(inv.Workers, inventory.Worker{
			ID: workerName(i), Rack: rackName(i), AvailabilityZone: zoneName(i), Processors: 16, MemoryMB: 32 << 10,
		})
		inv.Targets = append(inv.Targets, inventory.Target{
			ID: targetName(i), Worker: workerName(i), Rack: rackName(i), AvailabilityZone: zoneName(i),
			Service: d.opts.Service, Slots: slots, Connections: connections,
		})
	}
	clients := []inventory.Client{{ID: d.opts.Client, Share: 1}}
	for _, c := range d.opts.MoreClients {
		clients = append(clients, inventory.Client{ID: c, Share: 1})
	}
	return inv, inventory.Rules{
		Clients:  clients,
		Services: []inventory.Service{{ID: d.opts.Service, Repeatable: true}},
	}
}

// loadConfig publishes the configuration through the first gateway.
func (d *Deployment) loadConfig(ctx context.Context) error {
	inv, rules := d.Config()
	body, err := json.Marshal(map[string]any{"base": 0, "operator": "local", "inventory": inv, "rules": rules})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	return poll(ctx, "load configuration", func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, d.Operators[0]+"/v1/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		return expectOK(http.DefaultClient.Do(req))
	})
}

func (d *Deployment) awaitReady(ctx context.Context) error {
	return poll(ctx, "gateways ready", func() error {
		served := 0
		for _, base := range d.Operators {
			n, err := d.checkReady(ctx, base)
			if err != nil {
				return err
			}
			served += n
		}
		if want := int(d.gateways[0].Partitions); served != want {
			return errors.Errorf("%d of %d partitions are served", served, want)
		}
		return nil
	})
}

// checkReady returns the number of partitions that the gateway serves. It fails
// unless the gateway is ready and is connected to all targets.
func (d *Deployment) checkReady(ctx context.Context, base string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/status", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var st struct {
		Ready    bool
		NotReady string `json:"not_ready"`
		Serving  int
		Targets  []struct{ Connected, Accepting bool }
	}
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return 0, errors.Wrap(err, "decode status")
	}
	up := 0
	for _, t := range st.Targets {
		if t.Connected && t.Accepting {
			up++
		}
	}
	if !st.Ready || up < d.opts.Targets {
		return 0, errors.Errorf("ready %t %s, %d of %d targets connected", st.Ready, st.NotReady, up, d.opts.Targets)
	}
	return st.Serving, nil
}

func poll(ctx context.Context, what string, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "%s: %v", what, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

// maxErrorBytes bounds what is read of an error body.
const maxErrorBytes = 4096

func expectOK(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return errors.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return nil
}

// reserve opens a listener on a free loopback port and returns its address. The
// daemon that listens on the address gets this listener: a port that was closed
// in between could be taken by an outgoing connection.
func (d *Deployment) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	d.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// useFixed opens the fixed addresses of the first gateway before anything is
// sent to them: another process may listen there.
func (d *Deployment) useFixed(s *settings.Gateway) error {
	s.CallersAddress, s.OperatorsAddress = d.opts.CallersAddress, d.opts.OperatorsAddress
	for _, a := range []string{s.CallersAddress, s.OperatorsAddress} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		d.listeners[a] = l
	}
	return nil
}

func (d *Deployment) listen(network, address string) (net.Listener, error) {
	if l, ok := d.listeners[address]; ok {
		return l, nil
	}
	return net.Listen(network, address)
}
