package settings

// Telemetry holds the settings of logs and traces.
type Telemetry struct {
	LogLevel         string  `json:"log_level" strict:"one=debug|info|warn|error" doc:"Least level of the log lines written."`
	TraceExporter    string  `json:"trace_exporter" strict:"one=none|stdout|otlp" doc:"Where spans go; otlp sends them over HTTP to trace_endpoint_url."`
	TraceEndpointURL string  `json:"trace_endpoint_url" doc:"URL of the OTLP collector, such as http://10.0.0.9:4318/v1/traces."`
	TraceRatio       float64 `json:"trace_ratio" strict:"min=0,max=1" doc:"Share of requests sampled when their caller made no decision."`
}

func defaultTelemetry() Telemetry {
	return Telemetry{LogLevel: "info", TraceExporter: "none", TraceRatio: 0.01}
}

func (t Telemetry) check(c *checker) {
	c.checkURL("telemetry.trace_endpoint_url", t.TraceEndpointURL)
	if t.TraceExporter == "otlp" && t.TraceEndpointURL == "" {
		c.addf("telemetry.trace_exporter", "otlp needs telemetry.trace_endpoint_url")
	}
	if t.TraceExporter != "otlp" && t.TraceEndpointURL != "" {
		c.addf("telemetry.trace_endpoint_url", "has no effect with telemetry.trace_exporter %q", t.TraceExporter)
	}
}

// Timing holds the durations on which at-most-once execution depends. All gateways
// and agents of a cell must use the same values.
type Timing struct {
	PermitLifetime Milliseconds `json:"permit_lifetime_ms" strict:"min=100,max=60000" doc:"Age at which an agent refuses a permit (D of the design)."`
	Validity       Milliseconds `json:"validity_ms" strict:"min=100,max=60000" doc:"Time that a confirmation of ownership counts (L of the design)."`
	CallerSkew     Milliseconds `json:"caller_skew_ms" strict:"min=0,max=60000" doc:"How far submitted_at may be ahead of a gateway's clock (S of the design)."`
	WallSkew       Milliseconds `json:"wall_skew_ms" strict:"min=0,max=60000" doc:"Largest difference between the wall clocks of two gateways."`
	Retention      Milliseconds `json:"retention_ms" strict:"min=10000,max=86400000" doc:"Time that agents keep outcomes and gateways accept a key."`
}

func defaultTiming() Timing {
	return Timing{PermitLifetime: 3000, Validity: 2000, CallerSkew: 5000, WallSkew: 1000, Retention: 600_000}
}

func (t Timing) check(c *checker) {
	retention := keyValue{"timing.retention_ms", int64(t.Retention)}
	c.requireLess(keyValue{"timing.permit_lifetime_ms", int64(t.PermitLifetime)}, retention,
		"a start must not be possible after its ledger entry has been dropped")
	c.requireLess(keyValue{"timing.validity_ms", int64(t.Validity)}, retention,
		"a takeover must end before the ledgers forget what ran")
	c.requireLess(keyValue{"timing.caller_skew_ms", int64(t.CallerSkew)}, retention,
		"a key must not be too old and in the future at the same time")
}

// The default limits of results and payloads, which bound the frames of a link
// between gateway and agent.
const (
	defaultResultBytes  = 256 << 10
	defaultPayloadBytes = 256 << 10
)
