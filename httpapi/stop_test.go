package httpapi

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/drain/draintest"
)

// Guards against requests that a stopping server drops because they arrive while it
// closes idle connections, although it has read them or could still read them.
func TestStopAnswersRequestsThatArriveAsItClosesConnections(t *testing.T) {
	draintest.TestStop(t, func(t *testing.T, l net.Listener) (*http.Server, func(), func() error) {
		s := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), DefaultServerLimits())
		serve := func() {
			done := make(chan error, 1)
			go func() { done <- s.Serve(l) }()
			t.Cleanup(func() {
				_ = s.Close()
				if err := <-done; err != nil {
					t.Errorf("serve: %v", err)
				}
			})
		}
		stop := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), draintest.StopLimit)
			defer cancel()
			return s.Stop(ctx, 0)
		}
		return s.http, serve, stop
	})
}
