// Package local runs a complete deployment in one process on loopback: gateways,
// agents, and stand-ins for the platform's log and the targets. The rhubarbsail
// command, experiments and tests use it.
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

// Options configures a deployment. Zero values select the sizes of the deployment
// in docs/design.md, section 1.6.
type Options struct {
	Gateways, Targets int
	// Speeds are the speeds of the targets, used cyclically; the default is 1.
	Speeds []float64
	// Service and Client are the only service and the first client of the rules.
	Service, Client string
	// MoreClients are additional clients with the same share.
	MoreClients []string
	// Spans receives the spans of all daemons; if nil, none are recorded.
	Spans sdktrace.SpanExporter
	// Log receives the log lines of all daemons; if nil, they are discarded.
	Log io.Writer
	// LogLevel is the minimum level of the log lines; the default is info.
	LogLevel string
	// CallersAddress and OperatorsAddress are the addresses of the first gateway; if
	// empty, free ports are used.
	CallersAddress, OperatorsAddress string
	// Run is the run time of tasks whose payload has none; the default is 200 ms.
	Run time.Duration
	// AdjustGateway and AdjustAgent may change the settings of each daemon before it
	// starts.
	AdjustGateway func(*settings.Gateway)
	AdjustAgent   func(*settings.Agent)
}

const (
	slotsPerTarget       = 8
	connectionsPerTarget = 64
	workersPerRack       = 3
	availabilityZones    = 4
	pollInterval         = 20 * time.Millisecond
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
	// listeners holds the reserved listeners by address. It is not modified after the
	// first daemon has started.
	listeners map[string]net.Listener
	// mu guards err.
	mu  sync.Mutex
	err error
}

// Start starts a deployment, loads its configuration and waits until every gateway
// is ready and connected to all targets. It fails if ctx is done first; the
// deployment itself runs until Stop.
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

// Stop shuts all daemons down gracefully and waits for them. It returns the first
// error of a daemon.
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
	// The log stops last, since gateways record their departure in it.
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
			if err := d.reserveFixed(&s); err != nil {
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
			Slots: slotsPerTarget, Connections: connectionsPerTarget, Run: d.opts.Run, Speed: d.opts.Speeds[i%len(d.opts.Speeds)], Log: zerolog.Nop(),
		})
		if err != nil {
			return err
		}
		d.Targets = append(d.Targets, t)
		d.run(s.ID, func() error { return daemon.Agent(ctx, s, d.env()) })
		// The target runs on while its agent stops, so that running tasks finish.
		targetCtx, stopTarget := context.WithCancel(context.WithoutCancel(ctx))
		context.AfterFunc(ctx, func() { time.AfterFunc(targetStopDelay, stopTarget) })
		go func() { _ = t.Run(targetCtx) }()
	}
	return nil
}

// targetStopDelay is how long targets keep running after the shutdown has begun.
const targetStopDelay = 5 * time.Second

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
			Service: d.opts.Service, Slots: slotsPerTarget, Connections: connectionsPerTarget,
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

// loadConfig submits the configuration to the first gateway, retrying until it is
// accepted.
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
		serving := 0
		for _, base := range d.Operators {
			n, err := d.checkReady(ctx, base)
			if err != nil {
				return err
			}
			serving += n
		}
		if want := int(d.gateways[0].Partitions); serving != want {
			return errors.Errorf("%d of %d partitions are served", serving, want)
		}
		return nil
	})
}

// checkReady returns the number of partitions that a gateway serves. It returns an
// error unless the gateway is ready and connected to all targets.
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
	connected := 0
	for _, t := range st.Targets {
		if t.Connected && t.Accepting {
			connected++
		}
	}
	if !st.Ready || connected < d.opts.Targets {
		return 0, errors.Errorf("ready %t %s, %d of %d targets connected", st.Ready, st.NotReady, connected, d.opts.Targets)
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
		case <-time.After(pollInterval):
		}
	}
}

// maxErrorBytes limits how much of an error response is read.
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
// daemon with this address uses the listener: if the port were closed and opened
// again, an outgoing connection could take it in between.
func (d *Deployment) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	d.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// reserveFixed listens on the fixed addresses of the first gateway. It does so
// before anything is sent to them, since another process may be listening there.
func (d *Deployment) reserveFixed(s *settings.Gateway) error {
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
