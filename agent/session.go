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

// session is the link of one gateway. The handler's goroutine receives, a second
// one sends.
type session struct {
	gateway     string
	incarnation model.Incarnation
	out         *outbox
	// endReceive and endSend end a Receive or Send that waits for the gateway.
	endReceive, endSend func()
}

// abort ends the session without sending what waits.
func (s *session) abort() {
	s.out.end()
	s.endReceive()
	s.endSend()
}

func (a *Agent) handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(a.opts.FrameLimit),
		// Frames are small; gzip took a fifth of the processor time and 800 KB for
		// each writer.
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
	if err := a.open(s); err != nil {
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
	a.closed(s)
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

// open makes s the session of its gateway. An older session of the gateway ends,
// and the frames that it still receives are discarded.
func (a *Agent) open(s *session) error {
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

// closed removes s if it is still the session of its gateway.
func (a *Agent) closed(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.gateway] == s {
		delete(a.sessions, s.gateway)
	}
	a.changed()
}

// send sends what is put into the outbox until it ends.
func (a *Agent) send(ctx context.Context, s *session, stream *linkStream) error {
	for {
		msgs, open := s.out.take()
		for i := range msgs {
			if err := a.sendMessage(stream, &msgs[i]); err != nil {
				s.out.end()
				rest, _ := s.out.take()
				a.unsent(append(msgs[i:], rest...))
				return err
			}
		}
		if len(msgs) > 0 {
			continue
		}
		if !open {
			return nil
		}
		a.wake()
		select {
		case <-s.out.ready:
		case <-ctx.Done():
			s.out.end()
			rest, _ := s.out.take()
			a.unsent(rest)
			return ctx.Err()
		}
	}
}

func (a *Agent) sendMessage(stream *linkStream, m *message) error {
	all := *m
	for more := true; more; {
		n := len(m.records)
		var f *pb.AgentFrame
		f, more = m.next(a.opts.ReportLimit)
		f.Permit, f.Load = a.status()
		if err := stream.Send(f); err != nil {
			*m = all
			return err
		}
		a.deps.Metrics.FrameSent(n - len(m.records))
	}
	return nil
}

// status returns a permit and the load for a frame that is about to be sent.
func (a *Agent) status() (*pb.Permit, *pb.Load) {
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
			Accepting: a.veto(now, a.target.service) == 0,
			MayDepart: a.stopping || !a.lease.valid(now),
		}
}

// receive handles the gateway's frames until the link ends.
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

// withSession calls f with the agent's lock while s is the session of its
// gateway. A frame of a replaced session must have no effect: its gateway acts
// on what the newer session reports.
func (a *Agent) withSession(s *session, f func(now time.Duration)) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.gateway] != s {
		return errReplaced
	}
	f(a.now())
	a.changed()
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
			gateway: s.gateway,
			each:    f.GetReport() <= pb.ReportMode_REPORT_MODE_EACH,
			early:   f.GetReport() == pb.ReportMode_REPORT_MODE_LAST,
			open:    len(starts),
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
		a.abandonStale()
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
		a.abandonStale()
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
		a.abandonStale()
		for _, p := range fences {
			a.own(p.Partition, p.Epoch, s.gateway)
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

// handleDrain sets or clears an operator's drain. Gateways that lag behind the
// log send older drains, which have no effect. The queue is given back, since
// a task in it would be new work for the target.
func (a *Agent) handleDrain(s *session, f *pb.Drain) error {
	return a.withSession(s, func(now time.Duration) {
		if f.GetAppliedOffset() < a.drain.offset {
			return
		}
		changed := a.drain.set != f.GetDrain()
		a.drain = drainState{set: f.GetDrain(), offset: f.GetAppliedOffset()}
		if changed && a.drain.set {
			a.giveBack(now, ledger.Leaving)
		}
		if changed {
			events.DrainChanged.Log(a.log).Bool("drain", a.drain.set).Uint64("offset", a.drain.offset).Send()
			a.notifyLoad()
		}
	})
}

// push gives a message to a session, or ends the session if it does not keep up.
// The caller holds a.mu.
func (a *Agent) push(s *session, m message) {
	if s.out.push(m) {
		a.undelivered.remove(m.records)
		return
	}
	a.undelivered.add(m.records, a.kept)
	if s.out.overflowed() {
		events.GatewaySlow.Log(a.log).Str("gateway", s.gateway).Int("limit", a.opts.OutboxLimit).Send()
		s.abort()
	}
}

// unsent notes the outcomes of messages that were not sent.
func (a *Agent) unsent(msgs []message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range msgs {
		a.undelivered.add(msgs[i].records, a.kept)
	}
}
