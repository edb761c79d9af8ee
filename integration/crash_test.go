package integration

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

// Guards against a job that crashes as many targets again at each gateway that it comes to:
// its caller loses the gateway as soon as a target has crashed, as in a kill, and goes to
// the next one at once. A task may be started twice more after three targets have crashed
// under it.
func TestPlatformCrashesCountAfterTheGatewayIsLost(t *testing.T) {
	const submissions, maxCrashes = 10, 5
	s := newPlatformDeployment(t, 2, 6)
	q := platformQueue
	q.Timeout = 10 * time.Second
	s.store.PutQueue(2, q)
	s.awaitQueueVersion(2)
	job := standin.Job{ID: "deadly", Spec: "crash", Tasks: 1}
	status, state := 0, ""
	for n := range submissions {
		ctx, cancel := context.WithCancel(t.Context())
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			status, state = s.client(n%2).Submit(ctx, job)
		}()
		for before := s.crashes(); s.crashes() == before; time.Sleep(time.Millisecond) {
			select {
			case <-answered:
			default:
				continue
			}
			break
		}
		if n < submissions-1 {
			cancel()
		}
		<-answered
		cancel()
	}
	if status != http.StatusOK || state != "failed" {
		t.Errorf("%d %s, want the job to be answered as failed", status, state)
	}
	if n := s.crashes(); n > maxCrashes {
		t.Errorf("%d targets crashed under one job at two gateways, want at most %d", n, maxCrashes)
	}
	s.checkNoViolations()
}
