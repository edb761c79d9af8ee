// Package telemetry provides metrics and traces. All metrics are defined in one
// catalogue, from which docs/metrics.md is generated, and Prometheus scrapes them.
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

// Metric is one entry of the catalogue. Its exported name has the prefix
// "rhubarbsail_".
type Metric struct {
	Name string
	Kind Kind
	// Unit is the unit of the value, such as seconds or jobs.
	Unit string
	// Labels are the label names. Label values are passed in the same order.
	Labels  []string
	Meaning string
}

var catalogue []Metric

func define(kind Kind, name, unit, meaning string, labels ...string) Metric {
	m := Metric{Name: name, Kind: kind, Unit: unit, Meaning: meaning, Labels: labels}
	catalogue = append(catalogue, m)
	return m
}

// DurationBuckets are the upper bounds of the histogram buckets, in seconds. Tasks
// take 50 ms to several seconds, network hops less than 1 ms, and the
// longest timeout is 120 s.
var DurationBuckets = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120,
}

// tagged returns the scope with the label values set. It panics if their number
// differs from that of the metric's labels, which is a programming error.
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

// Counter returns the metric's counter for the label values. Callers on a hot path
// should keep it, since the lookup allocates.
func (m Metric) Counter(s tally.Scope, values ...string) tally.Counter {
	return m.tagged(s, values).Counter(m.Name)
}

// Gauge returns the metric's gauge for the label values.
func (m Metric) Gauge(s tally.Scope, values ...string) tally.Gauge {
	return m.tagged(s, values).Gauge(m.Name)
}

// Histogram returns the metric's histogram for the label values.
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

// Markdown returns the content of docs/metrics.md.
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
