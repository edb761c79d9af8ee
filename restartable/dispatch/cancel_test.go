package dispatch

import (
	"testing"
	"time"
)

// Guards against tasks that start after their job was cancelled (UNASKED): its submission
// may arrive, or arrive again, after the cancellation.
func TestSubmissionOfACancelledJobStartsNothing(t *testing.T) {
	r := newRig(t)
	r.addAgent("a", 32_000)
	if r.core.Cancel(r.now, "j") {
		t.Error("a job that has not been submitted is reported as in progress")
	}
	r.advance(3 * time.Second)
	r.submit(newSubmission("j", 1, 100*ms))
	r.wantAnswer("j", Unfinished, CauseCancelled)
	if len(r.orders) != 0 {
		t.Errorf("orders %v for a cancelled job", r.orders)
	}
}

// Guards against memory that grows with each cancellation.
func TestCancellationsAreForgotten(t *testing.T) {
	r := newRig(t)
	r.core.Cancel(r.now, "j")
	r.advance(cancelMemory)
	r.core.Tick(r.now)
	if n := len(r.core.cancelled); n != 0 {
		t.Errorf("%d cancellations are remembered, want none", n)
	}
}
