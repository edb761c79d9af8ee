// Package drain closes the connections of a stopping HTTP/1.1 server without losing
// requests. http.Server.Shutdown alone loses them: it closes a connection whose
// request has been received but not yet parsed.
package drain

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

// Options configures the connections of a Listener.
type Options struct {
	// KeepAlive is set on each accepted connection unless it is zero.
	KeepAlive net.KeepAliveConfig
	// HeaderTimeout bounds the time to read a request header, as the server's
	// ReadHeaderTimeout does. It must be positive.
	HeaderTimeout time.Duration
	// MaxConnections is the largest number of open connections, or 0 for no limit.
	// Further ones wait in the kernel's accept queue.
	MaxConnections int
}

// Listener accepts the connections of an http.Server that speaks only HTTP/1.1, and
// can drain them. TrackIdle has to be the server's ConnState hook.
type Listener struct {
	net.Listener
	options Options
	// slots holds an element for each open connection; nil without a limit. closed
	// ends an Accept that waits for a slot.
	slots   chan struct{}
	closed  chan struct{}
	closing sync.Once

	mu       sync.Mutex // guards the fields below
	conns    map[*conn]struct{}
	draining bool
	// drained is closed when the last connection has closed after Drain. A connection
	// that is accepted as the listener closes may become known and end later still.
	drained    chan struct{}
	endOfDrain sync.Once
}

// NewListener returns a listener for the connections that l accepts.
func NewListener(l net.Listener, o Options) *Listener {
	d := &Listener{
		Listener: l, options: o, closed: make(chan struct{}),
		conns: map[*conn]struct{}{}, drained: make(chan struct{}),
	}
	if o.MaxConnections > 0 {
		d.slots = make(chan struct{}, o.MaxConnections)
	}
	return d
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	l.setKeepAlive(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &conn{Conn: c, listener: l, draining: l.draining}
	l.conns[k] = struct{}{}
	return k, nil
}

func (l *Listener) acquireSlot() error {
	if l.slots == nil {
		return nil
	}
	select {
	case <-l.closed:
		return net.ErrClosed
	case l.slots <- struct{}{}:
		return nil
	}
}

func (l *Listener) releaseSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

func (l *Listener) setKeepAlive(c net.Conn) {
	t, ok := c.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	})
	if ok && l.options.KeepAlive != (net.KeepAliveConfig{}) {
		// A connection without keep-alive can still be served.
		_ = t.SetKeepAliveConfig(l.options.KeepAlive)
	}
}

// Close implements net.Listener. It may be called more than once.
func (l *Listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Drain closes the listener and each connection as soon as no request is in
// progress on it. It returns when all connections are closed or ctx is done; its
// error is that of closing the listener.
func (l *Listener) Drain(ctx context.Context) error {
	err := l.Close()
	l.mu.Lock()
	l.draining = true
	open := make([]*conn, 0, len(l.conns))
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

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.releaseSlot()
	if l.draining && len(l.conns) == 0 {
		l.endOfDrain.Do(func() { close(l.drained) })
	}
}

// conn is a connection of a client. The read deadline closes it between two
// requests, after the server's IdleTimeout or when it is drained. Before that it
// reads what has arrived, so that a request is either served or has not been read at
// all.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex // guards the fields below
	// idle is true from the end of a response to the first byte of the next request.
	// A new connection is not idle: its first request follows at once, or else the
	// server closes it after HeaderTimeout.
	idle     bool
	draining bool
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// TrackIdle is the ConnState hook of the server of a Listener.
func TrackIdle(c net.Conn, state http.ConnState) {
	if k, ok := c.(*conn); ok && state == http.StateIdle {
		k.setIdle()
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
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
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.draining {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.listener.remove(c)
	return c.Conn.Close()
}

func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.interruptIfDrained()
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	c.interruptIfDrained()
}

// interruptIfDrained ends the read for the next request of an idle connection that
// is drained, whereupon the server closes the connection. The caller holds c.mu.
func (c *conn) interruptIfDrained() {
	if c.idle && c.draining {
		// A closed connection needs no deadline.
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// setActive marks the start of a request. The server sets the same deadline once it
// has received four bytes; an earlier one may be in the past.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.options.HeaderTimeout))
	}
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// readReceived reads the bytes that have been received, regardless of the read
// deadline. It returns os.ErrDeadlineExceeded if there are none.
func (c *conn) readReceived(b []byte) (int, error) {
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
