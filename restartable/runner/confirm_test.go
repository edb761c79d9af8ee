package runner

import (
	"context"
	"testing"
	"time"
)

// Guards against starts on a target that may have been replaced: nothing may start while
// another incarnation waits to be confirmed.
func TestNothingStartsWhileACandidateWaits(t *testing.T) {
	r := newCoreHarness(t)
	restarted := smallTarget
	restarted.Incarnation++
	r.core.Heartbeat(r.now, restarted)
	r.submit(newStart("a", 0, 1000))
	r.wantStarted()
	r.core.DropCandidate(r.now, restarted)
	r.collect()
	r.wantStarted("a")
}

// refusingTarget refuses all polls as meant for another target.
type refusingTarget struct{ fakeTarget }

func (f *refusingTarget) Poll(context.Context, Target, PollRequest) (PollReply, error) {
	return PollReply{}, ErrOtherIncarnation
}

// Guards against a candidate that keeps an agent from starting tasks although the target
// has refused to be it.
func TestRefusedCandidateIsDroppedAtOnce(t *testing.T) {
	now := 10 * time.Second
	f := &refusingTarget{}
	r := syncedRunner(&f.fakeTarget, &now)
	r.client = f
	other := smallTarget
	other.ID = "other"
	r.Heartbeat(other)
	// The time limit is only reached if the test fails.
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(ms) {
		r.mu.Lock()
		_, pending := r.core.Candidate()
		r.mu.Unlock()
		if !pending {
			break
		}
		if time.Now().After(end) {
			t.Error("the candidate still waits")
			break
		}
	}
	r.cancelCalls()
	r.inFlight.Wait()
}

// Guards against a target that counts as unreachable since a poll of its predecessor is
// answered late.
func TestLateAnswerOfAnEarlierIncarnationKeepsTheTarget(t *testing.T) {
	r := newCoreHarness(t)
	restarted := smallTarget
	restarted.Incarnation++
	requestedAt := r.now
	r.confirm(restarted)
	r.core.ApplySnapshot(r.now, Snapshot{RequestedAt: requestedAt, Incarnation: smallTarget.Incarnation})
	if ok, reason := r.core.Accepting(r.now); !ok {
		t.Errorf("the agent takes no work: %s", reason)
	}
}

// Guards against a record of a target that no target has confirmed: a restarted agent
// would begin with it.
func TestUnconfirmedTargetIsNotRecorded(t *testing.T) {
	now := 10 * time.Second
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	r := syncedRunner(f, &now)
	if _, known := r.RecordTarget(); !known {
		t.Error("a confirmed target is not recorded")
	}
	r.core = NewCore(DefaultCoreOptions())
	r.core.Heartbeat(now, smallTarget)
	if _, known := r.RecordTarget(); known {
		t.Error("a target that has answered no poll is recorded")
	}
}
