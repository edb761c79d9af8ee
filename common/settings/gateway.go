package settings

// Gateway holds the settings of a gateway.
type Gateway struct {
	ID                string    `json:"id" strict:"required,min=1,max=128" doc:"Name of the gateway, unique in the deployment."`
	AvailabilityZone  string    `json:"availability_zone" strict:"required,min=1,max=128" doc:"Availability zone of this VM."`
	CallersAddress    string    `json:"callers_address" strict:"required,min=1" doc:"IP:port of the callers' HTTP API."`
	OperatorsAddress  string    `json:"operators_address" strict:"required,min=1" doc:"IP:port of the operators' HTTP API and of /metrics, /live and /ready."`
	InternalAddress   string    `json:"internal_address" strict:"required,min=1" doc:"IP:port for gateways and agents."`
	AdvertisedAddress string    `json:"advertised_address" doc:"IP:port at which gateways and agents reach internal_address; internal_address if absent."`
	PlatformLogURL    string    `json:"platform_log_url" strict:"required,min=1" doc:"URL of the platform's log service."`
	PlatformLeaseURL  string    `json:"platform_lease_url" doc:"URL of the platform's lease service, which proves that an unreachable worker is gone; absent: such agents are never removed."`
	ControlStream     string    `json:"control_stream" strict:"min=1,max=128" doc:"Stream of the control records; the same in the whole cell."`
	Peers             []string  `json:"peers" doc:"IP:port (advertised) of other gateways, asked for the control state while the log is down."`
	Partitions        int64     `json:"partitions" strict:"min=1,max=4096" doc:"Partitions of the key space; fixed for the life of a cell."`
	Timing            Timing    `json:"timing" doc:"Times of the at-most-once rules; the same in the whole cell."`
	Probing           Probing   `json:"probing" doc:"Intervals of probes and pings."`
	Limits            Limits    `json:"limits" doc:"Bounds of requests."`
	HTTP              HTTP      `json:"http" doc:"Bounds of the connections to the HTTP APIs."`
	Log               Log       `json:"log" doc:"Use of the platform's log."`
	Shutdown          Shutdown  `json:"shutdown" doc:"Times of the graceful shutdown."`
	Telemetry         Telemetry `json:"telemetry" doc:"Logs and traces."`
}

// Probing holds the intervals and timeouts of a gateway's health checks of agents
// and other gateways.
type Probing struct {
	PingInterval  Milliseconds `json:"ping_interval_ms" strict:"min=10,max=60000" doc:"Time between two pings to another gateway."`
	PingFailure   Milliseconds `json:"ping_failure_ms" strict:"min=50,max=600000" doc:"Time without a reply after which a gateway counts as failed."`
	ProbeInterval Milliseconds `json:"probe_interval_ms" strict:"min=10,max=60000" doc:"Time between two probes of an agent."`
	RemoveAfter   Milliseconds `json:"remove_after_ms" strict:"min=1000,max=86400000" doc:"Time without a link after which the lease of an agent's worker is asked for, to record the agent as gone."`
	ZoneDelay     int64        `json:"zone_delay_us" strict:"min=0,max=1000000" doc:"One-way network delay to another availability zone, in microseconds."`
}

// Limits holds the limits of requests and retained answers.
type Limits struct {
	TasksPerJob    int64        `json:"tasks_per_job" strict:"min=1,max=1300" doc:"Most tasks of a job."`
	BodyBytes      int64        `json:"body_bytes" strict:"min=1024,max=67108864" doc:"Largest body of a submission."`
	BodyTotalBytes int64        `json:"body_total_bytes" strict:"min=1024,max=17179869184" doc:"Bound of the bodies of all submissions in progress; further ones are refused as overload."`
	PayloadBytes   int64        `json:"payload_bytes" strict:"min=1,max=16777216" doc:"Largest payload of a task."`
	AnswerBytes    int64        `json:"answer_bytes" strict:"min=1,max=268435456" doc:"Largest sum of the results of a job."`
	JobsMax        int64        `json:"jobs_max" strict:"min=1,max=100000000" doc:"Most jobs in the table of a gateway, with the retained answers."`
	RetainedBytes  int64        `json:"retained_bytes" strict:"min=0,max=17179869184" doc:"Bound of the results of all retained answers."`
	TimeoutMin     Milliseconds `json:"job_timeout_min_ms" strict:"min=1,max=120000" doc:"Smallest timeout that a job may have."`
	TimeoutDefault Milliseconds `json:"job_timeout_default_ms" strict:"min=1,max=120000" doc:"Timeout of a job that names none."`
	TimeoutMax     Milliseconds `json:"job_timeout_max_ms" strict:"min=1,max=120000" doc:"Largest timeout that a job may have."`
}

// HTTP holds the limits of connections to the HTTP APIs.
type HTTP struct {
	HeaderBytes   int64        `json:"header_bytes" strict:"min=1024,max=1048576" doc:"Largest request header."`
	HeaderTimeout Milliseconds `json:"header_timeout_ms" strict:"min=100,max=60000" doc:"Time in which a request header must arrive."`
	ReadTimeout   Milliseconds `json:"read_timeout_ms" strict:"min=100,max=600000" doc:"Time in which header and body must arrive."`
	WriteTimeout  Milliseconds `json:"write_timeout_ms" strict:"min=100,max=900000" doc:"Time from the header to the end of the answer."`
	IdleTimeout   Milliseconds `json:"idle_timeout_ms" strict:"min=100,max=900000" doc:"Time after which an idle connection is closed."`
	Connections   int64        `json:"connections" strict:"min=1,max=1000000" doc:"Most connections to each API; beyond it those with unfinished requests are closed."`
	HeldBytes     int64        `json:"held_bytes" strict:"min=0,max=17179869184" doc:"Bound of the memory that connections and their requests hold, by estimate; beyond it those with unfinished requests are closed. 0: one and a half times limits.body_total_bytes, and at least four times limits.body_bytes."`
}

// Log holds the settings for using the platform's log.
type Log struct {
	AppendTimeout Milliseconds `json:"append_timeout_ms" strict:"min=10,max=60000" doc:"Bound of one attempt to append."`
	Retention     Milliseconds `json:"retention_ms" strict:"min=10000,max=31536000000" doc:"Time for which the log keeps records; a snapshot is written before it ends."`
}

// Shutdown holds the durations of the phases of a graceful shutdown.
type Shutdown struct {
	Notice  Milliseconds `json:"notice_ms" strict:"min=0,max=600000" doc:"Time between readiness false and the end of listening, so that load balancers notice."`
	Timeout Milliseconds `json:"timeout_ms" strict:"min=0,max=900000" doc:"Time for requests in progress after the notice."`
}

func (g *Gateway) setDefaults() {
	*g = Gateway{
		ControlStream: "control",
		Partitions:    64,
		Timing:        defaultTiming(),
		Probing:       Probing{PingInterval: 250, PingFailure: 1500, ProbeInterval: 500, RemoveAfter: 30_000, ZoneDelay: 1500},
		Limits: Limits{
			TasksPerJob: 1300, BodyBytes: 8 << 20, BodyTotalBytes: 256 << 20, PayloadBytes: defaultPayloadBytes,
			AnswerBytes: 16 << 20,
			JobsMax:     200_000, RetainedBytes: 64 << 20,
			TimeoutMin: 10, TimeoutDefault: 30_000, TimeoutMax: 120_000,
		},
		HTTP: HTTP{
			HeaderBytes: 16 << 10, HeaderTimeout: 5000, ReadTimeout: 20_000, WriteTimeout: 150_000,
			IdleTimeout: 90_000, Connections: 10_000,
		},
		Log:       Log{AppendTimeout: 2000, Retention: 3_600_000},
		Shutdown:  Shutdown{Notice: 2000, Timeout: 125_000},
		Telemetry: defaultTelemetry(),
	}
}

// HeldBytes returns the bound of the memory that connections and their requests hold.
// By default, unfinished bodies are closed before they take the room that
// limits.body_total_bytes leaves to complete ones: a body holds twice its size.
func (g *Gateway) HeldBytes() int64 {
	if g.HTTP.HeldBytes > 0 {
		return g.HTTP.HeldBytes
	}
	return max(g.Limits.BodyTotalBytes*3/2, g.Limits.BodyBytes*bodyCost)
}

// Advertised returns the address at which gateways and agents reach this gateway.
func (g *Gateway) Advertised() string {
	if g.AdvertisedAddress != "" {
		return g.AdvertisedAddress
	}
	return g.InternalAddress
}

func (g *Gateway) check(c *checker) {
	c.checkAddress("callers_address", g.CallersAddress, true)
	c.checkAddress("operators_address", g.OperatorsAddress, true)
	c.checkAddress("internal_address", g.InternalAddress, true)
	c.checkAddress("advertised_address", g.AdvertisedAddress, false)
	c.requireDistinct([]string{"callers_address", "operators_address", "internal_address"},
		[]string{g.CallersAddress, g.OperatorsAddress, g.InternalAddress})
	c.checkPeerAddresses("peers", g.Peers, g.Advertised())
	c.checkURL("platform_log_url", g.PlatformLogURL)
	c.checkURL("platform_lease_url", g.PlatformLeaseURL)
	g.Timing.check(c)
	g.Telemetry.check(c)
	g.checkLimits(c)
	g.checkTimes(c)
}

// bodyCost is the least ratio of the memory of all requests to the largest body: a body
// holds twice its size until its request ends.
const bodyCost = 4

func (g *Gateway) checkLimits(c *checker) {
	l := g.Limits
	c.requireAtMost(keyValue{"limits.payload_bytes", l.PayloadBytes}, keyValue{"limits.body_bytes", l.BodyBytes},
		"a body has to hold a payload of the largest size")
	c.requireAtMost(keyValue{"limits.body_bytes", l.BodyBytes}, keyValue{"limits.body_total_bytes", l.BodyTotalBytes},
		"one body has to fit into the bound of all")
	if h := g.HTTP.HeldBytes; h != 0 && h < l.BodyBytes*bodyCost && !c.invalidKeys["limits.body_bytes"] {
		c.addf("http.held_bytes", "%d must be at least %d times limits.body_bytes (%d): the largest request has to fit beside others", h, bodyCost, l.BodyBytes)
	}
	c.requireAtMost(keyValue{"limits.job_timeout_min_ms", int64(l.TimeoutMin)}, keyValue{"limits.job_timeout_default_ms", int64(l.TimeoutDefault)},
		"the default has to be within the bounds")
	c.requireAtMost(keyValue{"limits.job_timeout_default_ms", int64(l.TimeoutDefault)}, keyValue{"limits.job_timeout_max_ms", int64(l.TimeoutMax)},
		"the default has to be within the bounds")
}

func (g *Gateway) checkTimes(c *checker) {
	longest := keyValue{"limits.job_timeout_max_ms", int64(g.Limits.TimeoutMax)}
	c.requireLess(longest, keyValue{"timing.retention_ms", int64(g.Timing.Retention)},
		"the outcome of a task must be kept until its job ends")
	if h := g.HTTP; h.WriteTimeout <= h.ReadTimeout+g.Limits.TimeoutMax && !c.invalidKeys["limits.job_timeout_max_ms"] {
		c.addf("http.write_timeout_ms", "%d must be above the sum of http.read_timeout_ms (%d) and limits.job_timeout_max_ms (%d): the connection must stay open until the answer",
			h.WriteTimeout, h.ReadTimeout, g.Limits.TimeoutMax)
	}
	c.requireAtMost(longest, keyValue{"shutdown.timeout_ms", int64(g.Shutdown.Timeout)},
		"a graceful shutdown must not cut a request in progress")
	c.requireAtMost(keyValue{"http.header_timeout_ms", int64(g.HTTP.HeaderTimeout)}, keyValue{"http.read_timeout_ms", int64(g.HTTP.ReadTimeout)},
		"the header is part of the request")
	c.requireLess(keyValue{"probing.ping_interval_ms", int64(g.Probing.PingInterval)}, keyValue{"probing.ping_failure_ms", int64(g.Probing.PingFailure)},
		"one lost ping must not count as a failure")
	c.requireLess(keyValue{"probing.probe_interval_ms", int64(g.Probing.ProbeInterval)}, keyValue{"timing.validity_ms", int64(g.Timing.Validity)},
		"a confirmation must arrive before the last one ends")
	c.requireLess(keyValue{"timing.retention_ms", int64(g.Timing.Retention)}, keyValue{"log.retention_ms", int64(g.Log.Retention)},
		"departed agents must stay in the log while their ledgers would count")
}
