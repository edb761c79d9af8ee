// Package telemetry provides metrics and traces. Metrics are in one catalogue,
// which docs/metrics.md is generated from, and are scraped by Prometheus.
package telemetry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// Kind is the type of a metric.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Metric is one entry of the catalogue. The name that Prometheus shows has the
// prefix "rhubarbsail_".
type Metric struct {
	Name string
	Kind Kind
	// Unit is what one step of the value counts.
	Unit string
	// Labels are the names of the labels, in the order of their values.
	Labels  []string
	Meaning string
}

var catalogue []Metric

func define(kind Kind, name, unit, meaning string, labels ...string) Metric {
	m := Metric{Name: name, Kind: kind, Unit: unit, Meaning: meaning, Labels: labels}
	catalogue = append(catalogue, m)
	return m
}

// DurationBuckets are the bounds of the histograms, in seconds: tasks take
// 50 ms to several seconds, hops under 1 ms, and timeouts end at 120 s.
var DurationBuckets = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120,
}

// tagged returns the scope with the metric's labels. It panics if the number
// of values is wrong, which is a programming error.
func (m Metric) tagged(s tally.Scope, values []string) tally.Scope {
	if len(values) != len(m.Labels) {
		panic(fmt.Sprintf("telemetry: metric %s has labels %v, got values %v", m.Name, m.Labels, values))
	}
	if len(values) == 0 {
		return s
	}
	tags := make(map[string]string, len(values))
	for i, v := range values {
		tags[m.Labels[i]] = v
	}
	return s.Tagged(tags)
}

// Counter returns the counter of the metric with the label values. Callers on
// a hot path keep it, since the lookup allocates.
func (m Metric) Counter(s tally.Scope, values ...string) tally.Counter {
	return m.tagged(s, values).Counter(m.Name)
}

// Gauge returns the gauge of the metric with the label values.
func (m Metric) Gauge(s tally.Scope, values ...string) tally.Gauge {
	return m.tagged(s, values).Gauge(m.Name)
}

// Histogram returns the histogram of the metric with the label values.
func (m Metric) Histogram(s tally.Scope, values ...string) tally.Histogram {
	return m.tagged(s, values).Histogram(m.Name, tally.ValueBuckets(DurationBuckets))
}

// Observe records a duration in seconds.
func Observe(h tally.Histogram, d time.Duration) { h.RecordValue(d.Seconds()) }

// All returns the catalogue sorted by name.
func All() []Metric {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Metric) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Markdown returns the catalogue as the page docs/metrics.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach daemon serves Prometheus text at `/metrics` on its operators' address. All names have the prefix `" + Prefix + "_`, and all metrics the labels `process` and `id`.\n" +
		"This page is generated from common/telemetry; `go test ./common/telemetry -update` writes it.\n\n" +
		"| metric | kind | unit | labels | meaning |\n|---|---|---|---|---|\n")
	for _, m := range All() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, strings.Join(m.Labels, ", "), m.Meaning)
	}
	return b.String()
}
