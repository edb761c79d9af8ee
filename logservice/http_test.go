package logservice_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/logservice"
)

// If the client reported an unknown outcome as a refusal, callers would say that
// a change was not made although it is in the log.
func TestErrorsDistinguishRefusalFromUnknownOutcome(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"overloaded", status(429, ""), logservice.ErrUnavailable},
		{"unavailable", status(503, ""), logservice.ErrUnavailable},
		{"bad gateway", status(502, ""), logservice.ErrUnknownOutcome},
		{"server error", status(500, ""), logservice.ErrUnknownOutcome},
		{"not found", status(404, ""), logservice.ErrInvalid},
		{"too large", status(413, ""), logservice.ErrInvalid},
		{"cut reply", status(200, `{"offs`), logservice.ErrUnknownOutcome},
		{"empty reply", status(200, `{}`), logservice.ErrUnknownOutcome},
		{"hang up", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, logservice.ErrUnknownOutcome},
		{"no reply", func(_ http.ResponseWriter, r *http.Request) {
			// The server detects that the client disconnected only after the body
			// was read or closed.
			_ = r.Body.Close()
			<-r.Context().Done()
		}, logservice.ErrUnknownOutcome},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(tc.handler)
			defer s.Close()
			client := logservice.NewHTTP(s.URL, s.Client())
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if _, err := client.Append(ctx, "s", nil); !errors.Is(err, tc.want) {
				t.Errorf("append: %v, want %v", err, tc.want)
			}
			if _, err := client.Renew(ctx, "w", "h", time.Second); tc.name != "empty reply" && !errors.Is(err, tc.want) && ctx.Err() == nil {
				t.Errorf("renew: %v, want %v", err, tc.want)
			}
			if _, err := client.Read(ctx, "s", 1, 1, 0); tc.name != "empty reply" && !errors.Is(err, logservice.ErrUnavailable) {
				t.Errorf("read: %v", err)
			}
		})
	}
}

// Without a connection nothing was sent, so the error must tell the caller that
// the change was not made.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	client := logservice.NewHTTP(s.URL, s.Client())
	s.Close()
	if _, err := client.Append(t.Context(), "s", nil); !errors.Is(err, logservice.ErrUnavailable) || errors.Is(err, logservice.ErrUnknownOutcome) {
		t.Error(err)
	}
}

// A new connection for each append would double its latency.
func TestConnectionIsReused(t *testing.T) {
	var connections atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// Chunked, so that the end of the body arrives after the JSON value: a client
		// that stops reading there cannot reuse the connection.
		_, _ = w.Write([]byte("{\"offset\":1}"))
		w.(http.Flusher).Flush()
		_, _ = w.Write([]byte("\n"))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	client := logservice.NewHTTP(s.URL, s.Client())
	for range 5 {
		if _, err := client.Append(t.Context(), "s", nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
