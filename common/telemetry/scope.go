package telemetry

import (
	"io"
	"runtime"
	"runtime/debug"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/rhubarbsail/rhubarbsail/common/events"
)

// Prefix precedes the name of each metric.
const Prefix = "rhubarbsail"

// reportInterval is the interval at which tally reports counters and gauges to the
// registry. A scrape returns values that are at most this old.
const reportInterval = time.Second

// Metrics is the metrics registry of a process.
type Metrics struct {
	// Scope creates metrics.
	Scope tally.Scope
	// Handler serves the Prometheus text.
	Handler Handler
	closer  io.Closer
}

// NewMetrics returns a registry whose metrics have the labels process and id.
func NewMetrics(process, id string, log zerolog.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauges := &scrapeGauges{labels: prometheus.Labels{"process": process, "id": id}}
	registry.MustRegister(gauges)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError: func(err error) {
			events.MetricRejected.Log(log).Err(err).Send()
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Tags:                   map[string]string{"process": process, "id": id},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	BuildInfo.Gauge(scope, moduleVersion(), runtime.Version()).Update(1)
	return &Metrics{
		Scope: scope,
		// One metric that cannot be collected must not hide the others.
		Handler: Handler{promhttp.HandlerFor(registry, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError}), gauges},
		closer:  closer,
	}
}

// sanitizeOptions leaves label values unchanged. Tally's default for Prometheus
// would replace the id gateway-1 with gateway_1.
func sanitizeOptions() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, utf8.MaxRune}}}
	return &o
}

// Close reports the final values and stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// moduleVersion returns the module version from which the program was built.
func moduleVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
