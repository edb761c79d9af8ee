// Package agentlink keeps a gateway's streams to its agents open.
package agentlink

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
	// queueFrames bounds the frames that wait for the network. A full
	// queue means that the agent does not read; the link is then closed.
	queueFrames = 1024
	// backoffMin and backoffMax bound the wait between two dials.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Agent names the agent that a link connects to.
type Agent struct {
	ID          string
	Incarnation model.Incarnation
	Address     string
}

// Session is one established stream to an agent. The engine goroutine calls
// Send; the link goroutine owns everything else.
type Session struct {
	out    chan *rhubarbsailv1.GatewayFrame
	cancel context.CancelFunc
}

// NewSession returns a session whose frames wait in Frames until they are sent.
func NewSession(cancel context.CancelFunc) *Session {
	return &Session{out: make(chan *rhubarbsailv1.GatewayFrame, queueFrames), cancel: cancel}
}

// Frames returns the frames that wait for the network.
func (s *Session) Frames() <-chan *rhubarbsailv1.GatewayFrame { return s.out }

// Close ends the session.
func (s *Session) Close() { s.cancel() }

// Send queues a frame. False means that the frame was not queued and will not
// be sent: the session is closing.
func (s *Session) Send(f *rhubarbsailv1.GatewayFrame) bool {
	select {
	case s.out <- f:
		return true
	default:
		s.cancel()
		return false
	}
}

// Handler receives what happens on links. Calls block while the receiver is
// busy, which slows the agent's sending down.
type Handler interface {
	LinkUp(a Agent, s *Session, incarnation model.Incarnation)
	LinkDown(a Agent, s *Session, cause error)
	LinkFrame(a Agent, s *Session, f *rhubarbsailv1.AgentFrame)
}

// Link keeps a stream to one agent open until its context ends.
type Link struct {
	addr   Agent
	self   *rhubarbsailv1.Hello
	client rhubarbsailv1connect.AgentServiceClient
	events Handler
}

// New returns a link that is not yet open.
func New(addr Agent, hc *http.Client, self *rhubarbsailv1.Hello, events Handler, opts ...connect.ClientOption) *Link {
	client := rhubarbsailv1connect.NewAgentServiceClient(hc, "http://"+addr.Address, opts...)
	return &Link{addr: addr, self: self, client: client, events: events}
}

// Run dials, serves and dials again until ctx ends.
func (l *Link) Run(ctx context.Context) {
	backoff := backoffMin
	for ctx.Err() == nil {
		started := time.Now()
		// The end of a session was passed on; without one the agent stays
		// unreachable, which the receiver knows.
		_ = l.serve(ctx)
		if time.Since(started) > backoffMax {
			backoff = backoffMin
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, backoffMax)
	}
}

// serve runs one stream until it breaks. The session is announced as up after
// the agent's Welcome, which names its incarnation.
func (l *Link) serve(parent context.Context) error {
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
	s := NewSession(cancel)
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(ctx, stream, s)
	}()
	l.events.LinkUp(l.addr, s, model.Incarnation(welcome.AgentIncarnation))
	l.events.LinkFrame(l.addr, s, first)
	err = l.read(stream, s)
	cancel()
	<-written
	_ = stream.CloseResponse()
	l.events.LinkDown(l.addr, s, err)
	return err
}

func (l *Link) read(stream *connect.BidiStreamForClient[rhubarbsailv1.GatewayFrame, rhubarbsailv1.AgentFrame], s *Session) error {
	for {
		f, err := stream.Receive()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		l.events.LinkFrame(l.addr, s, f)
	}
}

func (l *Link) write(ctx context.Context, stream *connect.BidiStreamForClient[rhubarbsailv1.GatewayFrame, rhubarbsailv1.AgentFrame], s *Session) {
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
