package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"connectrpc.com/connect"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a running agent with a target whose handler is given by the test.
type harness struct {
	t      testing.TB
	agent  *Agent
	target *httptest.Server
	api    string
	http   *http.Client
	stop   context.CancelFunc
	done   chan error
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startAgent runs an agent whose target is not announced yet. It makes the test
// parallel, because the shutdown of an HTTP/2 server takes a second.
func startAgent(t testing.TB, opts Options, deps Dependencies, handler http.HandlerFunc) *harness {
	t.Helper()
	if p, ok := t.(*testing.T); ok {
		p.Parallel()
	}
	deps.LinkListener, deps.TargetListener = listen(t), listen(t)
	opts.Agent = "agent-1"
	if opts.HeartbeatExpiry == 0 {
		opts.HeartbeatExpiry = time.Hour
	}
	a, err := New(opts, deps)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{
		t: t, agent: a, target: httptest.NewServer(handler), api: "http://" + deps.TargetListener.Addr().String(),
		http: &http.Client{Transport: transport}, stop: cancel, done: make(chan error, 1),
	}
	go func() { h.done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-h.done; err != nil {
			t.Errorf("Run returned %v", err)
		}
		h.target.Close()
		transport.CloseIdleConnections()
	})
	return h
}

func (h *harness) announcement() Announcement {
	return Announcement{Target: "target-1", Service: "s", Slots: 2, Connections: 4, Address: h.target.Listener.Addr().String()}
}

// post sends a request to the agent's API for the target and returns the status
// code.
func (h *harness) post(path string, body any) int {
	h.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		h.t.Fatal(err)
	}
	resp, err := http.Post(h.api+path, "application/json", bytes.NewReader(b))
	if err != nil {
		h.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	return resp.StatusCode
}

func (h *harness) announce() {
	h.t.Helper()
	if code := h.post("/v1/announce", h.announcement()); code != http.StatusOK {
		h.t.Fatalf("announce: status %d", code)
	}
}

// link is the gateway's end of a link.
type link struct {
	t      testing.TB
	stream *connect.BidiStreamForClient[pb.GatewayFrame, pb.AgentFrame]
	cancel context.CancelFunc
	// permit is the permit from the last frame.
	permit *pb.Permit
}

// dial opens a link and waits for the welcome frame.
func (h *harness) dial(gateway string) *link {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := rhubarbsailv1connect.NewAgentServiceClient(h.http, "http://"+h.agent.deps.LinkListener.Addr().String())
	l := &link{t: h.t, stream: c.Link(ctx), cancel: cancel}
	h.t.Cleanup(l.close)
	l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Hello{Hello: &pb.Hello{Gateway: gateway, GatewayIncarnation: 1}}})
	if f := l.receive(); f.GetWelcome() == nil {
		h.t.Fatalf("first frame is %v", f)
	}
	return l
}

func (l *link) close() {
	l.cancel()
	_ = l.stream.CloseRequest()
	_ = l.stream.CloseResponse()
}

func (l *link) send(f *pb.GatewayFrame) {
	l.t.Helper()
	if err := l.stream.Send(f); err != nil {
		l.t.Fatal(err)
	}
}

func (l *link) receive() *pb.AgentFrame {
	l.t.Helper()
	f, err := l.stream.Receive()
	if err != nil {
		l.t.Fatal(err)
	}
	if f.GetPermit() == nil || f.GetLoad() == nil {
		l.t.Fatalf("frame without permit or load: %v", f)
	}
	l.permit = f.GetPermit()
	return f
}

// records returns at least n records from the next reports. Reports without
// records, which only carry the load, are skipped.
func (l *link) records(n int) []*pb.TaskRecord {
	l.t.Helper()
	var out []*pb.TaskRecord
	for len(out) < n {
		f := l.receive()
		if f.GetReport() == nil {
			l.t.Fatalf("unexpected frame %v", f)
		}
		out = append(out, f.GetReport().GetRecords()...)
	}
	return out
}

func start(index uint32, attempt uint32) *pb.Start {
	return &pb.Start{
		Task:      &pb.TaskID{Client: "c", Key: "k é\n", Index: index},
		Partition: 3, Epoch: 5, Attempt: attempt, JobDigest: make([]byte, 16),
		Service: "s", Payload: []byte("payload"),
		Traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}
}

func (l *link) start(mode pb.ReportMode, starts ...*pb.Start) {
	l.t.Helper()
	l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Start{Start: &pb.StartBatch{
		Permit: l.permit, Starts: starts, Report: mode,
	}}})
}

func (l *link) fence(epoch uint64) *pb.FenceReply {
	l.t.Helper()
	l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Fence{Fence: &pb.Fence{
		Request: 9, Partitions: []*pb.PartitionEpoch{{Partition: 3, Epoch: epoch}},
	}}})
	for {
		if f := l.receive(); f.GetFenced() != nil {
			return f.GetFenced()
		}
	}
}

func (l *link) revoke(request uint64, attempts ...*pb.TaskAttempt) *pb.RevokeReply {
	l.t.Helper()
	l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Revoke{Revoke: &pb.Revoke{Request: request, Attempts: attempts}}})
	for {
		if f := l.receive(); f.GetRevoked() != nil {
			return f.GetRevoked()
		}
	}
}

// loseLinkWithOneOutcome starts two tasks through gateway g1, closes its link and
// then lets one of the tasks finish.
func (h *harness) loseLinkWithOneOutcome(g *blockingHandler) {
	h.t.Helper()
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(0, 1), start(1, 1))
	<-g.arrived
	<-g.arrived
	l.close()
	wait := func(cond func() bool) {
		if err := h.agent.await(h.t.Context(), cond); err != nil {
			h.t.Fatal(err)
		}
	}
	wait(func() bool { return len(h.agent.sessions) == 0 })
	g.release <- struct{}{}
	wait(func() bool { return len(h.agent.running) == 1 })
}

const (
	reportEach  = pb.ReportMode_REPORT_MODE_EACH
	reportBatch = pb.ReportMode_REPORT_MODE_BATCH
)

// blockingHandler is a target handler that signals the arrival of each request and
// answers it when the test releases it.
type blockingHandler struct {
	arrived chan string
	release chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{arrived: make(chan string, 100), release: make(chan struct{}, 100)}
}

func (g *blockingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	g.arrived <- r.Header.Get(HeaderIndex)
	select {
	case <-g.release:
		_, _ = io.WriteString(w, "result "+r.Header.Get(HeaderIndex))
	case <-r.Context().Done():
	}
}

// manualClock is a clock that only the test advances.
type manualClock struct {
	mu sync.Mutex
	t  time.Time
}

func newManualClock() *manualClock { return &manualClock{t: time.Unix(1_000_000, 0)} }

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}
