package httpapi

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/drain/draintest"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// Guards against requests that a stopping server drops because they arrive while it
// closes idle connections, although it has read them or could still read them.
func TestStopAnswersRequestsThatArriveAsItClosesConnections(t *testing.T) {
	draintest.TestStop(t, func(t *testing.T, l net.Listener) (*http.Server, func(), func() error) {
		s := NewServer("callers", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), DefaultServerLimits(), nil)
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

// Guards against a caller that sends its next request on a connection that closes,
// because the answer to a request in progress at the stop did not announce that.
func TestAnswersWhileStoppingAnnounceTheClose(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, &fakeJobs{submit: func(context.Context, model.Job) model.Answer {
		close(started)
		<-release
		return model.Answer{State: model.RunComplete}
	}}, DefaultServerLimits())
	type result struct {
		response *http.Response
		err      error
	}
	answered := make(chan result, 1)
	go func() {
		r, err := http.Post("http://"+address+"/v1/jobs", "application/json", strings.NewReader(validBody))
		answered <- result{r, err}
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background(), 0) }()
	for end := time.Now().Add(draintest.StopLimit); !s.stopping.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	a := <-answered
	if a.err != nil {
		t.Fatal(a.err)
	}
	_ = a.response.Body.Close()
	if !a.response.Close {
		t.Error("the answer does not announce that the connection closes")
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
