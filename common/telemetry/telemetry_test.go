package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
)

// Guards against a page that lacks metrics: operators look them up by name.
func TestPageMatchesCatalogue(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "metrics", []byte(Markdown()))
}

// Guards against a metric that is missing from a scrape, and against two entries
// with the same name.
func TestScrapeContainsEveryMetricOnce(t *testing.T) {
	m := NewMetrics("gateway", "g-1/é", zerolog.Nop())
	for _, d := range All() {
		record(t, m.Scope, d)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, d := range All() {
		header := "# TYPE " + Prefix + "_" + d.Name + " " + string(d.Kind) + "\n"
		if n := strings.Count(w.Body.String(), header); n != 1 {
			t.Errorf("%q appears %d times", header, n)
		}
	}
	if !strings.Contains(w.Body.String(), `id="g-1/é"`) {
		t.Error("the label id is missing")
	}
}

// Guards against stale values of gauges that are read at each scrape, and against
// one invalid gauge that hides the others.
func TestOnScrapeGaugesAreReadAtEachScrape(t *testing.T) {
	m := NewMetrics("gateway", "g1", zerolog.Nop())
	defer m.Close()
	value := 1.0
	m.Handler.OnScrape(func(set Set) {
		set(TasksQueued, value)
		set(Ready, 1, "a label that the metric does not have")
	})
	for ; value < 3; value++ {
		w := httptest.NewRecorder()
		m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if want := fmt.Sprintf("rhubarbsail_tasks_queued{id=\"g1\",process=\"gateway\"} %v\n", value); !strings.Contains(w.Body.String(), want) {
			t.Errorf("%q is missing in %s", want, w.Body)
		}
	}
}

func record(t *testing.T, s tally.Scope, m Metric) {
	t.Helper()
	switch m.Kind {
	case KindCounter:
		m.Counter(s, m.Labels...).Inc(1)
	case KindGauge:
		m.Gauge(s, m.Labels...).Update(1)
	case KindHistogram:
		m.Histogram(s, m.Labels...).RecordValue(1)
	default:
		t.Fatalf("metric %s has kind %q", m.Name, m.Kind)
	}
}

// Guards against a trace that ends at the gateway: frames carry the trace context
// as a string.
func TestTraceparentRoundTrip(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	p := NewTracerWith(TraceConfig{Ratio: 1}, spans)
	ctx, span := p.Tracer("").Start(context.Background(), "dispatch")
	got := trace.SpanContextFromContext(WithTraceparent(context.Background(), Traceparent(ctx)))
	if got.TraceID() != span.SpanContext().TraceID() || got.SpanID() != span.SpanContext().SpanID() || !got.IsSampled() {
		t.Fatalf("got %v, want %v", got, span.SpanContext())
	}
	if trace.SpanContextFromContext(WithTraceparent(context.Background(), "00-zz")).IsValid() {
		t.Fatal("a malformed traceparent gave a span")
	}
}

// Guards against a sampler that overrides the caller's decision, which leaves
// traces with missing spans.
func TestSamplingFollowsParent(t *testing.T) {
	p := NewTracerWith(TraceConfig{Ratio: 0}, tracetest.NewInMemoryExporter())
	ctx, _ := p.Tracer("").Start(context.Background(), "root")
	if Traceparent(ctx) != "" {
		t.Error("a root span was sampled at ratio 0")
	}
	parent := WithTraceparent(context.Background(), "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01")
	if ctx, _ = p.Tracer("").Start(parent, "child"); Traceparent(ctx) == "" {
		t.Error("the child of a sampled span was not sampled")
	}
}

// pinger answers Ping and records the trace that arrived.
type pinger struct {
	rhubarbsailv1connect.UnimplementedGatewayServiceHandler
	trace trace.TraceID
}

func (p *pinger) Ping(ctx context.Context, _ *connect.Request[rhubarbsailv1.PingRequest]) (*connect.Response[rhubarbsailv1.PingResponse], error) {
	p.trace = trace.SpanContextFromContext(ctx).TraceID()
	return connect.NewResponse(&rhubarbsailv1.PingResponse{}), nil
}

// Guards against a request that loses its trace when a gateway forwards it.
func TestInterceptorPropagatesTrace(t *testing.T) {
	tracer := NewTracerWith(TraceConfig{Ratio: 1}, tracetest.NewInMemoryExporter())
	i, err := Interceptor(tracer)
	if err != nil {
		t.Fatal(err)
	}
	p := &pinger{}
	mux := http.NewServeMux()
	mux.Handle(rhubarbsailv1connect.NewGatewayServiceHandler(p, connect.WithInterceptors(i)))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rhubarbsailv1connect.NewGatewayServiceClient(server.Client(), server.URL, connect.WithInterceptors(i))
	ctx, span := tracer.Tracer("").Start(context.Background(), "forward")
	if _, err := client.Ping(ctx, connect.NewRequest(&rhubarbsailv1.PingRequest{})); err != nil {
		t.Fatal(err)
	}
	if p.trace != span.SpanContext().TraceID() {
		t.Fatalf("trace %v arrived, want %v", p.trace, span.SpanContext().TraceID())
	}
}

// Guards against an exporter that cannot be selected by its name, and against a
// misspelled name that is accepted.
func TestExportersAreSelectedByName(t *testing.T) {
	var out bytes.Buffer
	for exporter, ok := range map[Exporter]bool{ExporterNone: true, ExporterStdout: true, ExporterOTLP: true, "zipkin": false} {
		p, stop, err := NewTracer(context.Background(), TraceConfig{
			Exporter: exporter, Endpoint: "http://127.0.0.1:1/v1/traces", Ratio: 1, Process: "gateway", Out: &out,
		})
		if (err == nil) != ok {
			t.Errorf("exporter %q: %v", exporter, err)
			continue
		}
		if exporter == ExporterStdout {
			_, span := p.Tracer("").Start(context.Background(), "hop")
			span.End()
		}
		if ok && exporter != ExporterOTLP && stop(context.Background()) != nil {
			t.Errorf("exporter %q did not stop", exporter)
		}
	}
	if !strings.Contains(out.String(), "rhubarbsail-gateway") {
		t.Errorf("stdout exporter wrote %q", out.String())
	}
}

// Guards against a trace over several processes that is printed as several trees.
func TestTreeJoinsProcesses(t *testing.T) {
	r := &Recorder{}
	gateway := NewTracerWith(TraceConfig{Ratio: 1, Process: "gateway", ID: "g1"}, r)
	agent := NewTracerWith(TraceConfig{Ratio: 0, Process: "agent", ID: "a1"}, r)
	ctx, root := gateway.Tracer("").Start(context.Background(), "submit")
	_, run := agent.Tracer("").Start(WithTraceparent(context.Background(), Traceparent(ctx)), "run")
	run.End()
	root.End()
	for _, p := range []interface{ ForceFlush(context.Context) error }{gateway, agent} {
		if err := p.ForceFlush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	lines := Tree(r.Trace(root.SpanContext().TraceID()))
	if len(lines) != 3 || !strings.HasSuffix(lines[1], "  submit (gateway g1)") || !strings.HasSuffix(lines[2], "    run (agent a1)") {
		t.Fatalf("got %q", lines)
	}
}
