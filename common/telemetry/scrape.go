package telemetry

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Set reports the value of a gauge with its label values.
type Set func(m Metric, value float64, labels ...string)

// Handler serves the Prometheus text of a process.
type Handler struct {
	http.Handler
	gauges *scrapeGauges
}

// OnScrape adds a function that is called at each scrape and reports gauges.
// They must not be set through the scope too.
func (h Handler) OnScrape(collect func(Set)) {
	h.gauges.mu.Lock()
	defer h.gauges.mu.Unlock()
	h.gauges.collect = append(h.gauges.collect, collect)
}

// scrapeGauges is a Prometheus collector of gauges whose values are read when
// they are scraped.
type scrapeGauges struct {
	// labels are those of the process.
	labels prometheus.Labels

	mu      sync.Mutex // owns collect
	collect []func(Set)
}

// Describe sends nothing: the gauges are known only once they are collected.
func (g *scrapeGauges) Describe(chan<- *prometheus.Desc) {}

// Collect calls the functions of OnScrape.
func (g *scrapeGauges) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	collect := g.collect
	g.mu.Unlock()
	for _, f := range collect {
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
