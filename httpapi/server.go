package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/drain"
	"github.com/rhubarbsail/rhubarbsail/common/httplimit"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
)

// ServerLimits are limits on the connections of one listener.
type ServerLimits struct {
	// HeaderBytes is the largest size of a request header.
	HeaderBytes int
	// HeaderTimeout bounds the time to read the header, ReadTimeout the time to read
	// header and body, IdleTimeout the time between two requests on a connection.
	HeaderTimeout, ReadTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds the time from the end of the request header to the end of
	// the response. It must be longer than the longest job timeout.
	WriteTimeout time.Duration
	// Connections is the largest number of open connections. Beyond it those are closed
	// that have held most without a complete request; while all serve complete requests,
	// further ones wait in the kernel's accept queue.
	Connections int
	// HeldBytes is the largest memory that connections and their requests may hold,
	// counted over all servers with the same budget.
	HeldBytes int64
}

// DefaultServerLimits returns limits for job timeouts of up to 120 s.
func DefaultServerLimits() ServerLimits {
	return ServerLimits{
		HeaderBytes:   16 << 10,
		HeaderTimeout: 5 * time.Second,
		ReadTimeout:   20 * time.Second,
		IdleTimeout:   90 * time.Second,
		WriteTimeout:  150 * time.Second,
		Connections:   10_000,
		HeldBytes:     384 << 20,
	}
}

// Server serves one HTTP API on one listener. It speaks only HTTP/1.1, as the
// listener that drains its connections requires.
type Server struct {
	http     *http.Server
	limits   ServerLimits
	group    *requestlimit.Group
	listener atomic.Pointer[drain.Listener] // set by Serve
	stopping atomic.Bool
}

// NewServer returns a server for the handler. Its connections count towards the budget;
// if it is nil, towards one of their own. name is that of the listener in what the budget
// reports.
func NewServer(name string, handler http.Handler, limits ServerLimits, budget *requestlimit.Budget) *Server {
	if budget == nil {
		budget = requestlimit.New(requestlimit.Options{Bytes: limits.HeldBytes, Now: boottime.Now})
	}
	s := &Server{limits: limits, group: budget.NewGroup(name, limits.Connections)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	s.http = &http.Server{
		Handler:           s.closeWhenStopping(handler),
		Protocols:         protocols,
		ConnState:         drain.TrackIdle,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		WriteTimeout:      limits.WriteTimeout,
	}
	return s
}

// closeWhenStopping closes each connection after its next response while the server
// stops, so that clients connect to another gateway for their next request.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &closingWriter{w, &s.stopping}
		next.ServeHTTP(c, r)
		// The handler may have left writing an empty response to net/http.
		c.announceClose()
	})
}

// closingWriter announces the close of the connection in responses that are written
// while the server stops, also if their requests arrived earlier.
type closingWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.announceClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the server's writer to http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceClose has no effect once the header has been written.
func (w *closingWriter) announceClose() {
	if w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// serverWriter returns the writer of net/http behind a closingWriter.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	if c, ok := w.(*closingWriter); ok {
		return c.ResponseWriter
	}
	return w
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(l net.Listener) error {
	d := drain.NewListener(l, drain.Options{HeaderTimeout: s.limits.HeaderTimeout})
	s.listener.Store(d)
	// ReadTimeout limits the time of a body.
	err := s.http.Serve(httplimit.Apply(s.http, d, httplimit.Options{Group: s.group}))
	// Stop closes the listener before it shuts the server down.
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// Stop shuts the server down without interrupting a request. The caller must have
// set readiness to false. The listener accepts connections for drainDelay more, in
// which load balancers notice that. Then it closes, and Stop returns when all
// requests that have been received are answered or ctx ends.
func (s *Server) Stop(ctx context.Context, drainDelay time.Duration) error {
	s.stopping.Store(true)
	t := time.NewTimer(drainDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	// Connections are drained first, since Shutdown drops requests that it has received
	// but not yet parsed.
	var drainErr error
	if l := s.listener.Load(); l != nil {
		drainErr = l.Drain(ctx)
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(errors.Join(drainErr, err), "requests were still in progress")
	}
	if drainErr != nil {
		return errors.Wrap(drainErr, "close the listener")
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }
