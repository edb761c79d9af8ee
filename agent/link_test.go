package agent

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

// The target must receive the identity of the task and the trace context. The owner
// must receive the result with the attempt to which it belongs.
func TestTaskRunsAndItsOutcomeIsReported(t *testing.T) {
	seen := make(chan http.Header, 1)
	h := startAgent(t, Options{}, Dependencies{}, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("done "), body...))
	})
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(4, 7))
	rec := l.records(1)[0]
	if rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED || string(rec.GetResult()) != "done payload" ||
		rec.GetEpoch() != 5 || rec.GetAttempt() != 7 || rec.GetTask().GetIndex() != 4 {
		t.Fatalf("record %v", rec)
	}
	got := <-seen
	for name, want := range map[string]string{
		HeaderClient: "c", HeaderKey: "k%20%C3%A9%0A", HeaderIndex: "4", HeaderAttempt: "7",
	} {
		if got.Get(name) != want {
			t.Errorf("header %s is %q, want %q", name, got.Get(name), want)
		}
	}
	if !strings.HasPrefix(got.Get("Traceparent"), "00-0af7651916cd43dd8448eb211c80319c-") {
		t.Errorf("traceparent %q", got.Get("Traceparent"))
	}
	// A second start of the same task must return the existing record.
	l.start(reportEach, start(4, 8))
	again := l.records(1)[0]
	if again.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_DUPLICATE || string(again.GetResult()) != "done payload" || again.GetAttempt() != 7 {
		t.Fatalf("second start: %v", again)
	}
}

// A task may be placed elsewhere only if its request cannot have reached the target.
// After any other fault it counts as started, and the request must not be sent again.
// The faults happen on a reused connection, because an HTTP client may then retry a
// request on its own.
func TestTargetFaultsDoNotRepeatRequests(t *testing.T) {
	const notStarted, failed = pb.TaskState_TASK_STATE_NOT_STARTED, pb.TaskState_TASK_STATE_FAILED
	hijack := func(answer string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		down    bool
		want    pb.TaskState
	}{
		{"connection refused", nil, true, notStarted},
		{"error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, false, failed},
		{"closed without an answer", hijack(""), false, failed},
		{"closed within the answer", hijack("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), false, failed},
		{"no HTTP", hijack("hello\r\n\r\n"), false, failed},
		{"result over the limit", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1025)) }, false, failed},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}, false, failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := make(chan struct{}, 10)
			opts := Options{}
			opts.Ledger.ResultLimit = 1024
			h := startAgent(t, opts, Dependencies{}, func(w http.ResponseWriter, r *http.Request) {
				calls <- struct{}{}
				if r.Header.Get(HeaderIndex) == "0" {
					c.handler(w, r)
				}
			})
			h.announce()
			l := h.dial("g1")
			if c.down {
				h.target.Close()
			} else {
				l.start(reportEach, start(1, 1))
				l.records(1)
				<-calls
			}
			l.start(reportEach, start(0, 1))
			if rec := l.records(1)[0]; rec.GetState() != c.want {
				t.Fatalf("record %v, want state %v", rec, c.want)
			}
			want := 1
			if c.down {
				want = 0
			}
			if len(calls) != want {
				t.Fatalf("the target got %d requests, want %d", len(calls), want)
			}
		})
	}
}

// Each refusal must have the right reason, because the owner uses it to decide where
// to place the task next.
func TestRefusalReasons(t *testing.T) {
	long := time.Now().Add(-time.Hour).UnixNano()
	for _, c := range []struct {
		name    string
		prepare func(h *harness, l *link, s *pb.Start)
		want    pb.RefusalReason
	}{
		{"no target", func(*harness, *link, *pb.Start) {}, pb.RefusalReason_REFUSAL_REASON_NO_TARGET},
		{"other service", func(h *harness, _ *link, s *pb.Start) { h.announce(); s.Service = "other" }, pb.RefusalReason_REFUSAL_REASON_NO_TARGET},
		{"target left", func(h *harness, _ *link, _ *pb.Start) { h.announce(); h.post("/v1/leave", nil) }, pb.RefusalReason_REFUSAL_REASON_LEAVING},
		{"permit of another incarnation", func(h *harness, l *link, _ *pb.Start) { h.announce(); l.permit.AgentIncarnation++ }, pb.RefusalReason_REFUSAL_REASON_PERMIT_EXPIRED},
		{"no permit", func(h *harness, l *link, _ *pb.Start) { h.announce(); l.permit = nil }, pb.RefusalReason_REFUSAL_REASON_PERMIT_EXPIRED},
		{"deadline passed", func(h *harness, _ *link, s *pb.Start) { h.announce(); s.DeadlineUnixNanos = long }, pb.RefusalReason_REFUSAL_REASON_DEADLINE},
		{"older epoch", func(h *harness, l *link, _ *pb.Start) { h.announce(); l.fence(6) }, pb.RefusalReason_REFUSAL_REASON_STALE_EPOCH},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startAgent(t, Options{}, Dependencies{}, func(http.ResponseWriter, *http.Request) {
				t.Error("the target got a request")
			})
			l, s := h.dial("g1"), start(0, 1)
			c.prepare(h, l, s)
			l.start(reportEach, s)
			if rec := l.records(1)[0]; rec.GetRefusal() != c.want || rec.GetState() != pb.TaskState_TASK_STATE_NOT_STARTED {
				t.Fatalf("record %v, want %v", rec, c.want)
			}
		})
	}
}

// The queue is bounded. A job that exceeds it must get refusals and must not block
// the link.
func TestQueueIsBounded(t *testing.T) {
	g := newBlockingHandler()
	h := startAgent(t, Options{QueueLimit: 1}, Dependencies{}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(0, 1), start(1, 1), start(2, 1), start(3, 1))
	if rec := l.records(1)[0]; rec.GetTask().GetIndex() != 3 || rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL {
		t.Fatalf("record %v", rec)
	}
	for range 3 {
		g.release <- struct{}{}
	}
	if recs := l.records(3); len(recs) != 3 {
		t.Fatalf("records %v", recs)
	}
}

// A job with many tasks must not cost one report per task, but a gateway with more
// tasks must learn about free slots before the batch ends. With 3 slots and 4 tasks,
// the first outcome leaves no slot free, because the fourth task takes it; the second
// outcome does.
func TestOutcomesAreReportedByBatch(t *testing.T) {
	for _, c := range []struct {
		mode pb.ReportMode
		// release is the number of tasks that the target finishes before each report.
		release []int
	}{
		{pb.ReportMode_REPORT_MODE_BATCH, []int{2, 2}},
		{pb.ReportMode_REPORT_MODE_LAST, []int{4}},
	} {
		t.Run(c.mode.String(), func(t *testing.T) {
			g := newBlockingHandler()
			h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
			n := h.announcement()
			n.Slots = 3
			h.post("/v1/announce", n)
			l := h.dial("g1")
			l.start(c.mode, start(0, 1), start(1, 1), start(2, 1), start(3, 1))
			for _, want := range c.release {
				for range want {
					g.release <- struct{}{}
				}
				if got := len(l.receive().GetReport().GetRecords()); got != want {
					t.Fatalf("report has %d records, want %d", got, want)
				}
			}
		})
	}
}

// An outcome that could not be sent because the link was down must reach the gateway
// that takes over the partition, in the fence reply.
func TestFenceDeliversOutcomesOfALostLink(t *testing.T) {
	g := newBlockingHandler()
	h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
	h.loseLinkWithOneOutcome(g)
	l := h.dial("g2")
	states := map[pb.TaskState]int{}
	reply := l.fence(6)
	for _, r := range reply.GetRecords() {
		states[r.GetState()]++
	}
	want := map[pb.TaskState]int{pb.TaskState_TASK_STATE_RUNNING: 1, pb.TaskState_TASK_STATE_SUCCEEDED: 1}
	if fmt.Sprint(states) != fmt.Sprint(want) || !reply.GetLast() {
		t.Fatalf("fence reply %v", reply)
	}
	g.release <- struct{}{}
	if rec := l.records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("record %v", rec)
	}
}

// A gateway that reconnects must receive the outcome that it missed, without asking
// for it, and only once. Other gateways must not receive it.
func TestReconnectDeliversOutcomesOfALostLink(t *testing.T) {
	g := newBlockingHandler()
	h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
	h.loseLinkWithOneOutcome(g)
	other := h.dial("g2")
	other.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Probe{Probe: &pb.Probe{}}})
	if f := other.receive(); f.GetProbed() == nil {
		t.Fatalf("another gateway got %v", f)
	}
	l := h.dial("g1")
	if rec := l.records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("record %v", rec)
	}
	g.release <- struct{}{}
	if recs := l.records(1); len(recs) != 1 {
		t.Fatalf("records %v", recs)
	}
}

// A frame that arrives on a link after its gateway has opened a newer one must have no
// effect: the gateway may have placed the task elsewhere after a reply on the newer
// link.
func TestFramesOfAReplacedLinkAreDiscarded(t *testing.T) {
	h := startAgent(t, Options{}, Dependencies{}, func(http.ResponseWriter, *http.Request) {
		t.Error("the target got a request")
	})
	h.announce()
	old := h.dial("g1")
	h.agent.mu.Lock()
	s := h.agent.sessions["g1"]
	h.agent.mu.Unlock()
	l := h.dial("g1")
	if err := h.agent.handleStart(s, &pb.StartBatch{Permit: old.permit, Starts: []*pb.Start{start(0, 1)}}); err == nil {
		t.Fatal("the start was taken")
	}
	if _, err := old.stream.Receive(); err == nil {
		t.Fatal("the replaced link stays open")
	}
	if recs := l.fence(5).GetRecords(); len(recs) != 0 {
		t.Fatalf("records %v", recs)
	}
}

// A revoke may arrive before the start that it revokes. The owner places the task
// elsewhere after the reply, so that start must be refused when it arrives. A later
// attempt on this agent must be accepted.
func TestRevokeBeforeItsStart(t *testing.T) {
	h := startAgent(t, Options{}, Dependencies{}, func(http.ResponseWriter, *http.Request) {})
	h.announce()
	l := h.dial("g1")
	s := start(0, 1)
	reply := l.revoke(1, &pb.TaskAttempt{Task: s.GetTask(), Partition: 3, Epoch: 5, Attempt: 1})
	if r := reply.GetRecords(); reply.GetRequest() != 1 || len(r) != 1 || r[0].GetState() != pb.TaskState_TASK_STATE_NOT_STARTED {
		t.Fatalf("reply %v", reply)
	}
	l.start(reportEach, s)
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_REVOKED {
		t.Fatalf("late start: %v", rec)
	}
	l.start(reportEach, start(0, 2))
	if rec := l.records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("later attempt: %v", rec)
	}
}

// The cancellation of a job must free its slots and its places in the queue
// immediately.
func TestCancelAbortsRunningAndDropsQueued(t *testing.T) {
	g := newBlockingHandler()
	h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(reportBatch, start(0, 1), start(1, 1), start(2, 1))
	<-g.arrived
	<-g.arrived
	id := start(0, 1).GetTask()
	l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Cancel{Cancel: &pb.CancelJobs{
		Jobs: []*pb.JobKey{{Client: id.GetClient(), Key: id.GetKey(), Partition: 3, Epoch: 5}},
	}}})
	states := map[uint32]pb.TaskState{}
	for _, r := range l.records(3) {
		states[r.GetTask().GetIndex()] = r.GetState()
	}
	for i, want := range []pb.TaskState{pb.TaskState_TASK_STATE_FAILED, pb.TaskState_TASK_STATE_FAILED, pb.TaskState_TASK_STATE_NOT_STARTED} {
		if states[uint32(i)] != want {
			t.Errorf("task %d is %v, want %v", i, states[uint32(i)], want)
		}
	}
}

// Owners confirm their ownership with probe replies, which must contain each epoch
// known to the agent that is newer than the offset applied by the gateway.
func TestProbeNamesNewerEpochs(t *testing.T) {
	h := startAgent(t, Options{}, Dependencies{}, func(http.ResponseWriter, *http.Request) {})
	l := h.dial("g1")
	h.dial("g2").fence(8)
	for offset, want := range map[uint64]int{7: 1, 8: 0} {
		l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Probe{Probe: &pb.Probe{Sequence: offset, AppliedOffset: offset}}})
		r := l.receive().GetProbed()
		if r.GetSequence() != offset || len(r.GetNewer()) != want {
			t.Fatalf("offset %d: reply %v", offset, r)
		}
	}
	if n := l.fence(7).GetNewer(); len(n) != 1 || n[0].GetEpoch() != 8 {
		t.Fatalf("fence with an older epoch: newer %v", n)
	}
}

// A malformed frame must end its link and must have no effect on the ledger.
func TestMalformedFramesEndTheLink(t *testing.T) {
	with := func(f func(s *pb.Start)) *pb.GatewayFrame {
		s := start(0, 1)
		f(s)
		return &pb.GatewayFrame{Frame: &pb.GatewayFrame_Start{Start: &pb.StartBatch{Starts: []*pb.Start{s}}}}
	}
	h := startAgent(t, Options{}, Dependencies{}, func(http.ResponseWriter, *http.Request) {})
	h.announce()
	for name, f := range map[string]*pb.GatewayFrame{
		"empty frame":       {},
		"second hello":      {Frame: &pb.GatewayFrame_Hello{Hello: &pb.Hello{Gateway: "g1"}}},
		"no client":         with(func(s *pb.Start) { s.Task.Client = "" }),
		"no task":           with(func(s *pb.Start) { s.Task = nil }),
		"short digest":      with(func(s *pb.Start) { s.JobDigest = s.JobDigest[:3] }),
		"partition too big": with(func(s *pb.Start) { s.Partition = 1 << 20 }),
		"index too big":     with(func(s *pb.Start) { s.Task.Index = 1 << 20 }),
		"payload too big":   with(func(s *pb.Start) { s.Payload = make([]byte, 256<<10+1) }),
		"frame too big":     with(func(s *pb.Start) { s.Payload = make([]byte, 17<<20) }),
		"fence partition":   {Frame: &pb.GatewayFrame_Fence{Fence: &pb.Fence{Partitions: []*pb.PartitionEpoch{{Partition: 1 << 20}}}}},
		"revoke without id": {Frame: &pb.GatewayFrame_Revoke{Revoke: &pb.Revoke{Attempts: []*pb.TaskAttempt{{}}}}},
		"cancel without id": {Frame: &pb.GatewayFrame_Cancel{Cancel: &pb.CancelJobs{Jobs: []*pb.JobKey{{}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			l := h.dial("g1")
			_ = l.stream.Send(f)
			_, err := l.stream.Receive()
			if code := connect.CodeOf(err); err == nil || code != connect.CodeInvalidArgument && code != connect.CodeResourceExhausted {
				t.Fatalf("link ended with %v", err)
			}
			if n := h.agent.ledger.Counts(0); n.Entries != 0 {
				t.Fatalf("ledger %+v", n)
			}
		})
	}
}
