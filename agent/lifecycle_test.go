package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
	"github.com/rhubarbsail/rhubarbsail/logservice"
)

// leaveCauses holds the two causes of leaving: the target calls POST /v1/leave, or the
// agent gets SIGTERM, which ends the context of Run.
var leaveCauses = map[string]func(h *harness){
	"target": func(h *harness) { h.post("/v1/leave", nil) },
	"agent":  func(h *harness) { h.stop() },
}

// An agent whose target leaves, or that stops, must refuse new starts immediately,
// must report its queued tasks as not started, and must not interrupt running tasks.
func TestLeavingFinishesRunningTasks(t *testing.T) {
	for name, leave := range leaveCauses {
		t.Run(name, func(t *testing.T) {
			g := newBlockingHandler()
			h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
			h.announce()
			l, idle := h.dial("g1"), h.dial("g2")
			l.start(reportBatch, start(0, 1), start(1, 1), start(2, 1))
			<-g.arrived
			<-g.arrived
			leave(h)
			f := l.receive()
			recs := f.GetReport().GetRecords()
			// Only an agent that stops may be recorded as departed. One whose target
			// left must still confirm ownership; otherwise all gateways would stop
			// when most targets leave.
			if f.GetLoad().GetMayDepart() != (name == "agent") {
				t.Fatalf("may depart: %v", f.GetLoad())
			}
			if !f.GetLoad().GetLeaving() || f.GetLoad().GetAccepting() || len(recs) != 1 ||
				recs[0].GetRefusal() != pb.RefusalReason_REFUSAL_REASON_LEAVING || recs[0].GetTask().GetIndex() != 2 {
				t.Fatalf("first frame after leaving: %v", f)
			}
			if f := idle.receive(); !f.GetLoad().GetLeaving() {
				t.Fatalf("frame to the idle gateway: %v", f)
			}
			l.start(reportEach, start(3, 1))
			if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_LEAVING {
				t.Fatalf("start after leaving: %v", rec)
			}
			g.release <- struct{}{}
			g.release <- struct{}{}
			for _, rec := range l.records(2) {
				if rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
					t.Fatalf("running task: %v", rec)
				}
			}
		})
	}
}

// A heartbeat that arrives after the target's leave request must not bring the
// target back, but a restarted target must be able to return later.
func TestTargetReturnsOnlyAfterHeartbeatExpiry(t *testing.T) {
	clock := newManualClock()
	h := startAgent(t, Options{}, Dependencies{Clock: clock}, func(http.ResponseWriter, *http.Request) {})
	h.announce()
	h.post("/v1/leave", nil)
	if code := h.post("/v1/announce", h.announcement()); code != http.StatusConflict {
		t.Fatalf("heartbeat after leaving: status %d", code)
	}
	clock.advance(h.agent.opts.HeartbeatExpiry)
	h.announce()
	if f := h.dial("g1"); f.permit == nil {
		t.Fatal("no permit")
	}
}

// A target whose heartbeat has expired must get no tasks, and its queued tasks must
// be reported as not started so that they can run elsewhere.
func TestTargetWithoutHeartbeatIsGone(t *testing.T) {
	clock, g := newManualClock(), newBlockingHandler()
	h := startAgent(t, Options{}, Dependencies{Clock: clock}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(0, 1), start(1, 1), start(2, 1))
	<-g.arrived
	<-g.arrived
	clock.advance(h.agent.opts.HeartbeatExpiry - 1)
	h.agent.expireTarget()
	h.announce()
	clock.advance(h.agent.opts.HeartbeatExpiry - 1)
	h.agent.expireTarget()
	if _, load := h.agent.permitAndLoad(); !load.GetAccepting() {
		t.Fatal("a heartbeat did not keep the target")
	}
	clock.advance(1)
	h.agent.expireTarget()
	if rec := l.records(1)[0]; rec.GetTask().GetIndex() != 2 || rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_NO_TARGET {
		t.Fatalf("queued task: %v", rec)
	}
	g.release <- struct{}{}
	g.release <- struct{}{}
	l.records(2)
}

// A drain must take effect immediately and must not be undone by an older setting.
// A drained agent must still confirm ownership; otherwise a drain of most targets
// would stop all gateways.
func TestDrainRefusesStartsAndKeepsOwnership(t *testing.T) {
	g := newBlockingHandler()
	h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(0, 1), start(1, 1), start(2, 1))
	<-g.arrived
	<-g.arrived
	drain := func(on bool, offset uint64) {
		l.send(&pb.GatewayFrame{Frame: &pb.GatewayFrame_Drain{Drain: &pb.Drain{Drain: on, AppliedOffset: offset}}})
	}
	drain(true, 7)
	f := l.receive()
	if recs := f.GetReport().GetRecords(); len(recs) != 1 || recs[0].GetTask().GetIndex() != 2 ||
		recs[0].GetState() != pb.TaskState_TASK_STATE_NOT_STARTED || f.GetLoad().GetAccepting() || f.GetLoad().GetMayDepart() {
		t.Fatalf("frame after the drain: %v", f)
	}
	drain(false, 6)
	l.start(reportEach, start(3, 1))
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_LEAVING {
		t.Fatalf("start after an older change: %v", rec)
	}
	g.release <- struct{}{}
	g.release <- struct{}{}
	l.records(2)
	drain(false, 8)
	l.start(reportEach, start(3, 2))
	g.release <- struct{}{}
	if rec := l.records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("start after the end of the drain: %v", rec)
	}
}

// Announcements must be refused if their values would give the target no work or
// too much, or if they are malformed.
func TestMalformedAnnouncements(t *testing.T) {
	h := startAgent(t, Options{}, Dependencies{}, func(http.ResponseWriter, *http.Request) {})
	for name, change := range map[string]func(n *Announcement){
		"no target":            func(n *Announcement) { n.Target = "" },
		"no service":           func(n *Announcement) { n.Service = "" },
		"no slots":             func(n *Announcement) { n.Slots = 0 },
		"too many slots":       func(n *Announcement) { n.Slots = 1 << 20 },
		"no connections":       func(n *Announcement) { n.Connections = 0 },
		"address without port": func(n *Announcement) { n.Address = "127.0.0.1" },
	} {
		n := h.announcement()
		change(&n)
		if code := h.post("/v1/announce", n); code != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, code)
		}
	}
	if code := h.post("/v1/announce", map[string]any{"unknown": 1}); code != http.StatusBadRequest {
		t.Errorf("unknown field: status %d", code)
	}
}

// leaseReply is one reply of the fake lease service.
type leaseReply struct {
	// delay is the time between request and reply on the agent's clock.
	delay, granted time.Duration
	err            error
}

type fakeLease struct {
	clock *manualClock
	next  leaseReply
	// requestedTTL is the TTL of the last request.
	requestedTTL time.Duration
}

func (f *fakeLease) Renew(_ context.Context, _, _ string, ttl time.Duration) (time.Duration, error) {
	f.clock.advance(f.next.delay)
	f.requestedTTL = ttl
	return f.next.granted, f.next.err
}

// Starting tasks without a valid lease could run the same task on two workers. The
// lease must count from the time at which the request was sent, less the margin for
// clock drift, and a failed renewal must not extend it.
func TestLeaseValidity(t *testing.T) {
	lost := errors.Wrap(logservice.ErrUnknownOutcome, "renew")
	for _, c := range []struct {
		name    string
		replies []leaseReply
		// pause is the time after the last reply.
		pause time.Duration
		want  bool
	}{
		{"never asked", nil, 0, false},
		{"granted", []leaseReply{{granted: 10 * time.Second}}, 0, true},
		{"just before the drift margin", []leaseReply{{granted: 10 * time.Second}}, 9*time.Second - 1, true},
		{"at the drift margin", []leaseReply{{granted: 10 * time.Second}}, 9 * time.Second, false},
		{"slow reply counts from the request", []leaseReply{{delay: 8 * time.Second, granted: 10 * time.Second}}, time.Second, false},
		{"reply after its own lapse", []leaseReply{{delay: 20 * time.Second, granted: 10 * time.Second}}, 0, false},
		{"held by another", []leaseReply{{err: logservice.ErrLeaseHeld}}, 0, false},
		{"unavailable after a grant", []leaseReply{{granted: 10 * time.Second}, {delay: 5 * time.Second, err: logservice.ErrUnavailable}}, 0, true},
		{"unknown outcome does not extend", []leaseReply{{granted: 10 * time.Second}, {delay: 5 * time.Second, err: lost}}, 4 * time.Second, false},
		{"renewed after a lapse", []leaseReply{{granted: time.Second}, {delay: 9 * time.Second, err: lost}, {granted: time.Second}}, 0, true},
		{"granted for no time", []leaseReply{{granted: 0}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := newManualClock()
			f := &fakeLease{clock: clock}
			k := newLeaseKeeper(f, Options{Agent: "a", Worker: "w", LeaseTTL: 10 * time.Second})
			zero := clock.Now()
			now := func() time.Duration { return clock.Now().Sub(zero) }
			for _, r := range c.replies {
				f.next = r
				wait, err := k.renew(t.Context(), now)
				if !errors.Is(err, r.err) || wait <= 0 {
					t.Fatalf("wait %v, error %v", wait, err)
				}
			}
			clock.advance(c.pause)
			if got := k.held(now()); got != c.want {
				t.Fatalf("held is %v, want %v", got, c.want)
			}
			k.confirmMembership(now())
			if got := k.valid(now()); got != c.want {
				t.Fatalf("valid is %v after the check of the log, want %v", got, c.want)
			}
		})
	}
}

// While the lease was expired, a gateway may have acquired it and recorded the agent
// as departed. If the agent started tasks before the log was read again, a new owner
// could start the same task elsewhere.
func TestRegainedLeaseNeedsMembershipCheck(t *testing.T) {
	const granted = 10 * time.Second
	for _, c := range []struct {
		name string
		// sent and answered are the times of the second renewal. The first one was
		// checked against the log and lasts until 9 s.
		sent, answered time.Duration
		// checked is the time at which the second read of the log began; 0 means that
		// there was none.
		checked time.Duration
		want    bool
	}{
		{"renewed in time", 3 * time.Second, 4 * time.Second, 0, true},
		{"answered after the lapse", 8 * time.Second, 10 * time.Second, 0, false},
		{"asked after the lapse", 12 * time.Second, 13 * time.Second, 0, false},
		{"checked before the renewal", 12 * time.Second, 13 * time.Second, 12 * time.Second, false},
		{"checked after the renewal", 12 * time.Second, 13 * time.Second, 14 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newLeaseKeeper(&fakeLease{}, Options{Worker: "w"})
			k.extend(0, 0, granted)
			k.confirmMembership(0)
			k.extend(c.sent, c.answered, granted)
			if c.checked != 0 {
				k.confirmMembership(c.checked)
			}
			if got := k.valid(c.answered + 2*time.Second); got != c.want {
				t.Fatalf("valid is %v, want %v", got, c.want)
			}
		})
	}
}

// An agent that stops must release its lease, so that the next agent of the worker
// need not wait, and must not start tasks after that.
func TestStopReleasesLease(t *testing.T) {
	f := &fakeLease{clock: newManualClock(), next: leaseReply{granted: time.Hour}}
	k := newLeaseKeeper(f, Options{Worker: "w", LeaseTTL: time.Hour, LeaseRenew: time.Minute})
	now := func() time.Duration { return 0 }
	if wait, err := k.renew(t.Context(), now); err != nil || wait != time.Minute {
		t.Fatalf("wait %v, error %v", wait, err)
	}
	if err := k.release(); err != nil || f.requestedTTL != time.Millisecond || k.valid(0) {
		t.Fatalf("error %v, asked for %v, valid %v", err, f.requestedTTL, k.valid(0))
	}
}

// Queued tasks must not start after the lease has expired until it is regained, even
// if the agent notices the expiry late, for example after a pause of the process.
func TestNothingStartsWithoutLease(t *testing.T) {
	clock, g := newManualClock(), newBlockingHandler()
	granting := make(chan time.Duration)
	lease := leaseFunc(func(ctx context.Context) (time.Duration, error) {
		select {
		case d := <-granting:
			return d, nil
		case <-ctx.Done():
			return 0, logservice.ErrUnknownOutcome
		}
	})
	// The TTL is long in real time, so that renewals return only when the test lets
	// them.
	h := startAgent(t, Options{Worker: "w", LeaseTTL: 24 * time.Hour}, Dependencies{Clock: clock, Lease: lease}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(0, 1))
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_LEASE_LAPSED {
		t.Fatalf("start without a lease: %v", rec)
	}
	granting <- 24 * time.Hour
	for !h.agent.lease.confirmMembership(h.agent.now()) {
		time.Sleep(time.Millisecond)
	}
	h.agent.leaseChanged(true)
	for !l.receive().GetLoad().GetAccepting() {
	}
	l.start(reportEach, start(1, 1), start(2, 1), start(3, 1))
	<-g.arrived
	<-g.arrived
	clock.advance(24 * time.Hour)
	g.release <- struct{}{}
	g.release <- struct{}{}
	l.records(2)
	if _, load := h.agent.permitAndLoad(); load.GetAccepting() || load.GetQueued() != 1 || load.GetRunning() != 0 {
		t.Fatalf("load after the lapse: %v", load)
	}
	h.agent.lease.extend(h.agent.now(), h.agent.now(), 48*time.Hour)
	h.agent.lease.confirmMembership(h.agent.now())
	h.agent.leaseChanged(true)
	g.release <- struct{}{}
	if rec := l.records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("queued task after the renewal: %v", rec)
	}
}

type leaseFunc func(ctx context.Context) (time.Duration, error)

func (f leaseFunc) Renew(ctx context.Context, _, _ string, _ time.Duration) (time.Duration, error) {
	return f(ctx)
}

// fakeGateway records announcements and answers them with the result of reply.
type fakeGateway struct {
	rhubarbsailv1connect.UnimplementedGatewayServiceHandler
	got   chan *pb.AnnounceRequest
	reply func() (*pb.AnnounceResponse, error)
}

func (f *fakeGateway) Announce(_ context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	f.got <- r.Msg
	resp, err := f.reply()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func startGateway(t *testing.T, reply func() (*pb.AnnounceResponse, error)) (*fakeGateway, string) {
	t.Helper()
	f := &fakeGateway{got: make(chan *pb.AnnounceRequest, 10000), reply: reply}
	mux := http.NewServeMux()
	mux.Handle(rhubarbsailv1connect.NewGatewayServiceHandler(f))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return f, s.Listener.Addr().String()
}

// An agent that is not recorded in the log gets no tasks, so it must try all gateways
// if some are down or cannot write to the log. On stop it must announce that it
// leaves only after its outcomes were delivered: owners stop waiting for them once the
// log has recorded that it left.
func TestAnnouncementsTryAllGateways(t *testing.T) {
	closed := listen(t)
	down := closed.Addr().String()
	_ = closed.Close()
	failing, failingAddress := startGateway(t, func() (*pb.AnnounceResponse, error) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("log is down"))
	})
	calls := 0
	working, workingAddress := startGateway(t, func() (*pb.AnnounceResponse, error) {
		calls++
		return &pb.AnnounceResponse{Recorded: calls > 2}, nil
	})
	transport := &http.Transport{}
	g := newBlockingHandler()
	h := startAgent(t, Options{
		Worker: "w", Rack: "r", AvailabilityZone: "z",
		Gateways:      []string{down, failingAddress, workingAddress},
		AnnounceRetry: time.Millisecond, AnnouncePending: time.Millisecond,
	}, Dependencies{GatewayClient: &http.Client{Transport: transport}}, g.ServeHTTP)
	t.Cleanup(transport.CloseIdleConnections)
	h.announce()
	<-failing.got
	for range 3 {
		n := <-working.got
		if n.GetLeaving() || n.GetAgent() != "agent-1" || n.GetAddress() == "" || n.GetTarget() != "target-1" ||
			n.GetSlots() != 2 || n.GetIncarnation() == 0 || n.GetAvailabilityZone() != "z" {
			t.Fatalf("announcement %v", n)
		}
	}
	l := h.dial("g1")
	l.start(reportEach, start(0, 1))
	<-g.arrived
	h.stop()
	for !l.receive().GetLoad().GetLeaving() {
	}
	if len(working.got) != 0 {
		t.Fatal("the agent announced its leaving with a task running")
	}
	g.release <- struct{}{}
	l.records(1)
	if n := <-working.got; !n.GetLeaving() {
		t.Fatalf("announcement %v", n)
	}
}

// An agent that was recorded as departed while it was unreachable must rejoin with a
// new incarnation instead of repeating an announcement that is always rejected. Its
// old permits must be invalid.
func TestDepartedIncarnationRejoins(t *testing.T) {
	rejected := make(chan bool, 1)
	gateway, address := startGateway(t, func() (*pb.AnnounceResponse, error) {
		select {
		case <-rejected:
			return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("departed"))
		default:
			return &pb.AnnounceResponse{Recorded: true}, nil
		}
	})
	transport := &http.Transport{}
	h := startAgent(t, Options{Gateways: []string{address}, AnnounceInterval: time.Millisecond},
		Dependencies{GatewayClient: &http.Client{Transport: transport}}, func(http.ResponseWriter, *http.Request) {})
	t.Cleanup(transport.CloseIdleConnections)
	h.announce()
	first := (<-gateway.got).GetIncarnation()
	old := h.dial("g1")
	rejected <- true
	for (<-gateway.got).GetIncarnation() == first {
	}
	for {
		if _, err := old.stream.Receive(); err != nil {
			break
		}
	}
	l := h.dial("g1")
	if l.permit.GetAgentIncarnation() <= first {
		t.Fatalf("incarnation %d after %d", l.permit.GetAgentIncarnation(), first)
	}
	l.permit = old.permit
	l.start(reportEach, start(0, 1))
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_PERMIT_EXPIRED {
		t.Fatalf("start with an old permit: %v", rec)
	}
}

// If no gateway has received an outcome when the agent stops, the agent must wait for
// the gateway to reconnect.
func TestStopDeliversAfterReconnect(t *testing.T) {
	g := newBlockingHandler()
	h := startAgent(t, Options{DeliveryTimeout: time.Hour}, Dependencies{}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(reportEach, start(0, 1))
	<-g.arrived
	l.close()
	gone := func() bool { return len(h.agent.sessions) == 0 }
	if err := h.agent.await(t.Context(), gone); err != nil {
		t.Fatal(err)
	}
	h.stop()
	g.release <- struct{}{}
	if rec := h.dial("g1").records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("record %v", rec)
	}
}

// A gateway that does not read from its link must not make the agent's memory grow
// without limit.
func TestOutboxIsBounded(t *testing.T) {
	o := newOutbox(2)
	rec := message{kind: messageReport, records: make([]ledger.Record, 1)}
	for i, want := range []bool{true, true, false, false} {
		if got := o.push(rec); got != want {
			t.Fatalf("push %d: %v, want %v", i, got, want)
		}
	}
	msgs, open := o.take()
	if len(msgs) != 1 || len(msgs[0].records) != 2 || open || !o.overflowed() {
		t.Fatalf("messages %v, open %v", msgs, open)
	}
}

// A long reply must be split into frames that stay below the gateway's frame limit.
func TestLongRepliesAreSplit(t *testing.T) {
	recs := make([]ledger.Record, 5)
	for i := range recs {
		recs[i].Result = make([]byte, 400)
	}
	m := message{kind: messageFenced, request: 3, records: recs}
	var sizes []int
	for more := true; more; {
		var f *pb.AgentFrame
		f, more = m.nextFrame(1000)
		if f.GetFenced().GetLast() == more || f.GetFenced().GetRequest() != 3 {
			t.Fatalf("frame %v, more %v", f, more)
		}
		sizes = append(sizes, len(f.GetFenced().GetRecords()))
	}
	if len(sizes) != 3 || sizes[0] != 2 || sizes[2] != 1 {
		t.Fatalf("records by frame: %v", sizes)
	}
}
