package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// targetClockAtSync is what the target's clock shows, in milliseconds, when syncedRunner
// returns.
const targetClockAtSync = 5000

// syncedRunner returns a runner with an idle target and a gateway, g, at time *now.
func syncedRunner(f *fakeTarget, now *time.Duration) *Runner {
	r := New(NewCore(DefaultCoreOptions()), f, 1, func() time.Duration { return *now }, zerolog.Nop(), nopObserver{}, DefaultOptions())
	r.Heartbeat(smallTarget)
	r.Attach("g", &lostRunSink{make(chan struct{})})
	r.core.ApplySnapshot(*now, Snapshot{RequestedAt: *now, Incarnation: smallTarget.Incarnation})
	r.targetClock, r.clockReadAt = targetClockAtSync, *now
	return r
}

// startAfter submits a task and lets an agent that was suspended in between, or had no
// processor time, send the start after a delay.
func startAfter(r *Runner, now *time.Duration, delay time.Duration) {
	r.mu.Lock()
	r.core.Submit(*now, "g", *now, []Start{newStart("a", 0, 1000)})
	*now += delay
	r.execute(r.core.Take())
	r.mu.Unlock()
	r.inFlight.Wait()
}

// Guards against a task that runs twice at the same time (TWICE): a start that was sent
// seconds after its decision began with a fresh lease, when its job had been answered
// and submitted to another gateway.
func TestStartIsValidOnlyAsLongAsItsGatewaysLease(t *testing.T) {
	lease := DefaultCoreOptions().GatewayLease
	for _, c := range []struct {
		delay time.Duration
		sent  bool
	}{{0, true}, {lease / 2, true}, {lease + ms, false}, {3 * time.Second, false}} {
		now := 10 * time.Second
		f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
		r := syncedRunner(f, &now)
		startAfter(r, &now, c.delay)
		if sent := len(f.startDeadlines) > 0; sent != c.sent {
			t.Errorf("%v after its decision a start was sent: %v, want %v", c.delay, sent, c.sent)
		}
		for _, deadline := range f.startDeadlines {
			if latest := targetClockAtSync + lease.Milliseconds(); deadline > latest {
				t.Errorf("%v after its decision a start has the deadline %d, want at most %d", c.delay, deadline, latest)
			}
		}
	}
}

// Guards against a start that is sent to a target that was found to be unreachable, or
// may have been replaced, between its decision and the call.
func TestStartIsNotSentAfterContactWasLost(t *testing.T) {
	restarted := smallTarget
	restarted.Incarnation++
	for name, change := range map[string]func(r *Runner, now time.Duration){
		"unreachable": func(r *Runner, now time.Duration) { r.core.Unreachable(now, false) },
		"another incarnation named": func(r *Runner, now time.Duration) {
			r.core.Heartbeat(now, restarted)
		},
	} {
		now := 10 * time.Second
		f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
		r := syncedRunner(f, &now)
		r.mu.Lock()
		r.core.Submit(now, "g", now, []Start{newStart("a", 0, 1000)})
		a := r.core.Take()
		change(r, now)
		r.execute(a)
		r.mu.Unlock()
		r.inFlight.Wait()
		if n := len(f.startDeadlines); n > 0 {
			t.Errorf("%s: %d starts were sent", name, n)
		}
		if !r.core.Idle() {
			t.Errorf("%s: the task was not returned", name)
		}
	}
}
