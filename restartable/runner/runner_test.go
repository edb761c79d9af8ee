package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
)

type ignoreAttempts struct{}

func (ignoreAttempts) AttemptEnded(Report) {}

// fakeTarget answers looks at once, but for those that the test lets fail.
type fakeTarget struct {
	mu    sync.Mutex
	looks int
	fails func(n int) bool
	began time.Time
}

func (f *fakeTarget) Start(context.Context, Target, Start, int64, int64) (StartResult, int64, error) {
	return StartAccepted, 1, nil
}

func (f *fakeTarget) Stop(context.Context, Target, Attempt, int64) (int64, error) { return 1, nil }

func (f *fakeTarget) Look(ctx context.Context, t Target, _ LookQuery) (LookReply, error) {
	f.mu.Lock()
	f.looks++
	n := f.looks
	f.mu.Unlock()
	if f.fails(n) {
		<-ctx.Done()
		return LookReply{}, errors.New("no answer")
	}
	time.Sleep(time.Millisecond)
	return LookReply{Clock: time.Since(f.began).Milliseconds() + 1, Born: t.Born}, nil
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.looks
}

// Guards against a target that counts as unreachable, which returns its whole
// queue, for single looks without an answer: on ljuska-split scale-1 a fifteenth
// of them had none, and three quarters of the jobs were late or refused.
func TestSingleUnansweredLooksAreNoOutage(t *testing.T) {
	f := &fakeTarget{began: time.Now(), fails: func(n int) bool { return n%10 == 0 }}
	r := New(NewCore(DefaultOptions()), f, 1, boottime.Now, zerolog.Nop(), ignoreAttempts{}, DefaultDriveOptions())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	r.Heartbeat(ctx, smallTarget)
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
