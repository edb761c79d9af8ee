package settings

// Agent holds the settings of an agent.
type Agent struct {
	ID                string    `json:"id" strict:"required,min=1,max=128" doc:"Name of the agent, unique in the deployment."`
	Worker            string    `json:"worker" strict:"required,min=1,max=128" doc:"Worker (machine) of this VM, as in the inventory; its lease is renewed."`
	Rack              string    `json:"rack" strict:"required,min=1,max=128" doc:"Rack of the worker."`
	AvailabilityZone  string    `json:"availability_zone" strict:"required,min=1,max=128" doc:"Availability zone of the worker."`
	LinkAddress       string    `json:"link_address" strict:"required,min=1" doc:"IP:port for the links of the gateways."`
	AdvertisedAddress string    `json:"advertised_address" doc:"IP:port at which gateways reach link_address; link_address if absent."`
	AnnounceAddress   string    `json:"announce_address" strict:"required,min=1" doc:"IP:port at which the target announces itself; usually loopback."`
	OperatorsAddress  string    `json:"operators_address" strict:"required,min=1" doc:"IP:port of /metrics, /live and /ready."`
	Gateways          []string  `json:"gateways" strict:"required,min=1" doc:"IP:port (advertised) of gateways to announce to; one that answers is enough."`
	PlatformLeaseURL  string    `json:"platform_lease_url" strict:"required,min=1" doc:"URL of the platform's lease service."`
	Lease             Lease     `json:"lease" doc:"The worker's lease."`
	Timing            Timing    `json:"timing" doc:"Times of the at-most-once rules; the same in the whole cell."`
	Ledger            Ledger    `json:"ledger" doc:"Bounds of the start ledger."`
	Target            Target    `json:"target" doc:"The target beside the agent."`
	Clients           Clients   `json:"clients" doc:"Bounds of the connections to the agent."`
	Shutdown          Shutdown  `json:"shutdown" doc:"Times of the graceful shutdown."`
	Telemetry         Telemetry `json:"telemetry" doc:"Logs and traces."`
}

// Clients holds the limits of connections to an agent.
type Clients struct {
	Connections int64 `json:"connections" strict:"min=8,max=1000000" doc:"Most connections to each address; beyond it those with unfinished requests are closed."`
	HeldBytes   int64 `json:"held_bytes" strict:"min=4194304,max=17179869184" doc:"Bound of the memory that connections and their requests hold, by estimate; beyond it those with unfinished requests are closed."`
}

// Lease holds the settings for renewing the worker's lease.
type Lease struct {
	TTL   Milliseconds `json:"ttl_ms" strict:"min=500,max=600000" doc:"Time that a renewal lasts; no task is started without a valid lease."`
	Renew Milliseconds `json:"renew_ms" strict:"min=100,max=600000" doc:"Time between two renewals."`
}

// Ledger holds the limits of the start ledger.
type Ledger struct {
	EntriesMax  int64 `json:"entries_max" strict:"min=100,max=100000000" doc:"Most entries; starts are refused when it is reached."`
	BytesMax    int64 `json:"bytes_max" strict:"min=65536,max=17179869184" doc:"Bound of the memory of the entries."`
	ResultBytes int64 `json:"result_bytes" strict:"min=1,max=16777216" doc:"Largest result of a task."`
}

// Target holds the limits for the target beside the agent.
type Target struct {
	HeartbeatTimeout Milliseconds `json:"heartbeat_timeout_ms" strict:"min=100,max=600000" doc:"Time without an announcement after which the target counts as gone."`
	QueueTasks       int64        `json:"queue_tasks" strict:"min=0,max=100000" doc:"Most tasks that wait at the agent beyond the slots."`
}

func (a *Agent) setDefaults() {
	*a = Agent{
		Lease:     Lease{TTL: 10_000, Renew: 3000},
		Timing:    defaultTiming(),
		Ledger:    Ledger{EntriesMax: 120_000, BytesMax: 64 << 20, ResultBytes: defaultResultBytes},
		Target:    Target{HeartbeatTimeout: 3000, QueueTasks: 128},
		Clients:   Clients{Connections: 10_000, HeldBytes: 256 << 20},
		Shutdown:  Shutdown{Notice: 0, Timeout: 125_000},
		Telemetry: defaultTelemetry(),
	}
}

// Advertised returns the address at which gateways reach this agent.
func (a *Agent) Advertised() string {
	if a.AdvertisedAddress != "" {
		return a.AdvertisedAddress
	}
	return a.LinkAddress
}

func (a *Agent) check(c *checker) {
	c.checkAddress("link_address", a.LinkAddress, true)
	c.checkAddress("announce_address", a.AnnounceAddress, true)
	c.checkAddress("operators_address", a.OperatorsAddress, true)
	c.checkAddress("advertised_address", a.AdvertisedAddress, false)
	c.requireDistinct([]string{"link_address", "announce_address", "operators_address"},
		[]string{a.LinkAddress, a.AnnounceAddress, a.OperatorsAddress})
	c.checkPeerAddresses("gateways", a.Gateways, a.Advertised())
	c.checkURL("platform_lease_url", a.PlatformLeaseURL)
	a.Timing.check(c)
	a.Telemetry.check(c)
	c.requireLess(keyValue{"lease.renew_ms", int64(a.Lease.Renew)}, keyValue{"lease.ttl_ms", int64(a.Lease.TTL)},
		"a lease must be renewed before it ends")
	c.requireAtMost(keyValue{"ledger.result_bytes", a.Ledger.ResultBytes}, keyValue{"ledger.bytes_max", a.Ledger.BytesMax},
		"the ledger reserves the largest result for each task in progress")
}
