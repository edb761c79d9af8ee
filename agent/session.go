package agent

import (
	"context"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/streamend"
	pb "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
)

var errReplaced = errors.New("a newer link of the same gateway has replaced this one")

type linkStream = connect.BidiStream[pb.GatewayFrame, pb.AgentFrame]

// session is the agent's end of a link. The goroutine of the handler receives
// frames, and a second goroutine sends them.
type session struct {
	gateway     string
	incarnation model.Incarnation
	out         *outbox
	// endReceive and endSend interrupt a blocked Receive or Send of the stream.
	endReceive, endSend func()
}

// abort ends the session without sending the pending messages.
func (s *session) abort() {
	s.out.end()
	s.endReceive()
	s.endSend()
}

func (a *Agent) handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(a.opts.FrameLimit),
		// Disables gzip: frames are small, and it took a fifth of the CPU time and
		// 800 KB of memory per writer.
		connect.WithCompression("gzip", nil, nil),
	}
}

// linkService serves AgentService.
type linkService struct{ a *Agent }

// Link serves one gateway until either side ends the link.
func (l linkService) Link(ctx context.Context, stream *linkStream) error {
	a := l.a
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetGateway() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first frame is not a hello with a gateway"))
	}
	s := &session{
		gateway:     hello.GetGateway(),
		incarnation: model.Incarnation(hello.GetGatewayIncarnation()),
		out:         newOutbox(a.opts.OutboxLimit),
	}
	s.endReceive, s.endSend = streamend.Functions(ctx)
	if err := a.addSession(s); err != nil {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	sent := make(chan error, 1)
	go func() {
		err := a.send(ctx, s, stream)
		s.endReceive()
		sent <- err
	}()
	err = a.receive(s, stream)
	s.out.end()
	sendErr := <-sent
	a.removeSession(s)
	events.GatewayDisconnected.Log(a.log).Str("gateway", s.gateway).AnErr("receive", err).AnErr("send", sendErr).Send()
	return linkError(err, a.stopped())
}

func linkError(err error, stopped bool) error {
	var ce *connect.Error
	switch {
	case stopped || err == nil:
		return nil
	case errors.Is(err, errReplaced):
		return connect.NewError(connect.CodeAborted, err)
	case errors.As(err, &ce):
		return ce
	}
	return connect.NewError(connect.CodeInvalidArgument, err)
}

// addSession registers s as the session of its gateway. It aborts an older session
// of that gateway, whose frames are discarded from then on.
func (a *Agent) addSession(s *session) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing {
		return errors.New("agent is stopping")
	}
	if old := a.sessions[s.gateway]; old != nil {
		if s.incarnation < old.incarnation {
			return errors.Errorf("gateway %q has a link with a newer incarnation", s.gateway)
		}
		old.abort()
	}
	a.sessions[s.gateway] = s
	a.push(s, message{kind: messageWelcome, request: uint64(a.incarnation)})
	a.redeliver(s)
	events.GatewayConnected.Log(a.log).Str("gateway", s.gateway).Uint64("incarnation", uint64(s.incarnation)).Send()
	return nil
}

// removeSession unregisters s if it is still the session of its gateway.
func (a *Agent) removeSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.gateway] == s {
		delete(a.sessions, s.gateway)
	}
	a.notifyWaiters()
}

// send sends the messages of the outbox until the outbox ends. Outcomes that could
// not be sent are noted as undelivered.
func (a *Agent) send(ctx context.Context, s *session, stream *linkStream) error {
	for {
		msgs, open := s.out.take()
		for i := range msgs {
			if err := a.sendMessage(stream, &msgs[i]); err != nil {
				s.out.end()
				rest, _ := s.out.take()
				a.markUndelivered(append(msgs[i:], rest...))
				return err
			}
		}
		if len(msgs) > 0 {
			continue
		}
		if !open {
			return nil
		}
		a.lockAndNotify()
		select {
		case <-s.out.ready:
		case <-ctx.Done():
			s.out.end()
			rest, _ := s.out.take()
			a.markUndelivered(rest)
			return ctx.Err()
		}
	}
}

// sendMessage sends a message in one or more frames. On an error it restores m, so
// that m has all its records again.
func (a *Agent) sendMessage(stream *linkStream, m *message) error {
	all := *m
	for more := true; more; {
		n := len(m.records)
		var f *pb.AgentFrame
		f, more = m.nextFrame(a.opts.ReportLimit)
		f.Permit, f.Load = a.permitAndLoad()
		if err := stream.Send(f); err != nil {
			*m = all
			return err
		}
		a.deps.Metrics.FrameSent(n - len(m.records))
	}
	return nil
}

// permitAndLoad returns a new permit and the current load, which are part of each
// frame.
func (a *Agent) permitAndLoad() (*pb.Permit, *pb.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	p := a.ledger.Issue(now)
	return &pb.Permit{AgentIncarnation: uint64(p.Incarnation), IssuedNanos: int64(p.Issued)},
		&pb.Load{
			Slots:     uint32(a.slots()),
			Running:   uint32(len(a.running)),
			Queued:    uint32(len(a.queue)),
			Leaving:   a.stopping || a.target.left,
			Accepting: a.refusalReason(now, a.target.service) == 0,
			MayDepart: a.stopping || !a.lease.valid(now),
		}
}

// receive handles frames from the gateway until the link ends.
func (a *Agent) receive(s *session, stream *linkStream) error {
	for {
		f, err := stream.Receive()
		if err != nil {
			if a.replaced(s) {
				return errReplaced
			}
			if errors.Is(err, io.EOF) || a.stopped() {
				return nil
			}
			return err
		}
		a.deps.Metrics.FrameReceived()
		if err := a.handle(s, f); err != nil {
			return err
		}
	}
}

func (a *Agent) replaced(s *session) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sessions[s.gateway] != s
}

func (a *Agent) handle(s *session, f *pb.GatewayFrame) error {
	switch v := f.GetFrame().(type) {
	case *pb.GatewayFrame_Start:
		return a.handleStart(s, v.Start)
	case *pb.GatewayFrame_Revoke:
		return a.handleRevoke(s, v.Revoke)
	case *pb.GatewayFrame_Cancel:
		return a.handleCancel(s, v.Cancel)
	case *pb.GatewayFrame_Fence:
		return a.handleFence(s, v.Fence)
	case *pb.GatewayFrame_Probe:
		return a.handleProbe(s, v.Probe)
	case *pb.GatewayFrame_Drain:
		return a.handleDrain(s, v.Drain)
	}
	return errors.Errorf("unexpected frame %T", f.GetFrame())
}

// withSession calls f with a.mu held if s is still the session of its gateway. A
// frame of a replaced session must have no effect, because the gateway already acts
// on the reports of the newer session.
func (a *Agent) withSession(s *session, f func(now time.Duration)) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.gateway] != s {
		return errReplaced
	}
	f(a.now())
	a.notifyWaiters()
	return nil
}

func (a *Agent) handleStart(s *session, f *pb.StartBatch) error {
	wall := a.deps.Clock.Now()
	now, permit := a.since(wall), permitFromWire(f.GetPermit())
	starts := make([]ledger.Start, len(f.GetStarts()))
	for i, w := range f.GetStarts() {
		var err error
		if starts[i], err = startFromWire(w, permit, a.opts.PayloadLimit, now, wall); err != nil {
			return err
		}
	}
	return a.withSession(s, func(now time.Duration) {
		b := &batch{
			gateway:       s.gateway,
			reportEach:    f.GetReport() <= pb.ReportMode_REPORT_MODE_EACH,
			reportedEarly: f.GetReport() == pb.ReportMode_REPORT_MODE_LAST,
			pending:       len(starts),
		}
		var refused []ledger.Record
		for i, start := range starts {
			if rec, ok := a.admit(now, start, b, f.GetStarts()[i]); !ok {
				refused = append(refused, rec)
			}
		}
		if len(refused) > 0 {
			a.push(s, message{kind: messageReport, records: refused})
		}
		a.dispatch(now)
	})
}

func (a *Agent) handleRevoke(s *session, f *pb.Revoke) error {
	attempts, err := attemptsFromWire(f.GetAttempts())
	if err != nil {
		return err
	}
	return a.withSession(s, func(now time.Duration) {
		recs := a.ledger.Revoke(now, attempts)
		a.removeDropped()
		a.push(s, message{kind: messageRevoked, request: f.GetRequest(), records: recs})
	})
}

func (a *Agent) handleCancel(s *session, f *pb.CancelJobs) error {
	jobs, err := cancellationsFromWire(f.GetJobs())
	if err != nil {
		return err
	}
	return a.withSession(s, func(now time.Duration) {
		dropped, running := a.ledger.Cancel(now, jobs)
		a.removeDropped()
		if len(dropped) > 0 {
			a.push(s, message{kind: messageReport, records: dropped})
		}
		for _, at := range running {
			a.running[at](errCancelled)
		}
	})
}

func (a *Agent) handleFence(s *session, f *pb.Fence) error {
	fences, err := fencesFromWire(f.GetPartitions())
	if err != nil {
		return err
	}
	return a.withSession(s, func(now time.Duration) {
		r := a.ledger.Fence(now, fences)
		a.removeDropped()
		for _, p := range fences {
			a.setOwner(p.Partition, p.Epoch, s.gateway)
		}
		if len(r.Dropped) > 0 {
			events.FenceRaised.Log(a.log).Str("gateway", s.gateway).Int("partitions", len(fences)).Int("dropped", len(r.Dropped)).Send()
		}
		a.push(s, message{kind: messageFenced, request: f.GetRequest(), records: r.Records, newer: r.Newer})
	})
}

func (a *Agent) handleProbe(s *session, f *pb.Probe) error {
	return a.withSession(s, func(time.Duration) {
		newer := a.ledger.EpochsAbove(f.GetAppliedOffset())
		a.push(s, message{kind: messageProbed, request: f.GetSequence(), newer: newer})
	})
}

// handleDrain sets or clears the drain that an operator requested. A setting from a
// gateway that lags behind the log is older than the current one and has no effect.
// A drain drops the queue, because queued tasks would be new work for the target.
func (a *Agent) handleDrain(s *session, f *pb.Drain) error {
	return a.withSession(s, func(now time.Duration) {
		if f.GetAppliedOffset() < a.drain.offset {
			return
		}
		changed := a.drain.set != f.GetDrain()
		a.drain = drainState{set: f.GetDrain(), offset: f.GetAppliedOffset()}
		if changed && a.drain.set {
			a.dropQueue(now, ledger.Leaving)
		}
		if changed {
			events.DrainChanged.Log(a.log).Bool("drain", a.drain.set).Uint64("offset", a.drain.offset).Send()
			a.notifyLoad()
		}
	})
}

// push adds a message to the outbox of a session. It aborts the session if the
// outbox is full. The caller must hold a.mu.
func (a *Agent) push(s *session, m message) {
	if s.out.push(m) {
		a.undelivered.remove(m.records)
		return
	}
	a.undelivered.add(m.records, a.lookup)
	if s.out.overflowed() {
		events.GatewaySlow.Log(a.log).Str("gateway", s.gateway).Int("limit", a.opts.OutboxLimit).Send()
		s.abort()
	}
}

// markUndelivered notes the outcomes in unsent messages as undelivered.
func (a *Agent) markUndelivered(msgs []message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range msgs {
		a.undelivered.add(msgs[i].records, a.lookup)
	}
}
