package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
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
	// Connections is the largest number of open connections. Further ones wait in
	// the kernel's accept queue.
	Connections int
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
	}
}

// Server serves one HTTP API on one listener.
type Server struct {
	http     *http.Server
	limits   ServerLimits
	stopping atomic.Bool
}

// NewServer returns a server for the handler.
func NewServer(handler http.Handler, limits ServerLimits) *Server {
	s := &Server{limits: limits}
	s.http = &http.Server{
		Handler:           s.closeWhenStopping(handler),
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
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(l net.Listener) error {
	if s.limits.Connections > 0 {
		l = netutil.LimitListener(l, s.limits.Connections)
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// Stop shuts the server down without interrupting a request. The caller must have
// set readiness to false. The listener accepts connections for drainDelay more, in
// which load balancers notice that. Then it closes, and Stop returns when all
// requests in progress are answered or ctx ends.
func (s *Server) Stop(ctx context.Context, drainDelay time.Duration) error {
	s.stopping.Store(true)
	t := time.NewTimer(drainDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "requests were still in progress")
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }
