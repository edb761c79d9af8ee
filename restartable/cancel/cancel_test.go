package cancel

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
)

// fakeGateways are the other gateways of a cell.
type fakeGateways struct {
	mu sync.Mutex
	// jobs are the jobs in progress, by address; silent are the gateways that do not answer.
	jobs   map[string][]string
	silent map[string]bool
	// asked holds the jobs of each answered call.
	asked map[string][][]string
	// held delays all answers until it is closed.
	held chan struct{}
}

func newFakeGateways(addresses ...string) *fakeGateways {
	f := &fakeGateways{jobs: map[string][]string{}, silent: map[string]bool{}, asked: map[string][][]string{}}
	for _, a := range addresses {
		f.jobs[a] = nil
	}
	return f
}

func (f *fakeGateways) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a := range f.jobs {
		out = append(out, a)
	}
	return out
}

func (f *fakeGateways) setSilent(address string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = silent
}

func (f *fakeGateways) callsTo(address string) [][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.asked[address])
}

type fakeConn struct {
	f       *fakeGateways
	address string
}

func (p fakeConn) Close() {}

func (p fakeConn) CancelJobs(ctx context.Context, jobs []string) ([]string, error) {
	if p.f.held != nil {
		<-p.f.held
	}
	p.f.mu.Lock()
	silent := p.f.silent[p.address]
	p.f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.asked[p.address] = append(p.f.asked[p.address], jobs)
	var found []string
	for _, j := range jobs {
		if slices.Contains(p.f.jobs[p.address], j) {
			found = append(found, j)
		}
	}
	return found, nil
}

func fastOptions() Options {
	opts := DefaultOptions()
	opts.CallTimeout, opts.AnswerWithin, opts.RetryMin, opts.RetryMax = 20*time.Millisecond, 100*time.Millisecond, time.Millisecond, 10*time.Millisecond
	return opts
}

func newCanceller(t *testing.T, f *fakeGateways, local func(string) bool, opts Options) *Canceller {
	c := New(local, f.addresses, func(a string) Conn { return fakeConn{f, a} }, boottime.Now, zerolog.Nop(), opts)
	t.Cleanup(c.Stop)
	return c
}

func notHere(string) bool { return false }

// Guards against the answer that a job does not exist while it runs on (UNASKED): only the
// gateway that got the request was asked.
func TestJobIsCancelledAtTheGatewayThatHasIt(t *testing.T) {
	f := newFakeGateways("a", "b", "c")
	f.jobs["b"] = []string{"j"}
	c := newCanceller(t, f, notHere, DefaultOptions())
	if !c.Cancel(t.Context(), "j") {
		t.Error("the job of another gateway was not found")
	}
	if c.Cancel(t.Context(), "unknown") {
		t.Error("an unknown job was found")
	}
}

// Guards against a second run of a cancelled job: a resubmission may be in progress at one
// gateway and an earlier submission at another.
func TestJobThatIsFoundHereIsCancelledElsewhereToo(t *testing.T) {
	f := newFakeGateways("a")
	c := newCanceller(t, f, func(string) bool { return true }, DefaultOptions())
	if !c.Cancel(t.Context(), "j") {
		t.Error("the job was not found")
	}
	if got := f.callsTo("a"); len(got) != 1 {
		t.Errorf("calls to the other gateway: %v, want one", got)
	}
}

// Guards against a job that runs on because its gateway was cut off for a while from the
// one that got the cancellation, and against callers that wait for a dead gateway.
func TestSilentGatewayIsToldOnceItAnswers(t *testing.T) {
	f := newFakeGateways("a", "b")
	f.setSilent("a", true)
	opts := fastOptions()
	c := newCanceller(t, f, notHere, opts)
	before := time.Now()
	c.Cancel(t.Context(), "first")
	if took := time.Since(before); took < opts.AnswerWithin {
		t.Errorf("a caller waited %s for a silent gateway, want at least %s", took, opts.AnswerWithin)
	}
	// The gateway has been silent for long, so that nobody waits for it.
	before = time.Now()
	c.Cancel(t.Context(), "second")
	if took := time.Since(before); took >= opts.AnswerWithin {
		t.Errorf("a caller waited %s for a gateway that had been silent before", took)
	}
	f.setSilent("a", false)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if got := slices.Concat(f.callsTo("a")...); slices.Equal(got, []string{"first", "second"}) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the gateway was told of %v, want first and second", f.callsTo("a"))
		}
	}
}

// Guards against a cancellation that is repeated for ever at a gateway that is gone.
func TestCancellationIsForgottenAfterAWhile(t *testing.T) {
	f := newFakeGateways("a")
	f.setSilent("a", true)
	opts := fastOptions()
	opts.KeepFor = 50 * time.Millisecond
	c := newCanceller(t, f, notHere, opts)
	c.Cancel(t.Context(), "j")
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		n := len(c.peers)
		c.mu.Unlock()
		if n == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the cancellation is still kept")
		}
	}
}

// Guards against a call for each job in a wave of cancellations.
func TestCancellationsThatWaitForACallShareTheNext(t *testing.T) {
	f := newFakeGateways("a")
	f.held = make(chan struct{})
	c := newCanceller(t, f, notHere, DefaultOptions())
	c.send("first")
	for _, j := range []string{"second", "third", "fourth"} {
		c.send(j)
	}
	close(f.held)
	c.Cancel(t.Context(), "last")
	if got := f.callsTo("a"); len(got) > 3 {
		t.Errorf("%d calls for five jobs: %v, want at most 3", len(got), got)
	}
}

// Guards against a caller that waits for the other gateways after it has left.
func TestCallerThatLeavesDoesNotWait(t *testing.T) {
	f := newFakeGateways("a")
	f.setSilent("a", true)
	c := newCanceller(t, f, notHere, DefaultOptions())
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("the caller has left"))
	before := time.Now()
	c.Cancel(ctx, "j")
	if took := time.Since(before); took >= DefaultOptions().AnswerWithin {
		t.Errorf("the call took %s", took)
	}
}

// Guards against a job that starts after its cancellation at a gateway that was not known
// when the cancellation came.
func TestGatewayThatIsReachedLaterIsTold(t *testing.T) {
	f := newFakeGateways("a")
	c := newCanceller(t, f, notHere, fastOptions())
	c.Cancel(t.Context(), "j")
	f.mu.Lock()
	f.jobs["b"] = nil
	f.mu.Unlock()
	c.Reached("b")
	c.Cancel(t.Context(), "next")
	if got := slices.Concat(f.callsTo("b")...); !slices.Contains(got, "j") {
		t.Errorf("the new gateway was told of %v, want j among them", got)
	}
}
