package settings

// LogStandin holds the settings of the stand-in for the platform's log and lease
// services.
type LogStandin struct {
	ListenAddress    string       `json:"listen_address" strict:"required,min=1" doc:"IP:port of the service."`
	AppendsPerSecond float64      `json:"appends_per_second" strict:"min=0,max=1000000" doc:"Bound of the append rate; 0 is none."`
	RetainCount      int64        `json:"retain_count" strict:"min=0,max=1000000000" doc:"Records that a stream keeps; 0 is no bound."`
	RetainFor        Milliseconds `json:"retain_for_ms" strict:"min=0,max=31536000000" doc:"Time for which a stream keeps records; 0 is no bound."`
	Telemetry        Telemetry    `json:"telemetry" doc:"Logs and traces."`
}

func (l *LogStandin) setDefaults() {
	*l = LogStandin{AppendsPerSecond: 300, Telemetry: defaultTelemetry()}
}

func (l *LogStandin) check(c *checker) {
	c.checkAddress("listen_address", l.ListenAddress, true)
	l.Telemetry.check(c)
}

// TargetStandin holds the settings of a stand-in target.
type TargetStandin struct {
	ID                string       `json:"id" strict:"required,min=1,max=128" doc:"Name of the target, as in the inventory."`
	Service           string       `json:"service" strict:"required,min=1,max=128" doc:"Service that the target offers."`
	ListenAddress     string       `json:"listen_address" strict:"required,min=1" doc:"IP:port for tasks."`
	AgentURL          string       `json:"agent_url" strict:"required,min=1" doc:"URL of the agent's announce_address."`
	Slots             int64        `json:"slots" strict:"min=1,max=4096" doc:"Tasks that run at the same time."`
	Connections       int64        `json:"connections" strict:"min=1,max=65536" doc:"Connections that the target accepts."`
	Run               Milliseconds `json:"run_ms" strict:"min=0,max=120000" doc:"Time that a task takes at speed 1 if its payload names none."`
	Speed             float64      `json:"speed" strict:"min=0.001,max=1000" doc:"Speed of the target; the run time of a task is divided by it."`
	FailRatio         float64      `json:"fail_ratio" strict:"min=0,max=1" doc:"Share of tasks that fail."`
	HeartbeatInterval Milliseconds `json:"heartbeat_interval_ms" strict:"min=10,max=60000" doc:"Time between two announcements."`
	Telemetry         Telemetry    `json:"telemetry" doc:"Logs and traces."`
}

func (t *TargetStandin) setDefaults() {
	*t = TargetStandin{Slots: 8, Connections: 64, Run: 200, Speed: 1, HeartbeatInterval: 500, Telemetry: defaultTelemetry()}
}

func (t *TargetStandin) check(c *checker) {
	c.checkAddress("listen_address", t.ListenAddress, true)
	c.checkURL("agent_url", t.AgentURL)
	t.Telemetry.check(c)
	c.requireAtMost(keyValue{"slots", t.Slots}, keyValue{"connections", t.Connections}, "each running task needs a connection")
}
