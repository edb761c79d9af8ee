// Package draintest checks that the planned stop of an HTTP/1.1 server loses no
// request. Its connections hold requests back until the server starts to close them.
package draintest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// StopLimit is much longer than a stop takes whose connections are all idle.
const StopLimit = 20 * time.Second

// StartServer starts a server of the given listener until the end of the test, with a
// handler that answers at once. It returns the HTTP server, whose ConnState hook may
// be replaced before serve is called, and the function that stops it as planned.
type StartServer func(t *testing.T, l net.Listener) (server *http.Server, serve func(), stop func() error)

// TestStop requires answers to requests that arrive while the server closes
// connections and that it has read or could still read.
func TestStop(t *testing.T, start StartServer) {
	for _, tt := range []struct {
		name string
		// kept connections are idle when the server stops, since a request on them has
		// been answered; others are new.
		kept bool
		// read tells whether the server has read the request when it starts to close
		// connections. Otherwise it has only been received.
		read bool
	}{
		{"read on a kept connection", true, true},
		{"received on a kept connection", true, false},
		{"read on a new connection", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := startGatedServer(t, start)
			idle := s.dial(t)
			idle.exchange(t)
			caller := s.dial(t)
			caller.server.holdsUnread = !tt.read
			if tt.kept {
				caller.exchange(t)
			} else {
				caller.server.isNew = true
				caller.server.arm()
			}
			if tt.read {
				caller.send(t)
				<-caller.server.read
			} else {
				caller.server.beforeClose = func() { caller.send(t) }
			}
			stopped := make(chan error, 1)
			go func() { stopped <- s.stop() }()
			caller.receive(t)
			if err := <-stopped; err != nil {
				t.Errorf("stop: %v", err)
			}
		})
	}
}

// gatedServer is a server whose connections can hold requests back.
type gatedServer struct {
	listener *gatedListener
	stop     func() error
}

func startGatedServer(t *testing.T, start StartServer) *gatedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &gatedServer{listener: &gatedListener{Listener: l, accepted: make(chan *gatedConn, 1)}}
	server, serve, stop := start(t, s.listener)
	s.stop = stop
	hook := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if hook != nil {
			hook(c, state)
		}
		if state == http.StateIdle {
			s.listener.armIdle(c.RemoteAddr())
		}
	}
	serve()
	return s
}

// gatedCaller is a caller with its connection and the server's end of it.
type gatedCaller struct {
	net.Conn
	server *gatedConn
}

func (s *gatedServer) dial(t *testing.T) *gatedCaller {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &gatedCaller{c, <-s.listener.accepted}
}

// exchange sends a request, requires its answer and waits until the server holds the
// connection as idle.
func (c *gatedCaller) exchange(t *testing.T) {
	t.Helper()
	c.send(t)
	c.receive(t)
	<-c.server.armed
}

func (c *gatedCaller) send(t *testing.T) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Errorf("send: %v", err)
	}
}

func (c *gatedCaller) receive(t *testing.T) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(StopLimit)); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = r.Body.Close()
}

// gatedListener passes each accepted connection to accepted.
type gatedListener struct {
	net.Listener
	accepted chan *gatedConn

	mu    sync.Mutex // guards conns
	conns []*gatedConn
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &gatedConn{TCPConn: c.(*net.TCPConn), armed: make(chan struct{}), closing: make(chan struct{}), read: make(chan struct{}, 1)}
	l.mu.Lock()
	l.conns = append(l.conns, g)
	l.mu.Unlock()
	l.accepted <- g
	return g, nil
}

// Close implements net.Listener. It releases the requests of new connections.
func (l *gatedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.isNew {
			c.startClosing()
		}
	}
	return l.Listener.Close()
}

// armIdle arms the connection from the given address.
func (l *gatedListener) armIdle(caller net.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.RemoteAddr().String() == caller.String() {
			c.arm()
		}
	}
}

// gatedConn is the server's end of a connection. Once it is armed, it holds the next
// request back until the server starts to close the connection.
type gatedConn struct {
	*net.TCPConn
	// holdsUnread leaves a held request in the receive buffer; otherwise it has been
	// read. isNew is true if no request precedes the held one.
	holdsUnread, isNew bool
	// beforeClose is called when the server starts to close the connection.
	beforeClose func()
	// read receives a value when a held request has been read.
	read           chan struct{}
	armed, closing chan struct{}
	arming, ending sync.Once
}

func (c *gatedConn) arm() { c.arming.Do(func() { close(c.armed) }) }

func (c *gatedConn) isArmed() bool {
	select {
	case <-c.armed:
		return true
	default:
		return false
	}
}

func (c *gatedConn) startClosing() {
	c.ending.Do(func() {
		if c.beforeClose != nil {
			c.beforeClose()
		}
		close(c.closing)
	})
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	if c.isArmed() && c.holdsUnread {
		<-c.closing
	}
	n, err := c.TCPConn.Read(b)
	if c.isArmed() && n > 0 {
		select {
		case c.read <- struct{}{}:
		default:
		}
		<-c.closing
	}
	return n, err
}

// SetReadDeadline implements net.Conn. A deadline in the past starts the close.
func (c *gatedConn) SetReadDeadline(t time.Time) error {
	if c.isArmed() && !t.IsZero() && t.Before(time.Now()) {
		c.startClosing()
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	if c.isArmed() {
		c.startClosing()
	}
	return c.TCPConn.Close()
}
