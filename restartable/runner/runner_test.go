package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

type nopObserver struct{}

func (nopObserver) AttemptEnded(Report)       {}
func (nopObserver) TargetCrashed(task.Reason) {}

// fakeTarget answers polls immediately, except those that the test lets fail.
type fakeTarget struct {
	mu    sync.Mutex
	polls int
	// inFlight is the current number of concurrent polls, maxInFlight the largest
	// so far.
	inFlight, maxInFlight int
	stops                 int
	// stopHangs makes stops wait until the caller gives up.
	stopHangs bool
	// startDeadlines holds the lease deadline of each start.
	startDeadlines []int64
	pollFails      func(n int) bool
	// foreignRun is listed as running if it is set.
	foreignRun *Attempt
	startedAt  time.Time
}

func (f *fakeTarget) Start(_ context.Context, _ Target, _ Start, _, deadline int64) (StartResult, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startDeadlines = append(f.startDeadlines, deadline)
	return StartAccepted, 1, nil
}

// Stop never answers.
func (f *fakeTarget) Stop(ctx context.Context, _ Target, _ Attempt, _ int64) (int64, error) {
	f.mu.Lock()
	f.stops++
	hangs := f.stopHangs
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
	return 0, errors.New("no answer")
}

func (f *fakeTarget) stopCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stops
}

func (f *fakeTarget) Poll(ctx context.Context, t Target, _ PollRequest) (PollReply, error) {
	f.mu.Lock()
	f.polls++
	n := f.polls
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inFlight--
	}()
	if f.pollFails(n) {
		<-ctx.Done()
		return PollReply{}, errors.New("no answer")
	}
	time.Sleep(time.Millisecond)
	reply := PollReply{Clock: time.Since(f.startedAt).Milliseconds() + 1, Incarnation: t.Incarnation}
	if f.foreignRun != nil {
		reply.Running = []Attempt{*f.foreignRun}
	}
	return reply, nil
}

func (f *fakeTarget) pollCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls
}

// maxConcurrentPolls returns the largest number of concurrent polls so far.
func (f *fakeTarget) maxConcurrentPolls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxInFlight
}

// Guards against treating a target as unreachable, which returns its whole queue,
// after a single unanswered poll: on ljuska-split scale-1 one in fifteen polls
// was unanswered, and three quarters of the jobs were late or refused.
func TestSingleUnansweredPollsKeepTheTargetReachable(t *testing.T) {
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(n int) bool { return n%10 == 0 }}
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), nopObserver{}, DefaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	r.Heartbeat(smallTarget)
	accepted := false
	for f.pollCount() < 60 {
		_, l, _ := r.Load()
		if accepted && !l.Accepting {
			t.Error("the target does not accept after an unanswered poll")
			break
		}
		accepted = accepted || l.Accepting
		time.Sleep(time.Millisecond)
	}
	cancel()
	wg.Wait()
	if !accepted {
		t.Error("the target never accepted")
	}
}

// Guards against two concurrent polls at a target that answers all of them: each
// of them is answered whenever a run ends, and answering polls was most of the
// work of an agent and its target. After an unanswered poll there are two.
func TestSecondPollerOnlyAfterAnUnansweredPoll(t *testing.T) {
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(n int) bool { return n == 20 }}
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), nopObserver{}, DefaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	r.Heartbeat(smallTarget)
	for f.pollCount() < 20 {
		time.Sleep(time.Millisecond)
	}
	if n := f.maxConcurrentPolls(); n > 1 {
		t.Fatalf("%d concurrent polls before any was unanswered", n)
	}
	// The time limit is only reached if the test fails.
	for end := time.Now().Add(20 * time.Second); f.maxConcurrentPolls() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no second poller after an unanswered poll")
		}
	}
}

// Guards against calls that are retried indefinitely after the runner has ended.
func TestNoCallsAfterTheRunnerStops(t *testing.T) {
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }, foreignRun: &Attempt{taskID("old", 0), 1}}
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), nopObserver{}, DefaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	r.Heartbeat(smallTarget)
	stops := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.stops
	}
	for stops() < 3 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	wg.Wait()
	before := stops()
	r.Heartbeat(smallTarget)
	time.Sleep(5 * DefaultOptions().RetryDelay)
	if after := stops(); after != before {
		t.Fatalf("%d stops after the runner had ended", after-before)
	}
}

// Guards against runs that are reported as lost while they go on, since the refusal of
// an earlier call is handled after the target has restarted or has answered again: their
// tasks would run twice at a time.
func TestLateRefusalDoesNotEndLaterRuns(t *testing.T) {
	restarted := smallTarget
	restarted.Incarnation++
	const refusedCallSentAt = 2 * time.Second
	cases := map[string]struct {
		current             Target
		startedAt, lastPoll time.Duration
		lost                bool
	}{
		"no sign of life since":       {smallTarget, time.Second, time.Second, true},
		"restarted since":             {restarted, time.Second, time.Second, false},
		"answered a poll since":       {smallTarget, time.Second, 3 * time.Second, false},
		"accepted another task since": {smallTarget, 3 * time.Second, time.Second, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			now := k.startedAt
			f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return false }}
			r := New(NewCore(DefaultCoreOptions()), f, 1, func() time.Duration { return now }, zerolog.Nop(), nopObserver{}, DefaultOptions())
			sink := &lostRunSink{make(chan struct{})}
			r.Heartbeat(k.current)
			r.Attach("g", sink)
			r.core.ApplySnapshot(now, Snapshot{RequestedAt: now, Incarnation: k.current.Incarnation})
			r.targetClock, r.clockReadAt = targetClockAtSync, now
			r.HandleOrder("g", now, []Start{newStart("a", 0, 1000)}, nil, nil)
			r.inFlight.Wait()
			r.mu.Lock()
			now = 4 * time.Second
			r.lastPollAnswer = k.lastPoll
			r.connectionRefused(now, smallTarget, refusedCallSentAt, ErrNotListening)
			r.execute(r.core.Take())
			r.mu.Unlock()
			select {
			case <-sink.lost:
				if !k.lost {
					t.Error("the run was reported as lost")
				}
			default:
				if k.lost {
					t.Error("the run was not reported as lost")
				}
			}
		})
	}
}

// lostRunSink closes lost when a run is reported as lost.
type lostRunSink struct{ lost chan struct{} }

func (s *lostRunSink) Report(r Report) {
	if r.Outcome == task.Lost {
		close(s.lost)
	}
}
func (s *lostRunSink) Crashed(Crash) {}
func (s *lostRunSink) LoadChanged()  {}
func (s *lostRunSink) Close()        {}

// Guards against runs of an unreachable target that keep their capacity and block
// their jobs until the target returns: every unanswered poll counted as a renewal
// of the lease, so that it never expired.
func TestRunsOfAnUnreachableTargetAreReportedLost(t *testing.T) {
	var targetDown atomic.Bool
	f := &fakeTarget{startedAt: time.Now(), pollFails: func(int) bool { return targetDown.Load() }}
	opts := DefaultOptions()
	opts.LeaseMax, opts.UnreachableAfter, opts.PollWait = 100*ms, 30*ms, 5*ms
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), nopObserver{}, opts)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	r.Heartbeat(smallTarget)
	sink := &lostRunSink{make(chan struct{})}
	r.Attach("g", sink)
	for ctx.Err() == nil {
		if _, l, _ := r.Load(); l.Accepting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	// The fake does not list the run, and a poll would show it as lost for that
	// reason, so it stops answering before the run starts.
	targetDown.Store(true)
	r.HandleOrder("g", boottime.Now(), []Start{newStart("a", 0, 1000)}, nil, nil)
	// The time limit is only reached if the test fails.
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		select {
		case <-sink.lost:
			return
		case <-time.After(50 * ms):
			r.HandleOrder("g", boottime.Now(), nil, nil, nil)
		}
	}
	t.Fatal("the run was not reported as lost")
}
