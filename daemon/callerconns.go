package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// callerListener accepts the connections of callers, enables callerKeepAlive on
// them and can drain them. http.Server.Shutdown alone loses requests: it closes a
// connection whose request has been received but not yet parsed.
type callerListener struct {
	net.Listener

	mu       sync.Mutex // guards the fields below
	conns    map[*callerConn]struct{}
	draining bool
	// drained is closed when the last connection has closed after drain.
	drained chan struct{}
}

func newCallerListener(l net.Listener) *callerListener {
	return &callerListener{Listener: l, conns: map[*callerConn]struct{}{}, drained: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		// A connection without keep-alive can still be served.
		_ = t.SetKeepAliveConfig(callerKeepAlive)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &callerConn{Conn: c, listener: l, draining: l.draining}
	l.conns[k] = struct{}{}
	return k, nil
}

// Close implements net.Listener. It may be called more than once.
func (l *callerListener) Close() error {
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// drain closes the listener and each connection as soon as no request is in
// progress on it. It returns when all connections are closed or ctx is done.
func (l *callerListener) drain(ctx context.Context) error {
	err := l.Close()
	l.mu.Lock()
	l.draining = true
	open := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	if len(open) == 0 {
		return err
	}
	for _, c := range open {
		c.drain()
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
	return err
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if l.draining && len(l.conns) == 0 {
		close(l.drained)
	}
}

// callerConn is a connection of a caller. The read deadline closes it between two
// requests, after idleTimeout or when it is drained. Before that it reads what has
// arrived, so that a request is either served or has not been read at all.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu sync.Mutex // guards the fields below
	// idle is true from the end of a response to the first byte of the next request.
	// A new connection is not idle: its first request follows at once, or else the
	// server closes it after headerTimeout.
	idle     bool
	draining bool
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// trackIdle is the ConnState hook of the callers' server.
func trackIdle(c net.Conn, state http.ConnState) {
	if k, ok := c.(*callerConn); ok && state == http.StateIdle {
		k.setIdle()
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isIdle() {
		n, err = c.readReceived(b)
	}
	if n > 0 {
		c.setActive()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of an idle connection that is
// drained stays in the past.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.draining {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	defer c.listener.remove(c)
	return c.Conn.Close()
}

func (c *callerConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.interruptIfDrained()
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	c.interruptIfDrained()
}

// interruptIfDrained ends the read for the next request of an idle connection that
// is drained, whereupon the server closes the connection. The caller holds c.mu.
func (c *callerConn) interruptIfDrained() {
	if c.idle && c.draining {
		// A closed connection needs no deadline.
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// setActive marks the start of a request. The server sets the same deadline once it
// has received four bytes; an earlier one may be in the past.
func (c *callerConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
}

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// readReceived reads the bytes that have been received, regardless of the read
// deadline. It returns os.ErrDeadlineExceeded if there are none.
func (c *callerConn) readReceived(b []byte) (int, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	if err := raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), b) }); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, unix.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
