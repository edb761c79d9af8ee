package drain

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// testTimeout is much longer than any test takes.
const testTimeout = 20 * time.Second

// pipeListener accepts the connections that are sent to conns until it is closed.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

// connect passes a new connection to the listener.
func (l *pipeListener) connect(t *testing.T) {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	select {
	case l.conns <- server:
	case <-time.After(testTimeout):
		t.Fatal("the listener does not accept")
	}
}

type accepted struct {
	conn net.Conn
	err  error
}

// acceptAll accepts in the background until the listener is closed.
func acceptAll(l net.Listener) <-chan accepted {
	results := make(chan accepted)
	go func() {
		defer close(results)
		for {
			c, err := l.Accept()
			results <- accepted{c, err}
			if err != nil {
				return
			}
		}
	}()
	return results
}

// Guards against more open connections than the limit, and against a connection that
// keeps its slot after it has closed.
func TestMaxConnectionsDelaysAccept(t *testing.T) {
	p := newPipeListener()
	results := acceptAll(NewListener(p, Options{MaxConnections: 1}))
	for range 3 {
		p.connect(t)
		first := <-results
		if first.err != nil {
			t.Fatal(first.err)
		}
		select {
		case p.conns <- nil:
			t.Fatal("a connection beyond the limit was accepted")
		case <-time.After(10 * time.Millisecond):
		}
		// Closing twice must not release two slots.
		if err := errors.Join(first.conn.Close(), first.conn.Close()); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a server that cannot end because it waits for a connection to close
// before it accepts another one.
func TestCloseEndsAcceptAtTheLimit(t *testing.T) {
	p := newPipeListener()
	l := NewListener(p, Options{MaxConnections: 1})
	results := acceptAll(l)
	p.connect(t)
	<-results
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if r := <-results; !errors.Is(r.err, net.ErrClosed) {
		t.Fatalf("accept: %v", r.err)
	}
}

// Guards against a process that panics because a connection was accepted just before
// the listener closed and became known only after the last other one had closed.
func TestConnectionAcceptedWhileDrainingEnds(t *testing.T) {
	p := newLateListener()
	l := NewListener(p, Options{})
	results := acceptAll(l)
	p.connect(t)
	first := <-results
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(context.Background()) }()
	<-p.closed
	waitUntilDraining(t, l)
	if err := first.conn.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	p.connect(t)
	late := <-results
	if err := late.conn.Close(); err != nil {
		t.Fatal(err)
	}
}

func waitUntilDraining(t *testing.T, l *Listener) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		draining := l.draining
		l.mu.Unlock()
		if draining {
			return
		}
	}
	t.Fatal("the listener does not drain")
}

// lateListener accepts connections also after it has closed, as a listener does whose
// Accept has returned but whose connection is not yet known.
type lateListener struct{ *pipeListener }

func newLateListener() lateListener { return lateListener{newPipeListener()} }

func (l lateListener) Accept() (net.Conn, error) { return <-l.conns, nil }
