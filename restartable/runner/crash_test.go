package runner

import (
	"testing"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// Guards against a crash whose record does not show which run was started last, or
// counts the time until the loss is known as part of the runs.
func TestCrashListsTheLatestStartFirst(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("old", 0, 1000))
	oldStartedAt := r.now
	r.answerStart(firstAttempt("old", 0), StartAccepted)
	r.advance(300 * ms)
	r.core.RenewGatewayLease("g", r.now)
	r.submit(newStart("young", 0, 1000))
	youngStartedAt := r.now
	r.answerStart(firstAttempt("young", 0), StartAccepted)
	r.advance(10 * ms)
	r.core.CallFailed(r.now)
	signAt := r.now
	r.advance(500 * ms)
	r.core.CallFailed(r.now)
	r.core.Unreachable(r.now, true)
	r.collect()
	if len(r.actions.Crashes) != 1 {
		t.Fatalf("%d crashes, want 1", len(r.actions.Crashes))
	}
	c := r.actions.Crashes[0]
	if c.Target.ID != smallTarget.ID || c.Reason != task.ReasonTargetSilent || len(c.Runs) != 2 {
		t.Fatalf("crash %+v", c)
	}
	for i, want := range []LostRun{{firstAttempt("young", 0), signAt - youngStartedAt}, {firstAttempt("old", 0), signAt - oldStartedAt}} {
		if c.Runs[i] != want {
			t.Errorf("run %d: %+v, want %+v", i, c.Runs[i], want)
		}
	}
}
