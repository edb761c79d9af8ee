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

// ServerLimits bounds what one listener's connections may cost.
type ServerLimits struct {
	// HeaderBytes is the largest request header.
	HeaderBytes int
	// HeaderTimeout bounds the time for the header, ReadTimeout that for header
	// and body, IdleTimeout the time between two requests of a connection.
	HeaderTimeout, ReadTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds a request from its header to the end of the answer. It
	// has to be longer than the longest job timeout.
	WriteTimeout time.Duration
	// Connections is the largest number of connections. Further ones wait in
	// the kernel's accept queue.
	Connections int
}

// DefaultServerLimits suit job timeouts of up to 120 s.
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

// closeWhenStopping asks clients to use another connection, and so another
// gateway, for their next request.
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

// Stop shuts the server down without cutting a request. The caller has set
// readiness to false before. For the time notice the listener still accepts,
// so that load balancers can see that; then it closes, and Stop returns once
// the requests in progress are answered or ctx ends.
func (s *Server) Stop(ctx context.Context, notice time.Duration) error {
	s.stopping.Store(true)
	t := time.NewTimer(notice)
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

// Close cuts all connections.
func (s *Server) Close() error { return s.http.Close() }
