package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// Names of the clients and the service of every deployment.
const (
	Client      = "bondline"
	OtherClient = "ljuska"
	Service     = "glue-check"
)

const (
	gatewaysDefault = 3
	targetsDefault  = 4
	targetSlots     = 8
	// readyTimeout is long because the machine may be busy with other tests.
	readyTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	logTail      = 3000
)

// Options configures a deployment.
type Options struct {
	Gateways, Targets int
	// Fast shortens the timing of all gateways and agents, for tests that wait for
	// takeovers.
	Fast bool
	// AdjustGateway and AdjustAgent, if set, change the settings before the start.
	AdjustGateway func(*settings.Gateway)
	AdjustAgent   func(*settings.Agent)
	// AdjustLog, if set, changes the settings of the log stand-in.
	AdjustLog func(*settings.LogStandin)
}

// Cluster is a running deployment of separate processes.
type Cluster struct {
	Gateways, Agents, Targets []*Process
	Log                       *Process
	Net                       *Network
	t                         *testing.T
	opts                      Options
	dir                       string
	logAddress                string
	gateways                  []settings.Gateway
	agents                    []settings.Agent
	targets                   []settings.TargetStandin
	logRelay                  string
	replyLog                  replyLog
	// started lists all processes; mu guards it and endedRecords.
	mu      sync.Mutex
	started []*Process
	// endedRecords are the records of targets that were ended. If
	// recordsIncomplete is set, starts at a killed target may be missing in them.
	endedRecords      []target.Record
	recordsIncomplete bool
}

// Start starts a deployment, loads its configuration and waits until all
// gateways serve and all targets are connected. It is stopped when the test ends.
func Start(t *testing.T, o Options) *Cluster {
	t.Helper()
	deploymentSemaphore <- struct{}{}
	t.Cleanup(func() { <-deploymentSemaphore })
	if o.Gateways == 0 {
		o.Gateways = gatewaysDefault
	}
	if o.Targets == 0 {
		o.Targets = targetsDefault
	}
	c := &Cluster{t: t, opts: o, dir: t.TempDir()}
	c.Net = NewNetwork(c.processes)
	t.Cleanup(c.stop)
	if err := c.start(); err != nil {
		t.Fatal(err)
	}
	return c
}

// stop kills all processes, reports data races and, if the test failed, prints the
// logs.
func (c *Cluster) stop() {
	for _, p := range c.processes() {
		p.Resume()
		p.Kill()
	}
	c.Net.Close()
	for _, p := range c.processes() {
		if log := p.stderr.String(); ContainsRace(log) {
			c.t.Errorf("data race in %s:\n%s", p.Name, log)
		}
	}
	if !c.t.Failed() {
		return
	}
	for _, p := range c.processes() {
		c.t.Logf("log of %s:\n%s", p.Name, p.Log(logTail))
	}
}

func (c *Cluster) processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.started)
}

// startDaemon writes the settings file of a daemon and starts it.
func (c *Cluster) startDaemon(program, name string, s any) (*Process, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return c.addAndStart(&Process{Name: name, program: program, args: []string{"--settings", file}})
}

func (c *Cluster) addAndStart(p *Process) (*Process, error) {
	c.mu.Lock()
	c.started = append(c.started, p)
	c.mu.Unlock()
	return p, p.Start()
}

func (c *Cluster) start() error {
	for _, step := range []func() error{c.startLog, c.startGateways, c.startAgents, c.loadConfig} {
		if err := step(); err != nil {
			return err
		}
	}
	return c.AwaitReady()
}

func (c *Cluster) startLog() (err error) {
	if c.logAddress, err = FreeAddress(); err != nil {
		return err
	}
	var s settings.LogStandin
	settings.SetDefaults(&s)
	s.ListenAddress = c.logAddress
	if c.opts.AdjustLog != nil {
		c.opts.AdjustLog(&s)
	}
	if c.Log, err = c.startDaemon("standin-log", "log", s); err != nil {
		return err
	}
	c.logRelay, err = c.Net.Relay("log", c.logAddress)
	return err
}

// setFreeAddresses sets each field to a free address.
func setFreeAddresses(fields ...*string) error {
	for _, f := range fields {
		a, err := FreeAddress()
		if err != nil {
			return err
		}
		*f = a
	}
	return nil
}

func (c *Cluster) applyFastTiming(t *settings.Timing) {
	if c.opts.Fast {
		t.Validity, t.PermitLifetime, t.CallerSkew, t.WallSkew = 1000, 1000, 300, 100
	}
}

func (c *Cluster) startGateways() error {
	var advertised []string
	for i := range c.opts.Gateways {
		var s settings.Gateway
		settings.SetDefaults(&s)
		s.ID, s.AvailabilityZone = fmt.Sprintf("gateway-%d", i), zoneName(i)
		s.PlatformLogURL, s.PlatformLeaseURL = "http://"+c.logRelay, "http://"+c.logRelay
		s.Shutdown.Notice = 200
		c.applyFastTiming(&s.Timing)
		if c.opts.Fast {
			s.Probing.PingInterval, s.Probing.PingFailure, s.Probing.ProbeInterval = 100, 800, 200
		}
		if err := setFreeAddresses(&s.CallersAddress, &s.OperatorsAddress, &s.InternalAddress); err != nil {
			return err
		}
		var err error
		if s.AdvertisedAddress, err = c.Net.Relay(s.ID, s.InternalAddress); err != nil {
			return err
		}
		if c.opts.AdjustGateway != nil {
			c.opts.AdjustGateway(&s)
		}
		advertised = append(advertised, s.AdvertisedAddress)
		c.gateways = append(c.gateways, s)
	}
	for i := range c.gateways {
		s := &c.gateways[i]
		s.Peers = slices.Delete(slices.Clone(advertised), i, i+1)
		p, err := c.startDaemon("gateway", s.ID, s)
		if err != nil {
			return err
		}
		c.Gateways = append(c.Gateways, p)
	}
	return nil
}

func (c *Cluster) startAgents() error {
	for i := range c.opts.Targets {
		var a settings.Agent
		settings.SetDefaults(&a)
		a.ID, a.Worker = fmt.Sprintf("agent-%d", i), workerName(i)
		a.Rack, a.AvailabilityZone = rackName(i), zoneName(i)
		a.PlatformLeaseURL = "http://" + c.logRelay
		a.Lease = settings.Lease{TTL: 4000, Renew: 500}
		c.applyFastTiming(&a.Timing)
		for j := range c.gateways {
			a.Gateways = append(a.Gateways, c.gateways[(i+j)%len(c.gateways)].AdvertisedAddress)
		}
		var s settings.TargetStandin
		settings.SetDefaults(&s)
		s.ID, s.Service = targetName(i), Service
		if err := setFreeAddresses(&a.LinkAddress, &a.AnnounceAddress, &a.OperatorsAddress, &s.ListenAddress); err != nil {
			return err
		}
		s.AgentURL = "http://" + a.AnnounceAddress
		var err error
		if a.AdvertisedAddress, err = c.Net.Relay(a.ID, a.LinkAddress); err != nil {
			return err
		}
		if c.opts.AdjustAgent != nil {
			c.opts.AdjustAgent(&a)
		}
		agent, err := c.startDaemon("agent", a.ID, a)
		if err != nil {
			return err
		}
		target, err := c.startDaemon("standin-target", s.ID, s)
		if err != nil {
			return err
		}
		c.agents, c.targets = append(c.agents, a), append(c.targets, s)
		c.Agents, c.Targets = append(c.Agents, agent), append(c.Targets, target)
	}
	return nil
}

func targetName(i int) string { return fmt.Sprintf("target-%d", i) }
func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }
func rackName(i int) string   { return fmt.Sprintf("rack-%d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i%2) }

// Config returns the inventory and the rules of the deployment.
func (c *Cluster) Config() (inventory.Inventory, inventory.Rules) {
	var inv inventory.Inventory
	for i := range c.opts.Targets {
		inv.Workers = append(inv.Workers, inventory.Worker{
			ID: workerName(i), Rack: rackName(i), AvailabilityZone: zoneName(i), Processors: 16, MemoryMB: 32 << 10,
		})
		inv.Targets = append(inv.Targets, inventory.Target{
			ID: targetName(i), Worker: workerName(i), Rack: rackName(i), AvailabilityZone: zoneName(i),
			Service: Service, Slots: targetSlots, Connections: 64,
		})
	}
	return inv, inventory.Rules{
		Clients:  []inventory.Client{{ID: Client, Share: 1}, {ID: OtherClient, Share: 1}},
		Services: []inventory.Service{{ID: Service, Repeatable: true}},
	}
}

func (c *Cluster) loadConfig() error {
	return c.poll("load configuration", readyTimeout, func() error {
		// An earlier attempt may have succeeded although its response was lost.
		if v, err := c.ConfigVersion(0); err == nil && v > 0 {
			return nil
		}
		_, err := c.ChangeConfig(context.Background(), 0, 0, "test")
		return err
	})
}

// AwaitReady waits until the running gateways together serve all partitions and
// each of them can use all running targets. It ignores the gateways with the
// indexes in except.
func (c *Cluster) AwaitReady(except ...int) error {
	up := 0
	for i, p := range c.Targets {
		if p.PID() != 0 && c.Agents[i].PID() != 0 {
			up++
		}
	}
	return c.poll("all partitions served", readyTimeout, func() error {
		served, want := 0, 0
		for i, p := range c.Gateways {
			if p.PID() == 0 || slices.Contains(except, i) {
				continue
			}
			n, err := c.checkServing(i, up)
			if err != nil {
				return errors.Wrap(err, p.Name)
			}
			served, want = served+n, int(c.gateways[i].Partitions)
		}
		if served != want {
			return errors.Errorf("%d of %d partitions served", served, want)
		}
		return nil
	})
}

// checkServing returns the number of partitions that a gateway serves. It returns
// an error unless the gateway is ready, serves all partitions that it owns and can
// use at least as many targets as are up.
func (c *Cluster) checkServing(i, up int) (int, error) {
	st, err := c.Status(i)
	if err != nil {
		return 0, err
	}
	usable := 0
	for _, t := range st.Targets {
		if t.Connected && t.Accepting && !t.Leaving {
			usable++
		}
	}
	if !st.Ready || st.Serving < st.Partitions || usable < up {
		return 0, errors.Errorf("ready %t %s, %d of %d partitions served, %d of %d targets usable",
			st.Ready, st.NotReadyReason, st.Serving, st.Partitions, usable, up)
	}
	return st.Serving, nil
}

func (c *Cluster) poll(what string, timeout time.Duration, f func() error) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "%s: not within %v", what, timeout)
		}
	}
}

// Await waits for a condition and ends the test if it does not hold in time.
func (c *Cluster) Await(what string, f func() error) {
	c.t.Helper()
	if err := c.poll(what, readyTimeout, f); err != nil {
		c.t.Fatal(err)
	}
}
