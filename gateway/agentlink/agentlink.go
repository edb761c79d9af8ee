// Package agentlink maintains the gateway's bidirectional streams to agents and
// reconnects them with exponential backoff.
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
	// sendQueueFrames bounds the frames that wait to be sent. A full queue means
	// that the agent does not read, and the session is then closed.
	sendQueueFrames = 1024
	// backoffMin and backoffMax bound the wait before the next connection attempt.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Agent identifies one incarnation of an agent and the address of its listener.
type Agent struct {
	ID          string
	Incarnation model.Incarnation
	Address     string
}

// Session is one established stream to an agent. Send and Close may be called
// from any goroutine; the goroutines of the link read Frames.
type Session struct {
	sendQueue chan *rhubarbsailv1.GatewayFrame
	cancel    context.CancelFunc
}

// NewSession returns a session that queues frames and calls cancel when it is
// closed.
func NewSession(cancel context.CancelFunc) *Session {
	return &Session{sendQueue: make(chan *rhubarbsailv1.GatewayFrame, sendQueueFrames), cancel: cancel}
}

// Frames returns the queue of the frames to send.
func (s *Session) Frames() <-chan *rhubarbsailv1.GatewayFrame { return s.sendQueue }

// Close ends the session.
func (s *Session) Close() { s.cancel() }

// Send queues a frame. If the queue is full, it closes the session and returns
// false; the frame will not be sent.
func (s *Session) Send(f *rhubarbsailv1.GatewayFrame) bool {
	select {
	case s.sendQueue <- f:
		return true
	default:
		s.cancel()
		return false
	}
}

// Handler is notified of session changes and of the frames that agents send.
// Its methods may block; meanwhile the link reads no frames, and flow control
// slows the agent down.
type Handler interface {
	LinkUp(a Agent, s *Session, incarnation model.Incarnation)
	LinkDown(a Agent, s *Session, cause error)
	LinkFrame(a Agent, s *Session, f *rhubarbsailv1.AgentFrame)
}

// Link keeps a stream to one agent open and reconnects it when it breaks.
type Link struct {
	agent   Agent
	hello   *rhubarbsailv1.Hello
	client  rhubarbsailv1connect.AgentServiceClient
	handler Handler
}

// New returns a link to the agent. Run connects it.
func New(agent Agent, hc *http.Client, hello *rhubarbsailv1.Hello, handler Handler, opts ...connect.ClientOption) *Link {
	client := rhubarbsailv1connect.NewAgentServiceClient(hc, "http://"+agent.Address, opts...)
	return &Link{agent: agent, hello: hello, client: client, handler: handler}
}

// Run connects, serves the stream and reconnects until ctx ends.
func (l *Link) Run(ctx context.Context) {
	backoff := backoffMin
	for ctx.Err() == nil {
		started := time.Now()
		// The error needs no handling here: LinkDown has reported the end of an
		// established session, and until LinkUp the agent counts as unreachable.
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

// serve runs one stream until it breaks. It reports LinkUp only after the
// agent's Welcome frame, which states the incarnation that is running.
func (l *Link) serve(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	stream := l.client.Link(ctx)
	helloFrame := &rhubarbsailv1.GatewayFrame{Frame: &rhubarbsailv1.GatewayFrame_Hello{Hello: l.hello}}
	if err := stream.Send(helloFrame); err != nil {
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
	l.handler.LinkUp(l.agent, s, model.Incarnation(welcome.AgentIncarnation))
	l.handler.LinkFrame(l.agent, s, first)
	err = l.read(stream, s)
	cancel()
	<-written
	_ = stream.CloseResponse()
	l.handler.LinkDown(l.agent, s, err)
	return err
}

func (l *Link) read(stream *connect.BidiStreamForClient[rhubarbsailv1.GatewayFrame, rhubarbsailv1.AgentFrame], s *Session) error {
	for {
		f, err := stream.Receive()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		l.handler.LinkFrame(l.agent, s, f)
	}
}

func (l *Link) write(ctx context.Context, stream *connect.BidiStreamForClient[rhubarbsailv1.GatewayFrame, rhubarbsailv1.AgentFrame], s *Session) {
	// While the HTTP/2 transport waits for more of the request body, it does not
	// notice that ctx has ended. Without CloseRequest, a pending Receive would
	// block forever.
	defer func() { _ = stream.CloseRequest() }()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.sendQueue:
			if err := stream.Send(f); err != nil {
				s.cancel()
				return
			}
		}
	}
}
