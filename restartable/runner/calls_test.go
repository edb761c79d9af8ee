package runner

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// targetClockAtSync is what the target's clock shows, in milliseconds, when syncedRunner
// returns.
const targetClockAtSync = 5000

// syncedRunner returns a runner with an idle target and a gateway, g, at time *now.
func syncedRunner(f TargetClient, now *time.Duration) *Runner {
	r := New(NewCore(DefaultCoreOptions()), f, 1, func() time.Duration { return *now }, zerolog.Nop(), nopObserver{}, DefaultOptions())
	r.Heartbeat(smallTarget)
	r.Attach("g", &lostRunSink{make(chan struct{})})
	r.core.RenewGatewayLease("g", *now)
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

// Guards against a restarted agent that starts tasks before its target refuses the late
// calls of the process before, whose fencing tokens were higher.
func TestNothingStartsBeforeTheTargetHasSeenARequiredToken(t *testing.T) {
	now := time.Minute
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(poll int) bool { return poll == 1 }}
	r := syncedRunner(f, &now)
	r.RaiseToken(100)
	r.inFlight.Wait()
	startAfter(r, &now, 0)
	if n := len(f.startDeadlines); n != 0 {
		t.Fatalf("%d starts before a call with the token was answered, want none", n)
	}
	if _, l, _ := r.Load(); l.FencingToken != 100 || l.Fenced {
		t.Errorf("load %+v, want token 100, not fenced", l)
	}
	now++
	_ = r.poll(t.Context(), smallTarget, 0)
	r.inFlight.Wait()
	if n := len(f.startDeadlines); n != 1 {
		t.Errorf("%d starts after a call with the token was answered, want 1", n)
	}
	if _, l, _ := r.Load(); !l.Fenced {
		t.Error("not fenced after a call with the token was answered")
	}
	r.RaiseToken(99)
	if _, l, _ := r.Load(); l.FencingToken != 100 {
		t.Errorf("token %d after a lower one was required, want 100", l.FencingToken)
	}
}

// Guards against late calls of an earlier process of the agent that a restarted target takes
// for newer ones, since the clock was set back between the two processes.
func TestTokenIsNotBeforeTheStartOfTheTarget(t *testing.T) {
	cases := map[string]struct{ token, want int64 }{
		"clock was set back":           {smallTarget.Incarnation - 10_000, smallTarget.Incarnation},
		"target started before":        {smallTarget.Incarnation + 1, smallTarget.Incarnation + 1},
		"clock of the target is wrong": {smallTarget.Incarnation - maxTokenRaise - 1, smallTarget.Incarnation - maxTokenRaise - 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			r := syncedRunner(&fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { now += ms; return false }}, &now)
			r.token = c.token
			now += ms
			if err := r.poll(t.Context(), smallTarget, 0); err != nil {
				t.Fatal(err)
			}
			if r.token != c.want {
				t.Errorf("token %d, want %d", r.token, c.want)
			}
			if synced := r.core.Synced(); synced != (c.token == c.want) {
				t.Errorf("synced by a list that was requested with token %d: %v", c.token, synced)
			}
		})
	}
}

// Guards against runs that outlive the agent or the gateway that started them, beside a
// second run of their task (TWICE): while the target left stops unanswered, the lease of
// all of its runs was renewed.
func TestLeaseIsNotRenewedForRunsThatHaveToStop(t *testing.T) {
	for name, add := range map[string]func(r *Runner, now *time.Duration){
		"run of a predecessor": func(r *Runner, now *time.Duration) {
			r.core.ApplySnapshot(*now, Snapshot{RequestedAt: *now, Incarnation: smallTarget.Incarnation, Running: []Attempt{firstAttempt("old", 0)}})
		},
		"stop without an answer": func(r *Runner, now *time.Duration) {
			r.core.Submit(*now, "g", *now, []Start{newStart("a", 0, 1000)})
			r.core.StartAnswered(*now, firstAttempt("a", 0), StartAccepted)
			r.core.StopJobs(*now, "g", []string{"a"})
			*now += DefaultCoreOptions().RunLimit
			r.core.RenewGatewayLease("g", *now)
		},
	} {
		now := 10 * time.Second
		f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
		r := syncedRunner(f, &now)
		r.mu.Lock()
		before := r.leaseDeadline()
		add(r, &now)
		after := r.leaseDeadline()
		r.mu.Unlock()
		if before == 0 || after != 0 {
			t.Errorf("%s: lease deadline %d before and %d beside it, want none beside it", name, before, after)
		}
	}
}

// Guards against a stop whose repetition waits for the time limit of the call before: a
// run has to end within the 0.4 s from the end of its gateway's lease until its job may
// be submitted to another gateway, also if most stops get no answer.
func TestStopIsRepeatedWithoutWaitingForTheAnswer(t *testing.T) {
	const want = 8
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	opts := DefaultOptions()
	opts.CallTimeout = time.Hour
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), nopObserver{}, opts)
	f.stopHangs = true
	r.Heartbeat(smallTarget)
	r.apply(func(c *Core, now time.Duration) {
		c.ApplySnapshot(now, Snapshot{RequestedAt: now, Incarnation: smallTarget.Incarnation, Running: []Attempt{firstAttempt("old", 0)}})
	})
	// The time limit is only reached if the test fails.
	for end := time.Now().Add(20 * time.Second); f.stopCount() < want; time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("%d stops, want %d", f.stopCount(), want)
		}
	}
	r.cancelCalls()
	r.inFlight.Wait()
}

// Guards against a chain of leases that adds up (TWICE): after a gateway had gone, the
// target's lease was renewed until the end of the gateway's lease, so that runs of an
// agent that could not stop them outlived the time after which their jobs are submitted
// to another gateway.
func TestLeaseOfTheTargetEndsBeforeAJobOfALostGatewayIsSubmittedAgain(t *testing.T) {
	const resubmitDelay = 1300 * ms
	for _, lost := range []string{"silent", "link closed"} {
		now := 10 * time.Second
		contactAt := now
		f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
		r := syncedRunner(f, &now)
		r.core.Submit(now, "g", now, []Start{newStart("a", 0, 1000)})
		r.core.StartAnswered(now, firstAttempt("a", 0), StartAccepted)
		r.core.RenewGatewayLease("other", now+time.Hour)
		latest := targetClockAtSync + resubmitDelay.Milliseconds()
		for ; now < contactAt+2*time.Second; now += 50 * ms {
			if lost == "link closed" && now == contactAt+800*ms {
				r.core.RemoveGateway(now, "g")
			}
			r.core.Tick(now)
			if deadline := r.leaseDeadline(); deadline >= latest {
				t.Errorf("%s: a lease until %d ms after the last contact", lost, deadline-targetClockAtSync)
				break
			}
			r.core.Submit(now, "other", now, []Start{newStart("b", int(now/ms), 1)})
			for _, s := range r.core.Take().Starts {
				if deadline, sent := r.startDeadline(smallTarget, s); sent && deadline >= latest {
					t.Errorf("%s: a start with a lease until %d ms after the last contact", lost, deadline-targetClockAtSync)
				}
			}
		}
	}
}

// Guards against a start that is executed late by the next incarnation of its target,
// beside a second attempt of the task (TWICE): each incarnation has to be called with a
// higher fencing token than the ones before.
func TestEachIncarnationGetsAHigherFencingToken(t *testing.T) {
	restarted := smallTarget
	restarted.Incarnation++
	for name, event := range map[string]func(r *Runner, now time.Duration){
		"connection refused": func(r *Runner, now time.Duration) { r.connectionRefused(now, smallTarget, now, ErrNotListening) },
		"restart announced":  func(r *Runner, _ time.Duration) { r.Heartbeat(restarted); r.inFlight.Wait() },
		"poll answered by the next one": func(r *Runner, _ time.Duration) {
			r.client = &restartedTarget{}
			if err := r.poll(t.Context(), smallTarget, 0); err == nil {
				t.Error("the list of another incarnation was applied")
			}
		},
	} {
		now := 10 * time.Second
		f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
		r := syncedRunner(f, &now)
		before := r.token
		event(r, now+ms)
		if r.token <= before {
			t.Errorf("%s: token %d, was %d", name, r.token, before)
		}
	}
}

// restartedTarget is a target that has started again under its ID. It lists an end until
// that is acknowledged.
type restartedTarget struct {
	fakeTarget
	end          End
	acknowledged int64
}

func (f *restartedTarget) Poll(_ context.Context, t Target, q PollRequest) (PollReply, error) {
	f.acknowledged = max(f.acknowledged, q.LastEndSeq)
	reply := PollReply{Clock: 1, Incarnation: smallTarget.Incarnation + 1}
	if f.acknowledged == 0 {
		reply.Ended, reply.LastEndSeq = []End{f.end}, 1
	}
	return reply, nil
}

// Guards against a task that is placed again although it is done (TWICE): polls
// acknowledged the ends of an earlier incarnation to the next one, which numbers its ends
// anew and forgot those that the agent had not seen.
func TestEndsOfAnEarlierIncarnationAreNotAcknowledgedToTheNext(t *testing.T) {
	now := 10 * time.Second
	f := &restartedTarget{end: End{firstAttempt("a", 0), task.Done}}
	r := syncedRunner(&f.fakeTarget, &now)
	r.client = f
	r.lastEndSeq = 57
	r.HandleOrder("g", now, []Start{newStart("a", 0, 1000)}, nil, nil)
	r.inFlight.Wait()
	now += 10 * ms
	r.pollFailed(errors.New("connection reset"))
	now += 20 * ms
	_ = r.poll(t.Context(), smallTarget, 0)
	now += 20 * ms
	restarted := smallTarget
	restarted.Incarnation++
	r.Heartbeat(restarted)
	r.inFlight.Wait()
	if f.acknowledged > 0 {
		t.Errorf("ends up to %d were acknowledged to the new incarnation, which the agent has not seen", f.acknowledged)
	}
}

// Guards against a lease that counts from when its evidence is read (TWICE): the first
// frame of a gateway may be half a second old when the agent attaches.
func TestLeaseOfANewLinkCountsFromTheStampOfItsFirstFrame(t *testing.T) {
	now := 10 * time.Second
	stamp := now
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	r := syncedRunner(f, &now)
	now += 450 * ms
	r.Attach("late", &lostRunSink{make(chan struct{})})
	r.HandleOrder("late", stamp, []Start{newStart("a", 0, 1000)}, nil, nil)
	r.inFlight.Wait()
	now = stamp + DefaultCoreOptions().GatewayLease + ms
	r.core.RenewGatewayLease("g", now)
	r.core.Tick(now)
	if stops := r.core.Take().Stops; len(stops) != 1 {
		t.Errorf("stops %v after the lease of the gateway, counted from the stamp, want one", stops)
	}
}

// Guards against a run that gets more time by a stop that arrives late (TWICE): the frame
// that carries the stop has the newest stamp, although its gateway answered the job when
// it sent the frame before.
func TestLateStopDoesNotProlongTheLease(t *testing.T) {
	now := 10 * time.Second
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	r := syncedRunner(f, &now)
	r.HandleOrder("g", now, []Start{newStart("a", 0, 1000)}, nil, nil)
	r.inFlight.Wait()
	r.core.StartAnswered(now, firstAttempt("a", 0), StartAccepted)
	answeredAt := now + ms
	now += 800 * ms
	r.callCtx, r.cancelCalls = context.WithCancel(t.Context())
	r.cancelCalls() // No stop reaches the target.
	r.HandleOrder("g", now, nil, []string{"a"}, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetClock, r.clockReadAt = targetClockAtSync, answeredAt
	limit := targetClockAtSync + DefaultCoreOptions().RunLimit.Milliseconds()
	for ; now < answeredAt+2*time.Second; now += 50 * ms {
		r.core.RenewGatewayLease("g", now)
		if deadline := r.leaseDeadline(); deadline > limit {
			t.Fatalf("a lease until %d ms after the answer", deadline-targetClockAtSync)
		}
	}
}

// heldUpTarget accepts starts after the clock has moved on by delay.
type heldUpTarget struct {
	fakeTarget
	now   *time.Duration
	delay time.Duration
}

func (f *heldUpTarget) Start(context.Context, Target, Start, int64, int64) (StartResult, int64, error) {
	*f.now += f.delay
	return StartAccepted, 1, nil
}

// Guards against a run that is reported as lost while it goes on (TWICE): the lease of a
// start that was held up counted from when it was sent.
func TestLeaseOfAHeldUpStartCountsFromItsAnswer(t *testing.T) {
	now := 10 * time.Second
	f := &heldUpTarget{now: &now, delay: 3 * time.Second}
	r := syncedRunner(&f.fakeTarget, &now)
	r.client = f
	r.HandleOrder("g", now, []Start{newStart("a", 0, 1000)}, nil, nil)
	r.inFlight.Wait()
	sink := &lostRunSink{make(chan struct{})}
	r.sinks["g"] = sink
	r.pollFailed(errors.New("no answer"))
	select {
	case <-sink.lost:
		t.Error("the run was reported as lost right after its start was accepted")
	default:
	}
}

// Guards against a fencing token that runs ahead of the clock by 10 s for each call that
// another one of this process has overtaken: the next process would be refused until its
// own token has caught up.
func TestTokenIsRaisedOnlyForRefusalsOfThePresentOne(t *testing.T) {
	now := 10 * time.Second
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	r := syncedRunner(f, &now)
	earlier := r.token
	r.fenceEarlierCalls()
	present := r.token
	r.raiseTokenIfFenced(earlier, ErrFenced)
	if r.token != present {
		t.Errorf("token %d after the refusal of %d, was %d", r.token, earlier, present)
	}
	r.raiseTokenIfFenced(present, ErrFenced)
	if r.token <= present {
		t.Errorf("token %d after its refusal", r.token)
	}
}

// Guards against a stop that an earlier incarnation has acknowledged and that counts for
// the present one, on which a late start may run: it has to be sent again.
func TestStopThatAnEarlierIncarnationAcknowledgedIsRepeated(t *testing.T) {
	r := newCoreHarness(t)
	r.submit(newStart("a", 0, 1000))
	r.answerStart(firstAttempt("a", 0), StartUnanswered)
	r.advance(ms)
	r.core.StopAnswered(r.now, firstAttempt("a", 0), true)
	r.actions.Stops = nil
	restarted := smallTarget
	restarted.Incarnation++
	r.confirm(restarted, firstAttempt("a", 0))
	if len(r.actions.Stops) != 1 || len(r.actions.Reports) > 0 {
		t.Errorf("stops %v, reports %v, want one stop of the run that goes on", r.actions.Stops, r.actions.Reports)
	}
}

// Guards against a reading of an earlier incarnation's clock that dates the leases of the
// present one, and against its acknowledgement of a stop.
func TestAnswersOfAnEarlierIncarnationSetNoClock(t *testing.T) {
	now := 10 * time.Second
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	r := syncedRunner(f, &now)
	earlier := smallTarget
	earlier.Incarnation--
	r.setTargetClock(earlier, 99_999)
	if r.targetClock != targetClockAtSync {
		t.Errorf("clock %d", r.targetClock)
	}
	if r.core.Submit(now, "g", now, []Start{newStart("a", 0, 1000)}); len(r.core.Take().Starts) != 1 {
		t.Fatal("no start")
	}
	if _, sent := r.startDeadline(earlier, Start{ValidUntil: now + time.Second}); sent {
		t.Error("a start to an earlier incarnation is sent")
	}
}

// Guards against a run that inherits a lease of its target beyond its own limit (TWICE):
// the lease had been renewed for the runs of other gateways before it started, and a lease
// never shortens.
func TestRunDoesNotStartUnderALeaseThatOutlastsIt(t *testing.T) {
	now := 10 * time.Second
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
	r := syncedRunner(f, &now)
	r.core.RenewGatewayLease("other", now+time.Hour)
	r.core.Submit(now, "other", now, []Start{newStart("first", 0, smallTarget.Capacity.CPUMillis)})
	r.core.StartAnswered(now, firstAttempt("first", 0), StartAccepted)
	r.core.Submit(now, "g", now, []Start{newStart("queued", 0, 1000)})
	r.core.Take()
	now += 600 * ms
	_ = r.leaseDeadline()
	now += 10 * ms
	r.core.ApplySnapshot(now, Snapshot{RequestedAt: now, Incarnation: smallTarget.Incarnation, Ended: []End{{firstAttempt("first", 0), task.Done}}})
	if starts := r.core.Take().Starts; len(starts) > 0 {
		t.Fatalf("started %v under a lease of %v, %v after the last contact of its gateway", starts[0].Task, DefaultOptions().Lease, 610*ms)
	}
	r.core.RenewGatewayLease("g", now)
	r.core.Tick(now)
	if starts := r.core.Take().Starts; len(starts) != 1 {
		t.Errorf("%d starts after the next stamp of the gateway, want 1", len(starts))
	}
}
