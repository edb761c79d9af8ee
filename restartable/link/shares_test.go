package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/restartable/dispatch"
	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
)

// awaitUse waits until a gateway knows a use of queue q, of the only service. The time
// limit is only reached if the test fails.
func awaitUse(t *testing.T, d *dispatch.Dispatcher, want float64) {
	t.Helper()
	got := -1.0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		got = 0
		for _, share := range d.FairShares()["s"] {
			if share.Queue == "q" {
				got = share.Use
			}
		}
		if got == want {
			return
		}
	}
	t.Errorf("the gateway knows a use of %g, want %g", got, want)
}

// Guards against a gateway that counts only the tasks that it has sent itself, against one
// that is not told once it asks, and against a use that stays after its tasks have ended.
func TestGatewayLearnsTheUseOfQueuesByOthers(t *testing.T) {
	asking, askingAddress := startGateway(t)
	other, otherAddress := startGateway(t)
	_, _, target := startAgentWithTarget(t, askingAddress, otherAddress)
	awaitPlacement(t, true, asking, other)
	target.setRunTime(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s := smallJob("j")
		s.Wait, s.Queue.Timeout = time.Hour, time.Hour
		other.Submit(ctx, s)
	}()
	target.awaitRuns(t, 3)
	if shares := asking.FairShares(); shares != nil {
		t.Errorf("shares %+v while they are switched off", shares)
	}
	asking.SetFairShares(fairshare.Settings{Enabled: true, DefaultWeight: 1})
	awaitUse(t, asking, 3000)
	cancel()
	<-ended
	awaitUse(t, asking, 0)
	asking.SetFairShares(fairshare.Settings{})
	awaitUse(t, asking, 0)
	asking.SetFairShares(fairshare.Settings{Enabled: true, DefaultWeight: 1})
	target.setRunTime(runTime)
	awaitCompletedJob(t, asking, "after")
}
