// Package httplimit applies the limits of package requestlimit to the connections of an
// http.Server. It counts what a request costs while it is received: net/http parses the
// lines of a header into maps before a handler runs, and handlers collect bodies.
package httplimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
)

const (
	// connectionBytes is the memory of an open connection: its goroutine, the two buffers
	// of 4 KiB of net/http and the structures of both.
	connectionBytes = 20 << 10
	// lineBytes is the memory of a header line in addition to its bytes: the entry of its
	// name in a map that has grown by doubling, and the slice of its values.
	lineBytes = 160
	// bodyFactor is the memory that a byte of a body takes until the end of the request.
	// io.ReadAll collects a body in slices of which the last may be almost empty, and
	// then copies it to one.
	bodyFactor = 2
	// bufferBytes is the size of the buffer through which net/http reads headers. It may
	// hold the start of the next request.
	bufferBytes = 4 << 10
	// idleBytes is what the buffer of an ordinary idle connection may hold. A client with
	// more has sent a part of the next request, for example a header of many short lines.
	idleBytes = 8 << 10
)

// Options configures the limits of one server.
type Options struct {
	// Group is the set of the server's connections.
	Group *requestlimit.Group
	// BodyTimeout limits the time in which a body arrives, from the end of its header. It
	// does not apply to streams. Zero leaves the deadline that the server sets.
	BodyTimeout time.Duration
	// WriteTimeout limits each write of a response on an HTTP/1 connection, so that a
	// client that reads nothing does not hold its connection. Zero leaves the deadline
	// that the server sets.
	WriteTimeout time.Duration
}

// Apply makes a server, which must not have been started, obey the limits on the
// connections that l accepts, and returns the listener that it has to serve. It wraps the
// handler and the hooks that the server has.
func Apply(s *http.Server, l net.Listener, o Options) net.Listener {
	s.Handler = &handler{next: s.Handler, options: o}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if k, ok := c.(*conn); ok {
			k.setState(state)
			c = k.Conn
		}
		if next != nil {
			next(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if k, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, k)
		}
		return ctx
	}
	return &listener{Listener: l, options: o, closed: make(chan struct{})}
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// connKey is the context key of the connection of a request.
type connKey struct{}

// errClosed is the error of reading from a connection that was closed because of a limit.
var errClosed = errors.Wrap(net.ErrClosed, "the connection was closed, since unfinished requests hold too much")

// listener adds the connections that it accepts to a group.
type listener struct {
	net.Listener
	options Options
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener. It waits while all connections serve complete requests.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: c, writeTimeout: l.options.WriteTimeout}
	client := clientOf(c.RemoteAddr())
	for {
		if h, ok := l.options.Group.Open(client, connectionBytes, func() { _ = c.Close() }); ok {
			k.holder = h
			return k, nil
		}
		select {
		case <-l.options.Group.Freed():
		case <-l.closed:
			_ = c.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. It may be called more than once.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// clientOf returns the host of an address, which stands for a client.
func clientOf(a net.Addr) string {
	if a == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// connState is what a connection receives.
type connState int

const (
	inHeader connState = iota
	// inBody lasts from the end of a header to the end of the response.
	inBody
	betweenRequests
	// multiplexed is the state of an HTTP/2 connection, whose requests count themselves.
	multiplexed
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	holder       *requestlimit.Holder
	writeTimeout time.Duration

	mu    sync.Mutex // guards the fields below
	state connState
	// requests is the number of requests in progress of an HTTP/2 connection.
	requests int
	// buffered is the most that a read since the start of the request may have left in
	// the buffer of net/http.
	buffered int64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(b[:n]) {
		return 0, errClosed
	}
	return n, err
}

// received counts bytes and reports whether the connection is kept.
func (c *conn) received(b []byte) bool {
	cost := headerCost(len(b), bytes.Count(b, []byte("\n")))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case multiplexed:
		return true
	case inBody:
		if len(b) <= bufferBytes {
			c.buffered = max(c.buffered, cost)
		}
		return true
	case betweenRequests:
		c.state, c.buffered = inHeader, 0
	}
	c.buffered = max(c.buffered, cost)
	return c.holder.Receive(cost)
}

func headerCost(bytes, lines int) int64 { return int64(bytes) + int64(lines)*lineBytes }

func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == multiplexed {
		return
	}
	switch s {
	case http.StateActive:
		c.state = inBody
	case http.StateIdle:
		c.state = betweenRequests
		c.holder.Idle(connectionBytes)
		if c.buffered > idleBytes {
			c.state = inHeader
			c.holder.Receive(c.buffered)
			c.buffered = 0
		}
	}
}

// beginRequest marks an HTTP/2 connection with a request in progress.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != multiplexed {
		c.state = multiplexed
		if c.writeTimeout > 0 {
			// A deadline of the settings frame would end the streams of the connection.
			_ = c.Conn.SetWriteDeadline(time.Time{})
		}
	}
	c.requests++
	c.holder.Receive(0)
	c.holder.Complete()
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	if c.requests == 0 {
		c.holder.Idle(connectionBytes)
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.limitWrite()
	return c.Conn.Write(b)
}

// limitWrite sets the deadline of a write, except on an HTTP/2 connection, whose responses
// may be streams.
func (c *conn) limitWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeTimeout > 0 && c.state != multiplexed {
		// The write fails if the deadline cannot be set.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.holder.Close()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, by which net/http lets a client read the answer
// to a request that it has not sent completely.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// handler counts the bodies of requests.
type handler struct {
	next    http.Handler
	options Options
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	holder := k.holder
	if r.ProtoMajor > 1 {
		k.beginRequest()
		defer k.endRequest()
		q, opened, ok := h.openRequest(w, r)
		if !ok {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer q.end()
		defer opened.Close()
		holder = opened
	}
	switch {
	case r.Body == nil || r.Body == http.NoBody || isStream(r):
		if !holder.Complete() {
			return
		}
	default:
		if t := h.options.BodyTimeout; t > 0 {
			// A connection that cannot have a deadline is still limited by the budget.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(t))
		}
		r.Body = &body{ReadCloser: r.Body, holder: holder}
	}
	h.next.ServeHTTP(w, r)
}

// openRequest adds a request of an HTTP/2 connection to the group.
func (h *handler) openRequest(w http.ResponseWriter, r *http.Request) (*request, *requestlimit.Holder, bool) {
	size, lines := len(r.URL.Path)+len(r.Host), 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			lines++
		}
	}
	q := &request{control: http.NewResponseController(w)}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	holder, ok := h.options.Group.OpenRequest(host, headerCost(size, lines), q.interrupt)
	return q, holder, ok
}

// request is a request of an HTTP/2 connection.
type request struct {
	control *http.ResponseController

	mu    sync.Mutex // guards ended
	ended bool
}

// interrupt ends a read of the body and leaves the other requests of the connection
// alone.
func (q *request) interrupt() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.ended {
		_ = q.control.SetReadDeadline(longAgo)
	}
}

// end tells that the handler returns: its response writer must not be used any more.
func (q *request) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
}

// isStream reports whether the body of a request is a stream of messages, which lasts as
// long as the request and of which only the latest message is held. Streams use HTTP/2,
// which the listener of callers does not offer.
func isStream(r *http.Request) bool {
	if r.ProtoMajor < 2 {
		return false
	}
	t := r.Header.Get("Content-Type")
	return strings.HasPrefix(t, "application/connect+") || strings.HasPrefix(t, "application/grpc")
}

// body counts the bytes of a body that a handler collects.
type body struct {
	io.ReadCloser
	holder    *requestlimit.Holder
	discarded bool // owned by the goroutine that reads
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.discarded && !b.holder.Receive(int64(n)*bodyFactor) {
		return 0, errClosed
	}
	if errors.Is(err, io.EOF) && !b.holder.Complete() {
		return 0, errClosed
	}
	return n, err
}

// Discard tells that the bytes that are read from now on are not kept.
func (b *body) Discard() { b.discarded = true }
