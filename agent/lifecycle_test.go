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

// leaveBy are the two ways in which work has to leave: the target announces it,
// or the agent gets SIGTERM, which ends the context of Run.
var leaveBy = map[string]func(h *harness){
	"target": func(h *harness) { h.post("/v1/leave", nil) },
	"agent":  func(h *harness) { h.stop() },
}

// Leaving must refuse starts at once (G6), give the queue back as safe to move,
// and must not interrupt what runs (G7).
func TestLeavingFinishesWhatRuns(t *testing.T) {
	for name, leave := range leaveBy {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
			h.announce()
			l, idle := h.dial("g1"), h.dial("g2")
			l.start(whole, start(0, 1), start(1, 1), start(2, 1))
			<-g.arrived
			<-g.arrived
			leave(h)
			f := l.receive()
			recs := f.GetReport().GetRecords()
			// Only an agent that stops may be recorded as departed. One whose target
			// left must confirm ownership, or gateways stop when most targets leave.
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
			l.start(each, start(3, 1))
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

// A heartbeat that overtakes the target's leaving must not bring it back, and a
// restarted target must be able to return.
func TestAnnouncementAfterLeaving(t *testing.T) {
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

// A target that is gone must get no work, and its queue must move elsewhere.
func TestTargetWithoutHeartbeatIsGone(t *testing.T) {
	clock, g := newManualClock(), newGate()
	h := startAgent(t, Options{}, Dependencies{Clock: clock}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(each, start(0, 1), start(1, 1), start(2, 1))
	<-g.arrived
	<-g.arrived
	clock.advance(h.agent.opts.HeartbeatExpiry - 1)
	h.agent.expireTarget()
	h.announce()
	clock.advance(h.agent.opts.HeartbeatExpiry - 1)
	h.agent.expireTarget()
	if _, load := h.agent.status(); !load.GetAccepting() {
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

// A drain must hold at once and against older news (G6), and a drained agent must
// still confirm ownership, or a drain of most targets would stop all gateways.
func TestDrain(t *testing.T) {
	g := newGate()
	h := startAgent(t, Options{}, Dependencies{}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(each, start(0, 1), start(1, 1), start(2, 1))
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
	l.start(each, start(3, 1))
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_LEAVING {
		t.Fatalf("start after an older change: %v", rec)
	}
	g.release <- struct{}{}
	g.release <- struct{}{}
	l.records(2)
	drain(false, 8)
	l.start(each, start(3, 2))
	g.release <- struct{}{}
	if rec := l.records(1)[0]; rec.GetState() != pb.TaskState_TASK_STATE_SUCCEEDED {
		t.Fatalf("start after the end of the drain: %v", rec)
	}
}

// Announcements with values that would stop or flood the target are refused.
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
	// asked is the time to live of the last request.
	asked time.Duration
}

func (f *fakeLease) Renew(_ context.Context, _, _ string, ttl time.Duration) (time.Duration, error) {
	f.clock.advance(f.next.delay)
	f.asked = ttl
	return f.next.granted, f.next.err
}

// Starting without a valid lease would let two workers run the same work. The
// validity counts from the sending of the request, and no error extends it.
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
			k.confirmListed(now())
			if got := k.valid(now()); got != c.want {
				t.Fatalf("valid is %v after the check of the log, want %v", got, c.want)
			}
		})
	}
}

// While a lease had lapsed, a gateway may have taken it and recorded the agent as
// departed. Starting work before the log was read again could start a task that
// the new owner of its key starts too.
func TestRegainedLeaseNeedsACheckOfTheLog(t *testing.T) {
	const granted = 10 * time.Second
	for _, c := range []struct {
		name string
		// sent and answered are those of the second renewal; the first is held up
		// to 9 s and was checked.
		sent, answered time.Duration
		// checked is the time at which the read of the log began, or 0.
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
			k.renewed(0, 0, granted)
			k.confirmListed(0)
			k.renewed(c.sent, c.answered, granted)
			if c.checked != 0 {
				k.confirmListed(c.checked)
			}
			if got := k.valid(c.answered + 2*time.Second); got != c.want {
				t.Fatalf("valid is %v, want %v", got, c.want)
			}
		})
	}
}

// An agent that stops must not keep the next one of its worker waiting, and must
// not start anything on a lease that it has given up.
func TestLeaseIsReleased(t *testing.T) {
	f := &fakeLease{clock: newManualClock(), next: leaseReply{granted: time.Hour}}
	k := newLeaseKeeper(f, Options{Worker: "w", LeaseTTL: time.Hour, LeaseRenew: time.Minute})
	now := func() time.Duration { return 0 }
	if wait, err := k.renew(t.Context(), now); err != nil || wait != time.Minute {
		t.Fatalf("wait %v, error %v", wait, err)
	}
	if err := k.release(); err != nil || f.asked != time.Millisecond || k.valid(0) {
		t.Fatalf("error %v, asked for %v, valid %v", err, f.asked, k.valid(0))
	}
}

// A lapsed lease must hold the queue back until it is renewed, also when the
// agent notices the lapse only after a pause.
func TestNothingStartsWithoutLease(t *testing.T) {
	clock, g := newManualClock(), newGate()
	granting := make(chan time.Duration)
	lease := leaseFunc(func(ctx context.Context) (time.Duration, error) {
		select {
		case d := <-granting:
			return d, nil
		case <-ctx.Done():
			return 0, logservice.ErrUnknownOutcome
		}
	})
	// The time to live is long in real time, so that the test decides when a
	// renewal comes back.
	h := startAgent(t, Options{Worker: "w", LeaseTTL: 24 * time.Hour}, Dependencies{Clock: clock, Lease: lease}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(each, start(0, 1))
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_LEASE_LAPSED {
		t.Fatalf("start without a lease: %v", rec)
	}
	granting <- 24 * time.Hour
	for !h.agent.lease.confirmListed(h.agent.now()) {
		time.Sleep(time.Millisecond)
	}
	h.agent.leaseChanged(true)
	for !l.receive().GetLoad().GetAccepting() {
	}
	l.start(each, start(1, 1), start(2, 1), start(3, 1))
	<-g.arrived
	<-g.arrived
	clock.advance(24 * time.Hour)
	g.release <- struct{}{}
	g.release <- struct{}{}
	l.records(2)
	if _, load := h.agent.status(); load.GetAccepting() || load.GetQueued() != 1 || load.GetRunning() != 0 {
		t.Fatalf("load after the lapse: %v", load)
	}
	h.agent.lease.renewed(h.agent.now(), h.agent.now(), 48*time.Hour)
	h.agent.lease.confirmListed(h.agent.now())
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

// fakeGateway records announcements and answers them as the test says.
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

// An agent that is not in the log gets no work, so it must go on through gateways
// that are down or cannot write. It must announce its leaving last: owners stop
// waiting for its outcomes once the log shows that it left.
func TestAnnouncerReachesAGateway(t *testing.T) {
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
	g := newGate()
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
	l.start(each, start(0, 1))
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

// An agent that was recorded as departed while it was out of reach must come back,
// with void permits, instead of announcing for ever what the log rejects.
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
	l.start(each, start(0, 1))
	if rec := l.records(1)[0]; rec.GetRefusal() != pb.RefusalReason_REFUSAL_REASON_PERMIT_EXPIRED {
		t.Fatalf("start with an old permit: %v", rec)
	}
}

// An outcome that no gateway has received when the agent stops must wait for the
// gateway to reconnect.
func TestStopDeliversAfterReconnect(t *testing.T) {
	g := newGate()
	h := startAgent(t, Options{DeliveryTimeout: time.Hour}, Dependencies{}, g.ServeHTTP)
	h.announce()
	l := h.dial("g1")
	l.start(each, start(0, 1))
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

// A gateway that does not read its link must not make the agent's memory grow.
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

// A frame must stay below the gateway's limit, so long replies are split.
func TestLongRepliesAreSplit(t *testing.T) {
	recs := make([]ledger.Record, 5)
	for i := range recs {
		recs[i].Result = make([]byte, 400)
	}
	m := message{kind: messageFenced, request: 3, records: recs}
	var sizes []int
	for more := true; more; {
		var f *pb.AgentFrame
		f, more = m.next(1000)
		if f.GetFenced().GetLast() == more || f.GetFenced().GetRequest() != 3 {
			t.Fatalf("frame %v, more %v", f, more)
		}
		sizes = append(sizes, len(f.GetFenced().GetRecords()))
	}
	if len(sizes) != 3 || sizes[0] != 2 || sizes[2] != 1 {
		t.Fatalf("records by frame: %v", sizes)
	}
}
