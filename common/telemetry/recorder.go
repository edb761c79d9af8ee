package telemetry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// maxRecordedSpans limits the memory of a Recorder. A job of 1,300 tasks has a few
// spans per task.
const maxRecordedSpans = 20_000

// Recorder is a span exporter that keeps spans in memory, for the single-process
// mode and for tests. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex // guards spans
	spans []sdktrace.ReadOnlySpan
}

// ExportSpans stores the spans and drops those beyond maxRecordedSpans.
func (r *Recorder) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(spans), maxRecordedSpans-len(r.spans))
	r.spans = append(r.spans, spans[:n]...)
	return nil
}

// Shutdown does nothing.
func (r *Recorder) Shutdown(context.Context) error { return nil }

// Trace returns the spans of one trace, sorted by start time.
func (r *Recorder) Trace(id trace.TraceID) []sdktrace.ReadOnlySpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []sdktrace.ReadOnlySpan
	for _, s := range r.spans {
		if s.SpanContext().TraceID() == id {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b sdktrace.ReadOnlySpan) int { return a.StartTime().Compare(b.StartTime()) })
	return out
}

// Tree formats the spans of one trace as an indented tree with one line per span:
// its start relative to the first span, its duration, its name and its process.
// Spans whose parent is missing are roots.
func Tree(spans []sdktrace.ReadOnlySpan) []string {
	if len(spans) == 0 {
		return nil
	}
	present := make(map[trace.SpanID]bool, len(spans))
	children := map[trace.SpanID][]sdktrace.ReadOnlySpan{}
	for _, s := range spans {
		present[s.SpanContext().SpanID()] = true
	}
	for _, s := range spans {
		parent := s.Parent().SpanID()
		if !present[parent] {
			parent = trace.SpanID{}
		}
		children[parent] = append(children[parent], s)
	}
	start := spans[0].StartTime()
	lines := []string{fmt.Sprintf("%10s %10s  SPAN", "START", "DURATION")}
	var addChildren func(parent trace.SpanID, depth int)
	addChildren = func(parent trace.SpanID, depth int) {
		for _, s := range children[parent] {
			lines = append(lines, fmt.Sprintf("%10s %10s  %s%s (%s)", formatMillis(s.StartTime().Sub(start)),
				formatMillis(s.EndTime().Sub(s.StartTime())), strings.Repeat("  ", depth), s.Name(), processOf(s)))
			addChildren(s.SpanContext().SpanID(), depth+1)
		}
	}
	addChildren(trace.SpanID{}, 0)
	return lines
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%.2f ms", d.Seconds()*1000) }

func processOf(s sdktrace.ReadOnlySpan) string {
	var name, id string
	for _, a := range s.Resource().Attributes() {
		switch a.Key {
		case "service.name":
			name = strings.TrimPrefix(a.Value.AsString(), "rhubarbsail-")
		case "service.instance.id":
			id = a.Value.AsString()
		}
	}
	return strings.TrimSpace(name + " " + id)
}
