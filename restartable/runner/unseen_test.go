package runner

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// scriptedTarget answers each poll as its script says, and the polls after it as a
// process that has ended.
type scriptedTarget struct {
	fakeTarget
	script []func() (PollReply, error)
}

func (f *scriptedTarget) Poll(context.Context, Target, PollRequest) (PollReply, error) {
	if len(f.script) == 0 {
		return PollReply{}, ErrNotListening
	}
	next := f.script[0]
	f.script = f.script[1:]
	return next()
}

// crashSink records the crashes that are reported.
type crashSink struct {
	lostRunSink
	crashes []Crash
}

func (s *crashSink) Crashed(c Crash) { s.crashes = append(s.crashes, c) }

// Guards against a job that is answered as failed although its target had ended the run
// before it crashed (soak, seeds 233 and 739): the target was silent, or the agent
// suspended, so that no list told of the end.
func TestEndThatNoListHasToldOfIsNotPartOfACrash(t *testing.T) {
	var now time.Duration
	var r *Runner
	fails := func(err error) func() (PollReply, error) {
		return func() (PollReply, error) { return PollReply{}, err }
	}
	lists := func() (PollReply, error) {
		return PollReply{Clock: 1, Incarnation: smallTarget.Incarnation, Running: []Attempt{firstAttempt("a", 0)}}, nil
	}
	connectionEnds, noAnswer := fails(errors.Wrap(ErrConnectionLost, "EOF")), fails(context.DeadlineExceeded)
	cases := map[string]struct {
		script []func() (PollReply, error)
		// step is the time between two polls.
		step     time.Duration
		accepted bool
	}{
		"connection ended by the crash":    {[]func() (PollReply, error){connectionEnds}, ms, true},
		"connections ended by the crash":   {[]func() (PollReply, error){connectionEnds, connectionEnds}, ms, true},
		"connections end, process goes on": {[]func() (PollReply, error){connectionEnds, connectionEnds}, exitTime + ms, false},
		"no answer":                        {[]func() (PollReply, error){noAnswer}, ms, false},
		"no list in the answer":            {[]func() (PollReply, error){fails(errors.New("status 503"))}, ms, false},
		"no answer, then the crash":        {[]func() (PollReply, error){noAnswer, connectionEnds}, ms, false},
		"no answer, then a list":           {[]func() (PollReply, error){noAnswer, lists, connectionEnds}, ms, true},
		"list that was read long after it": {[]func() (PollReply, error){func() (PollReply, error) {
			now += time.Second
			return lists()
		}}, ms, false},
		"an earlier poll still unanswered": {[]func() (PollReply, error){func() (PollReply, error) {
			now += ms
			_ = r.poll(t.Context(), smallTarget, 0)
			return noAnswer()
		}}, ms, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			now = 10 * time.Second
			f := &scriptedTarget{fakeTarget{startedAt: time.Now()}, k.script}
			r = syncedRunner(f, &now)
			sink := &crashSink{lostRunSink: lostRunSink{make(chan struct{})}}
			r.Attach("g", sink)
			startAfter(r, &now, 0)
			for len(sink.crashes) == 0 {
				now += k.step
				r.core.RenewGatewayLease("g", now)
				if err := r.poll(t.Context(), smallTarget, r.opts.PollWait); err != nil {
					r.pollFailed(err)
				}
				r.inFlight.Wait()
			}
			crash := sink.crashes[0]
			if !crash.Certain() || len(crash.Runs) != 1 {
				t.Fatalf("crash %+v, want a certain one with one run", crash)
			}
			if got := crash.Runs[0].Accepted; got != k.accepted {
				t.Errorf("the run was certainly on the target: %v, want %v", got, k.accepted)
			}
		})
	}
}
