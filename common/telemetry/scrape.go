package telemetry

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Set reports the value of a gauge for the label values.
type Set func(m Metric, value float64, labels ...string)

// Handler serves the metrics of a process in the Prometheus text format.
type Handler struct {
	http.Handler
	gauges *scrapeGauges
}

// OnScrape registers a callback that reports gauges at each scrape. These gauges
// must not be set through the scope as well.
func (h Handler) OnScrape(collect func(Set)) {
	h.gauges.mu.Lock()
	defer h.gauges.mu.Unlock()
	h.gauges.callbacks = append(h.gauges.callbacks, collect)
}

// scrapeGauges is a Prometheus collector whose gauges are read at each scrape.
type scrapeGauges struct {
	// labels are the constant labels of the process.
	labels prometheus.Labels

	mu        sync.Mutex // guards callbacks
	callbacks []func(Set)
}

// Describe sends nothing, which makes the collector unchecked: its gauges are
// known only when they are collected.
func (g *scrapeGauges) Describe(chan<- *prometheus.Desc) {}

// Collect runs the callbacks of OnScrape.
func (g *scrapeGauges) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	callbacks := g.callbacks
	g.mu.Unlock()
	for _, f := range callbacks {
		f(func(m Metric, value float64, labels ...string) {
			desc := prometheus.NewDesc(Prefix+"_"+m.Name, m.Meaning, m.Labels, g.labels)
			metric, err := prometheus.NewConstMetric(desc, prometheus.GaugeValue, value, labels...)
			if err != nil {
				metric = prometheus.NewInvalidMetric(desc, err)
			}
			out <- metric
		})
	}
}
