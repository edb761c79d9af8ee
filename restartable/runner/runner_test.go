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

type ignoreAttempts struct{}

func (ignoreAttempts) AttemptEnded(Report) {}

// fakeTarget answers looks at once, but for those that the test lets fail.
type fakeTarget struct {
	mu    sync.Mutex
	looks int
	// looking is the number of looks at present, lookingMost the largest one.
	looking, lookingMost int
	stops                int
	fails                func(n int) bool
	// stranger is listed as running if it is set.
	stranger *Attempt
	began    time.Time
}

func (f *fakeTarget) Start(context.Context, Target, Start, int64, int64) (StartResult, int64, error) {
	return StartAccepted, 1, nil
}

// Stop never answers.
func (f *fakeTarget) Stop(context.Context, Target, Attempt, int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops++
	return 0, errors.New("no answer")
}

func (f *fakeTarget) Poll(ctx context.Context, t Target, _ PollRequest) (PollReply, error) {
	f.mu.Lock()
	f.looks++
	n := f.looks
	f.looking++
	f.lookingMost = max(f.lookingMost, f.looking)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.looking--
	}()
	if f.fails(n) {
		<-ctx.Done()
		return PollReply{}, errors.New("no answer")
	}
	time.Sleep(time.Millisecond)
	reply := PollReply{Clock: time.Since(f.began).Milliseconds() + 1, Incarnation: t.Incarnation}
	if f.stranger != nil {
		reply.Running = []Attempt{*f.stranger}
	}
	return reply, nil
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.looks
}

// most returns the largest number of looks at a time.
func (f *fakeTarget) most() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lookingMost
}

// Guards against a target that counts as unreachable, which returns its whole
// queue, for single looks without an answer: on ljuska-split scale-1 a fifteenth
// of them had none, and three quarters of the jobs were late or refused.
func TestSingleUnansweredLooksAreNoOutage(t *testing.T) {
	f := &fakeTarget{began: time.Now(), fails: func(n int) bool { return n%10 == 0 }}
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), ignoreAttempts{}, DefaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	r.Heartbeat(smallTarget)
	accepted := false
	for f.count() < 60 {
		_, l, _ := r.Load()
		if accepted && !l.Accepting {
			t.Error("the target does not accept after a look without an answer")
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

// Guards against two looks at a time at a target that answers all of them, each
// of which is answered at each end: they were most of what an agent and its target
// had to do. After one without an answer there are two.
func TestSecondLookOnlyAfterSilence(t *testing.T) {
	f := &fakeTarget{began: time.Now(), fails: func(n int) bool { return n == 20 }}
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), ignoreAttempts{}, DefaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	r.Heartbeat(smallTarget)
	for f.count() < 20 {
		time.Sleep(time.Millisecond)
	}
	if n := f.most(); n > 1 {
		t.Fatalf("%d looks at a time before any had no answer", n)
	}
	// The limit only ends a failed test.
	for end := time.Now().Add(20 * time.Second); f.most() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("one look at a time after one had no answer")
		}
	}
}

// Guards against calls that are repeated without an end after the runner has
// ended.
func TestNoCallOutlivesTheRunner(t *testing.T) {
	f := &fakeTarget{began: time.Now(), fails: func(int) bool { return false }, stranger: &Attempt{taskOf("old", 0), 1}}
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), ignoreAttempts{}, DefaultOptions())
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
	time.Sleep(5 * DefaultOptions().RetryAfter)
	if after := stops(); after != before {
		t.Fatalf("%d stops after the runner had ended", after-before)
	}
}

// lostSink notes whether a run was reported as lost.
type lostSink struct{ lost chan struct{} }

func (s *lostSink) Report(r Report) {
	if r.Outcome == task.Lost {
		close(s.lost)
	}
}
func (s *lostSink) LoadChanged() {}
func (s *lostSink) Close()       {}

// Guards against runs of a target that has gone and that keep their capacity
// and their jobs until the target comes back: each look without an answer
// counted as a renewal of the lease, so that it never lapsed.
func TestRunsOfATargetThatHasGoneAreLost(t *testing.T) {
	var gone atomic.Bool
	f := &fakeTarget{began: time.Now(), fails: func(int) bool { return gone.Load() }}
	opts := DefaultOptions()
	opts.LeaseMax, opts.SilentAfter, opts.LookWait = 100*ms, 30*ms, 5*ms
	r := New(NewCore(DefaultCoreOptions()), f, 1, boottime.Now, zerolog.Nop(), ignoreAttempts{}, opts)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	r.Heartbeat(smallTarget)
	sink := &lostSink{make(chan struct{})}
	r.Attach("g", sink)
	for ctx.Err() == nil {
		if _, l, _ := r.Load(); l.Accepting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	// The fake does not list the run, which would count as lost; so it is gone
	// before the next look.
	gone.Store(true)
	r.HandleOrder("g", boottime.Now(), []Start{start("a", 0, 1000)}, nil, nil)
	// The limit only ends a failed test.
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
