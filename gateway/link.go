package gateway

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	rhubarbsailv1 "github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1"
	"github.com/rhubarbsail/rhubarbsail/gen/rhubarbsail/v1/rhubarbsailv1connect"
)

const (
	// linkQueueFrames bounds the frames that wait for the network. A full
	// queue means that the agent does not read; the link is then closed.
	linkQueueFrames = 1024
	// linkBackoffMin and linkBackoffMax bound the wait between two dials.
	linkBackoffMin = 50 * time.Millisecond
	linkBackoffMax = 2 * time.Second
)

// agentAddr names the agent that a link connects to.
type agentAddr struct {
	id          string
	incarnation model.Incarnation
	address     string
}

// session is one established stream to an agent. The engine goroutine calls
// send; the link goroutine owns everything else.
type session struct {
	out    chan *rhubarbsailv1.GatewayFrame
	cancel context.CancelFunc
}

// send queues a frame. False means that the frame was not queued and will not
// be sent: the session is closing.
func (s *session) send(f *rhubarbsailv1.GatewayFrame) bool {
	select {
	case s.out <- f:
		return true
	default:
		s.cancel()
		return false
	}
}

// linkEvents receives what happens on links. Calls block while the engine is
// busy, which slows the agent's sending down.
type linkEvents interface {
	linkUp(a agentAddr, s *session, incarnation model.Incarnation)
	linkDown(a agentAddr, s *session)
	linkFrame(a agentAddr, s *session, f *rhubarbsailv1.AgentFrame)
}

// link keeps a stream to one agent open until its context ends.
type link struct {
	addr   agentAddr
	self   *rhubarbsailv1.Hello
	client rhubarbsailv1connect.AgentServiceClient
	events linkEvents
}

func newLink(addr agentAddr, hc *http.Client, self *rhubarbsailv1.Hello, events linkEvents, opts ...connect.ClientOption) *link {
	client := rhubarbsailv1connect.NewAgentServiceClient(hc, "http://"+addr.address, opts...)
	return &link{addr: addr, self: self, client: client, events: events}
}

// run dials, serves and dials again until ctx ends.
func (l *link) run(ctx context.Context) {
	backoff := linkBackoffMin
	for ctx.Err() == nil {
		started := time.Now()
		_ = l.serve(ctx)
		if time.Since(started) > linkBackoffMax {
			backoff = linkBackoffMin
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, linkBackoffMax)
	}
}

// serve runs one stream until it breaks. The session is announced as up after
// the agent's Welcome, which names its incarnation.
func (l *link) serve(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	stream := l.client.Link(ctx)
	hello := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Hello{Hello: l.self}}
	if err := stream.Send(hello); err != nil {
		return errors.Wrap(err, "send hello")
	}
	first, err := stream.Receive()
	if err != nil {
		return errors.Wrap(err, "receive welcome")
	}
	welcome := first.GetWelcome()
	if welcome == nil {
		return errors.New("first frame of the agent is not a welcome")
	}
	s := &session{out: make(chan *rhubarbsailv1.GatewayFrame, linkQueueFrames), cancel: cancel}
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(ctx, stream, s)
	}()
	l.events.linkUp(l.addr, s, model.Incarnation(welcome.AgentIncarnation))
	l.events.linkFrame(l.addr, s, first)
	err = l.read(stream, s)
	cancel()
	<-written
	_ = stream.CloseResponse()
	l.events.linkDown(l.addr, s)
	return err
}

func (l *link) read(stream *connect.BidiStreamForClient[rhubarbsailv1.GatewayFrame, rhubarbsailv1.AgentFrame], s *session) error {
	for {
		f, err := stream.Receive()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		l.events.linkFrame(l.addr, s, f)
	}
}

func (l *link) write(ctx context.Context, stream *connect.BidiStreamForClient[rhubarbsailv1.GatewayFrame, rhubarbsailv1.AgentFrame], s *session) {
	// While the HTTP/2 transport waits for more of the request's body, it does not
	// notice the end of ctx, and a receiver would wait for the agent for ever.
	defer func() { _ = stream.CloseRequest() }()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.out:
			if err := stream.Send(f); err != nil {
				s.cancel()
				return
			}
		}
	}
}
